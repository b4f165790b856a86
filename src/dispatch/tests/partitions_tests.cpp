//! Tests of leaders that are cut off from the store, from each other and from workers, on a paused clock.

#include "dispatch/tests/partitionedcell.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::dispatch;
using namespace sardinerun::dispatch::testing;
using workflow::WorkflowOutcome;

namespace {

constexpr int longWorkMs = 100'000; //!< longer than the tests

//! A leader with a job, and another node. Cuts divide the workers in two: those with tasks of the job, and the others.
struct DividedCell : PartitionedCell {
    DividedCell(int nodeCount, int workerCount, int workMs, std::uint32_t tasks = 2)
        : PartitionedCell(nodeCount, workerCount)
    {
        waitForLeader();
        first = leader();
        BOOST_REQUIRE(submit(first, "a", tasks, workMs) == WorkflowOutcome::Accepted);
        advance(ms(100));
        busy = workersOf("a");
        for (int n = 0; n < workerCount; ++n) {
            if (std::find(busy.begin(), busy.end(), n) == busy.end())
                idle.push_back(n);
        }
        BOOST_REQUIRE(!busy.empty() && !idle.empty());
    }

    //! Parts a node from these workers and from all other nodes.
    void cutOff(int n, const std::vector<int>& unreached, bool isCut = true)
    {
        for (const int it : unreached)
            setWorkerCut(n, it, isCut);
        for (int other = 0; other < nodeCount(); ++other) {
            if (other != n)
                setNodeCut(n, other, isCut);
        }
    }
    int other() const { return first == 0 ? 1 : 0; }
    void cutStore(int n) { node(n).links.store = StoreLink::Silent; }
    void checkNothingRanTwice() const
    {
        for (const std::string& it : ranTwice)
            BOOST_ERROR(it);
    }

    int first = 0; //!< number of the first leader
    std::vector<int> busy;
    std::vector<int> idle;
};

} // namespace

BOOST_AUTO_TEST_SUITE(partitions)

//! Guards against two runs at once: a new leader whose watch showed it its own claim before the answer to it took
//! itself for its predecessor, and so did not wait for the workers that only the predecessor reached.
BOOST_AUTO_TEST_CASE(new_leader_that_sees_its_own_claim_first_waits_for_the_workers_of_its_predecessor)
{
    DividedCell cell(2, 6, longWorkMs);
    cell.node(cell.other()).store->commitAnswerDelay = ms(30);
    cell.cutStore(cell.first);
    cell.cutOff(cell.first, cell.idle);
    cell.cutOff(cell.other(), cell.busy);
    cell.advance(ms(11'000)); // the predecessor still has authority
    BOOST_TEST(cell.leader() == cell.other());
    cell.checkNothingRanTwice();
}

//! The same by another way: the answer to the claim was lost, and the node claimed the leadership again.
BOOST_AUTO_TEST_CASE(new_leader_that_has_claimed_twice_waits_for_the_workers_of_its_predecessor)
{
    DividedCell cell(2, 6, longWorkMs);
    cell.cutStore(cell.first);
    cell.cutOff(cell.first, cell.idle);
    cell.cutOff(cell.other(), cell.busy);
    cell.advance(ms(1500));
    cell.store->losesAnswers = 1;
    cell.advance(ms(10'000));
    BOOST_TEST(cell.leader() == cell.other());
    BOOST_TEST(cell.node(cell.other()).term == 3u);
    cell.checkNothingRanTwice();
}

//! Guards against two runs at once after two changes of leader: the second leader has released the leadership, but the
//! first one is still alive.
BOOST_AUTO_TEST_CASE(leader_after_one_that_released_waits_for_the_workers_of_those_before_it)
{
    DividedCell cell(3, 6, longWorkMs);
    cell.cutStore(cell.first);
    cell.cutOff(cell.first, cell.idle);
    for (int n = 0; n < 3; ++n) {
        if (n != cell.first)
            cell.cutOff(n, cell.busy);
    }
    for (int n = 0; n < 3; ++n) { // the other two reach each other
        for (int m = 0; m < n; ++m) {
            if (n != cell.first && m != cell.first)
                cell.setNodeCut(n, m, false);
        }
    }
    cell.advance(ms(3200));
    const int second = cell.leader();
    BOOST_REQUIRE(second != cell.first);
    cell.node(second).task->address().send(StepDown {});
    cell.advance(ms(1000));
    const int third = cell.leader();
    BOOST_REQUIRE((third != second && third != cell.first && third >= 0));
    cell.advance(ms(7000));
    cell.checkNothingRanTwice();
}

//! Guards against two runs at once: a leader whose release took effect, but whose answer was lost, went on extending
//! leases.
BOOST_AUTO_TEST_CASE(leader_that_may_have_released_extends_no_leases)
{
    DividedCell cell(2, 6, longWorkMs);
    cell.cutOff(cell.first, cell.idle);
    cell.cutOff(cell.other(), cell.busy);
    cell.node(cell.first).store->commitAnswerDelay = ms(20);
    cell.node(cell.first).task->address().send(StepDown {});
    cell.advance(ms(25)); // the release is in the store, and its answer on the way
    cell.cutStore(cell.first);
    cell.advance(ms(10'000));
    BOOST_TEST(cell.leader() == cell.other());
    cell.checkNothingRanTwice();
}

//! Guards against a task that starts again after its end: a leader that had been replaced took a run for lost whose end
//! the next leader had acknowledged.
BOOST_AUTO_TEST_CASE(leader_that_was_replaced_does_not_restart_the_runs_that_it_has_lost_sight_of)
{
    DividedCell cell(2, 6, 1500);
    cell.cutStore(cell.first);
    cell.cutOff(cell.first, cell.busy);
    cell.cutOff(cell.other(), cell.idle);
    cell.advance(ms(12'500));
    BOOST_TEST(cell.leader() == cell.other());
    cell.checkNothingRanTwice();
}

//! Guards against two runs at once: a leader that had been replaced passed its barrier by time, although a later leader
//! had reached the workers that it waited for, and had adopted their runs.
BOOST_AUTO_TEST_CASE(leader_that_was_replaced_does_not_pass_its_barrier_by_time)
{
    DividedCell cell(3, 6, longWorkMs);
    const int second = (cell.first + 1) % 3;
    const int third = (cell.first + 2) % 3;
    cell.cutStore(cell.first);
    cell.cutStore(third);
    cell.cutOff(cell.first, cell.idle);
    cell.cutOff(second, cell.busy);
    cell.cutOff(third, cell.idle);
    cell.advance(ms(5500));
    BOOST_TEST(cell.leader() == second);
    cell.node(third).links.store = StoreLink::Up;
    cell.advance(ms(900));
    cell.cutStore(second);
    cell.advance(ms(13'000));
    BOOST_TEST(cell.leader() == third);
    cell.checkNothingRanTwice();
}

//! Guards against two runs at once: a leader that was cut off from the store, but reached most workers, extended their
//! leases for ever, and the next leader counted them as ended after authority and lease.
BOOST_AUTO_TEST_CASE(leader_without_authority_does_not_extend_leases_because_it_reaches_most_workers)
{
    DividedCell cell(2, 10, longWorkMs);
    cell.cutStore(cell.first);
    std::vector<int> last { cell.idle.back() };
    std::vector<int> most;
    for (int n = 0; n < 10; ++n) {
        if (n != last[0])
            most.push_back(n);
    }
    cell.cutOff(cell.first, last);
    cell.cutOff(cell.other(), most);
    cell.advance(ms(25'000));
    BOOST_TEST(cell.leader() == cell.other());
    cell.checkNothingRanTwice();
}

//! Guards against a leader that goes on for ever although a node that it reaches knows its successor.
BOOST_AUTO_TEST_CASE(leader_without_authority_ends_when_another_node_knows_a_later_term)
{
    DividedCell cell(3, 6, longWorkMs);
    const int second = (cell.first + 1) % 3;
    const int third = (cell.first + 2) % 3;
    cell.cutStore(cell.first);
    cell.node(third).links.store = StoreLink::Silent; // until the second node has won
    cell.cutOff(cell.first, cell.idle);
    cell.cutOff(second, cell.busy);
    cell.setNodeCut(second, third, false);
    cell.advance(ms(4000));
    BOOST_REQUIRE(cell.leader() == second);
    cell.node(third).links.store = StoreLink::Up;
    cell.advance(ms(2000));
    BOOST_REQUIRE(cell.node(third).term == 2u);
    cell.setNodeCut(cell.first, third, false);
    cell.advance(ms(8000));
    BOOST_TEST(!cell.node(cell.first).isLeading);
    cell.checkNothingRanTwice();
}

//! Guards against a caller who is told that there is no such job by a leader that has been replaced, although the next
//! one has accepted the job.
BOOST_AUTO_TEST_CASE(leader_that_may_have_been_replaced_does_not_deny_a_job)
{
    DividedCell cell(2, 6, longWorkMs);
    cell.cutStore(cell.first);
    cell.cutOff(cell.first, cell.idle);
    cell.cutOff(cell.other(), cell.busy);
    cell.advance(ms(3300));
    BOOST_REQUIRE(cell.submit(cell.other(), "b", 1, longWorkMs) == WorkflowOutcome::Accepted);
    BOOST_REQUIRE(cell.node(cell.first).isLeading); // as far as it knows
    BOOST_TEST((cell.read(cell.first, "b") != WorkflowOutcome::NoJob));
    BOOST_TEST((cell.cancel(cell.first, "b") != WorkflowOutcome::NoJob));
    BOOST_TEST((cell.read(cell.other(), "c") == WorkflowOutcome::NoJob));
}

//! Guards against work that is lost in a long outage of the store, in which no other node can lead.
BOOST_AUTO_TEST_CASE(work_goes_on_in_a_long_outage_of_the_store_while_all_nodes_answer)
{
    DividedCell cell(4, 6, longWorkMs);
    cell.advance(ms(2000));
    for (int n = 0; n < 4; ++n)
        cell.cutStore(n);
    cell.advance(ms(40'000));
    BOOST_TEST(cell.workersOf("a").size() == cell.busy.size());
    for (int n = 0; n < 4; ++n)
        cell.node(n).links.store = StoreLink::Up;
    cell.advance(ms(10'000));
    BOOST_TEST(cell.workersOf("a").size() == cell.busy.size());
    BOOST_TEST(cell.starts == 2);
    cell.checkNothingRanTwice();
}

//! Guards against two runs at once: a heartbeat that was sent again after the release had begun carried the release,
//! but did not count as one. When its answer was lost, the leader went on extending leases.
BOOST_AUTO_TEST_CASE(leader_whose_repeated_heartbeat_carries_the_release_extends_no_leases)
{
    DividedCell cell(2, 6, longWorkMs);
    Node& first = cell.node(cell.first);
    for (const int it : cell.idle)
        cell.setWorkerCut(cell.first, it, true);
    for (const int it : cell.busy)
        cell.setWorkerCut(cell.other(), it, true);
    cell.cutStore(cell.first);
    cell.advance(ms(900)); // a heartbeat has been sent, and was lost
    first.task->address().send(StepDown {});
    cell.advance(ms(50));
    first.links.store = StoreLink::Up;
    first.store->commitAnswerDelay = ms(20);
    const auto isReleased = [&cell] {
        const auto row = lead::decodeLeaderRow(cell.store->rows.at(lead::leaderKey()).value);
        return row && row->isReleased;
    };
    for (int n = 0; n < 1000 && !isReleased(); ++n)
        cell.advance(ms(1));
    BOOST_REQUIRE(isReleased());
    BOOST_TEST(cell.leader() == cell.first);
    cell.cutOff(cell.first, cell.idle);
    cell.cutStore(cell.first); // the answer is lost
    cell.advance(ms(10'000));
    BOOST_TEST(cell.leader() == cell.other());
    cell.checkNothingRanTwice();
}

//! Guards against two runs at once: a node that the leader has not heard for ten seconds is not asked whether it leads.
//! When it does, a leader without authority goes on extending leases on the word of the others.
BOOST_AUTO_TEST_CASE(leader_without_authority_extends_no_leases_while_a_node_that_was_cut_off_earlier_may_lead)
{
    DividedCell cell(3, 10, longWorkMs);
    const int next = (cell.first + 1) % 3;
    const int last = (cell.first + 2) % 3;
    cell.cutOff(next, cell.busy);
    cell.advance(ms(12'000)); // all nodes reach the store, so nothing changes
    BOOST_REQUIRE(cell.leader() == cell.first);
    for (const int it : cell.idle)
        cell.setWorkerCut(cell.first, it, true);
    cell.cutStore(cell.first);
    cell.cutStore(last);
    cell.advance(ms(25'000));
    BOOST_TEST(cell.leader() == next);
    cell.checkNothingRanTwice();
}

//! Guards against two runs at once: a leader after one that released counts on the end of the one before it, which may
//! extend leases for as long as this node's last answer counts that it does not lead.
BOOST_AUTO_TEST_CASE(leader_after_one_that_released_in_an_outage_waits_for_leases_extended_on_its_own_word)
{
    for (int phase = 0; phase < 1000; phase += 200) {
        DividedCell cell(3, 6, longWorkMs);
        cell.cutStore(cell.first);
        for (int n = 0; n < 3; ++n) {
            for (const int it : n == cell.first ? cell.idle : cell.busy)
                cell.setWorkerCut(n, it, true);
        }
        for (const int n : { 1, 2 })
            cell.setNodeCut(cell.first, (cell.first + n) % 3, true);
        cell.advance(ms(3500));
        const int second = cell.leader();
        const int third = 3 - cell.first - second;
        BOOST_REQUIRE((second >= 0 && second != cell.first));
        cell.node(second).task->address().send(StepDown {});
        for (int n = 0; n < 500 && cell.node(third).term > 0; ++n)
            cell.advance(ms(1));
        cell.cutStore(second);
        cell.cutStore(third);
        for (const int n : { second, third })
            cell.setNodeCut(cell.first, n, false);
        cell.advance(ms(15'000 + phase)); // the first leader extends leases, as no node leads
        BOOST_REQUIRE(cell.workersOf("a").size() == cell.busy.size());
        cell.node(third).links.store = StoreLink::Up;
        for (int n = 0; n < 3000 && !cell.node(third).isLeading; ++n)
            cell.advance(ms(1));
        BOOST_REQUIRE(cell.node(third).isLeading);
        cell.setNodeCut(cell.first, third, true);
        cell.setNodeCut(cell.first, second, true);
        cell.advance(ms(9000));
        cell.checkNothingRanTwice();
    }
}

//! Guards against accepted jobs that wait after each release of the leadership: all former leaders have released, so
//! the leader has to wait for no more than one lease of a silent worker.
BOOST_AUTO_TEST_CASE(leader_after_several_that_released_waits_for_one_lease_of_a_silent_worker)
{
    DividedCell cell(3, 6, longWorkMs);
    BOOST_REQUIRE(cell.submit(cell.first, "b", 30, 2000) == WorkflowOutcome::Accepted);
    cell.advance(ms(1000)); // the others wait for room
    for (int n = 0; n < 3; ++n)
        cell.setWorkerCut(n, cell.idle[0], true);
    for (int n = 0; n < 2; ++n) {
        const int leader = cell.leader();
        cell.node(leader).task->address().send(StepDown {});
        for (int k = 0; k < 200 && (cell.leader() == leader || cell.leader() < 0); ++k)
            cell.advance(ms(10));
        BOOST_REQUIRE((cell.leader() != leader && cell.leader() >= 0));
        if (n == 0)
            cell.advance(ms(4000));
    }
    const int before = cell.starts;
    cell.advance(ms(5500 + 1000));
    BOOST_TEST(cell.starts > before);
    cell.checkNothingRanTwice();
}

//! Guards against small VMs that wait for a larger one to replace the leader when the leader has the only large VM.
BOOST_AUTO_TEST_CASE(leader_on_the_only_large_vm_is_replaced_as_soon_as_one_among_equals)
{
    const auto replacementTime = [](int largeNode) {
        PartitionedCell cell(4, 1, 4000, largeNode);
        cell.waitForLeader();
        const int first = cell.leader();
        cell.advance(ms(3000));
        cell.node(first).links.store = StoreLink::Silent;
        for (int n = 0; n < cell.nodeCount(); ++n)
            cell.setNodeCut(first, n, true);
        const core::TimePoint cutAt = cell.now();
        while (cell.leader() == first && cell.now() - cutAt < ms(10'000))
            cell.advance(ms(10));
        return std::pair(first, cell.now() - cutAt);
    };
    const auto [first, amongEquals] = replacementTime(-1);
    const auto [large, ofLarge] = replacementTime(first);
    BOOST_TEST(large == first);
    BOOST_TEST((ofLarge <= amongEquals + ms(100)),
        "after " << core::toMs(ofLarge) << " ms instead of " << core::toMs(amongEquals) << " ms");
}

BOOST_AUTO_TEST_SUITE_END()

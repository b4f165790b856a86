//! Tests of the leader and the store: what is persisted when, changes of the leader, and what the next one takes over.

#include "scheduling/tests/cell.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::scheduling;
using namespace sardinerun::scheduling::testing;
using fleet::EndKind;
using workflow::JobState;
using workflow::WorkflowOutcome;

//! Guards against callers that wait for a leader that has lost its leadership.
BOOST_AUTO_TEST_CASE(calls_without_effect_are_answered_when_the_leadership_ends)
{
    Cell cell;
    cell.lead();
    std::vector<WorkflowOutcome> answers;
    const auto send = [&](const std::string& id, std::uint64_t knownConfig) {
        workflow::WorkflowCall call;
        call.kind = workflow::CallKind::Submit;
        call.host = "h";
        call.path = "/q/" + id;
        call.spec = jobOf(id, 1, 1000);
        call.knownConfig = core::ConfigVersion(knownConfig);
        cell.engine->handle(call, [&answers](const workflow::WorkflowResult& it) { answers.push_back(it.outcome); });
    };
    send("deferred", 2); // waits for a configuration that the leader does not have yet
    send("unsent", 1); // its record was not sent to the store yet
    BOOST_TEST(answers.empty());
    cell.former.reset();
    cell.engine.reset();
    BOOST_REQUIRE(answers.size() == 2u);
    BOOST_TEST((answers[0] == WorkflowOutcome::NotNow));
    BOOST_TEST((answers[1] == WorkflowOutcome::NotNow));
}

//! Guards against a roster that outgrows the limit of a value, so that the store refuses all writes of the leader.
BOOST_AUTO_TEST_CASE(jobs_are_accepted_and_adopted_in_a_fleet_of_many_workers)
{
    Cell cell;
    cell.entries.clear();
    for (int n = 0; n < 600; ++n)
        cell.addWorker("worker-with-a-long-name-" + std::to_string(n));
    cell.lead();
    const auto job = jobOf("a", 600, 4000);
    BOOST_TEST((cell.submit(job) == WorkflowOutcome::Accepted));
    cell.advance(ms(500));
    BOOST_TEST(cell.running() == 600u);
    cell.entries.clear(); // the next leader knows the workers from the roster only
    cell.lead();
    cell.advance(ms(1000));
    cell.endAll(EndKind::Done);
    cell.advance(ms(2000));
    BOOST_TEST((cell.stateOf(job) == JobState::Completed));
    BOOST_TEST(cell.starts() == 600u);
}

//! Guards against a submission that is refused although its record was persisted with the release of the leadership, so
//! that the next leader runs it.
BOOST_AUTO_TEST_CASE(submission_that_is_persisted_with_the_release_is_accepted)
{
    Cell cell;
    cell.lead();
    workflow::WorkflowCall call;
    call.kind = workflow::CallKind::Submit;
    call.host = "h";
    call.path = "/q/a";
    call.spec = jobOf("a", 1, 1000);
    std::vector<WorkflowOutcome> answers;
    cell.engine->handle(call, [&answers](const workflow::WorkflowResult& it) { answers.push_back(it.outcome); });
    cell.engine->release(false, [] {});
    cell.advance(ms(100));
    cell.former.reset();
    cell.engine.reset();
    BOOST_REQUIRE(answers.size() == 1u);
    BOOST_TEST((answers[0] == WorkflowOutcome::Accepted));
    cell.lead();
    BOOST_TEST((cell.submit(call.spec) == WorkflowOutcome::Accepted));
    cell.advance(ms(100));
    BOOST_TEST(cell.starts() == 1u);
}

BOOST_AUTO_TEST_CASE(new_leader_adopts_running_tasks)
{
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 3, 1000);
    const auto gang = jobOf("gang", 4, 1000, true);
    cell.submit(job);
    cell.submit(gang);
    cell.advance(ms(200));
    BOOST_TEST(cell.running() == 7u);
    cell.lead();
    BOOST_TEST(cell.starts() == 7u);
    cell.endAll(EndKind::Done);
    cell.advance(ms(300));
    BOOST_TEST((cell.stateOf(job) == JobState::Completed));
    BOOST_TEST((cell.stateOf(gang) == JobState::Completed));
    BOOST_TEST(cell.starts() == 7u);
}

//! Guards against jobs that are shown as pending until they end, once the leader has changed.
BOOST_AUTO_TEST_CASE(new_leader_shows_the_jobs_that_it_adopts_as_running)
{
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 1, 1000);
    cell.submit(job);
    cell.advance(ms(200));
    BOOST_TEST((cell.stateOf(job) == JobState::Running));
    cell.lead();
    BOOST_TEST((cell.stateOf(job) == JobState::Running));
}

BOOST_AUTO_TEST_CASE(new_leader_refuses_no_job_because_workers_have_not_answered_yet)
{
    Cell cell;
    cell.lead();
    const auto running = jobOf("a", 4, 2000);
    cell.submit(running);
    cell.submit(jobOf("b", 1, 1000));
    cell.advance(ms(100));
    cell.workers->latency = ms(3000);
    cell.lead(ms(0));
    BOOST_TEST((cell.submit(jobOf("c", 1, 1000)) == WorkflowOutcome::Accepted));
}

BOOST_AUTO_TEST_CASE(new_leader_counts_failures_independently_of_their_order)
{
    // Two runs of one task fail on two workers during a store outage; the newer end is read first.
    Cell cell;
    cell.queue.maxAttempts = 2;
    cell.lead();
    const auto job = jobOf("a", 1, 1000);
    cell.submit(job);
    cell.advance(ms(200));
    cell.store->isDown = true;
    cell.endAll(EndKind::Failed);
    cell.advance(ms(300));
    cell.endAll(EndKind::Failed);
    BOOST_TEST(cell.starts() == 2u);
    cell.store->isDown = false;
    cell.engine.reset();
    cell.lead();
    BOOST_TEST((cell.stateOf(job) == JobState::Failed));
    BOOST_TEST(cell.starts() == 2u);
}

BOOST_AUTO_TEST_CASE(ends_of_a_job_are_acknowledged_only_once_its_final_state_is_persisted)
{
    // The worker leaves the registry and returns during a store outage, so it lists its ends again.
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 1, 1000);
    cell.submit(job);
    cell.advance(ms(200));
    const std::string name = cell.worker("w1").running.empty() ? "w2" : "w1";
    cell.store->isDown = true;
    cell.endAll(EndKind::Done);
    cell.advance(ms(300));
    const auto all = cell.entries;
    cell.engine->setWorkers({});
    cell.advance(ms(4000));
    cell.engine->setWorkers(all);
    cell.advance(ms(1000));
    BOOST_TEST(cell.worker(name).ended.size() == 1u);
    cell.store->isDown = false;
    cell.engine.reset();
    cell.lead();
    BOOST_TEST((cell.stateOf(job) == JobState::Completed));
    BOOST_TEST(cell.starts() == 1u);
}

BOOST_AUTO_TEST_CASE(new_leader_waits_for_unresponsive_workers_before_it_starts_recovered_tasks)
{
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 1, 1000);
    cell.submit(job);
    cell.advance(ms(200));
    const std::string first = cell.worker("w1").running.empty() ? "w2" : "w1";
    const std::string other = first == "w1" ? "w2" : "w1";
    cell.worker(first).isSilent = true;
    cell.lead();
    BOOST_TEST(cell.worker(other).running.empty());
    BOOST_TEST((cell.submit(jobOf("new", 1, 1000)) == WorkflowOutcome::Accepted));
    cell.advance(ms(200));
    BOOST_TEST(cell.worker(other).running.size() == 1u); // new jobs don't wait
    cell.advance(std::chrono::seconds(20));
    BOOST_TEST(cell.worker(other).running.size() == 2u);
}

BOOST_AUTO_TEST_CASE(job_is_not_accepted_before_the_store_has_persisted_it)
{
    Cell cell;
    cell.lead();
    cell.store->isDown = true;
    const auto job = jobOf("a", 1, 1000);
    BOOST_TEST((cell.submit(job) == WorkflowOutcome::NotNow));
    cell.advance(ms(500));
    cell.store->isDown = false;
    cell.advance(ms(2000));
    BOOST_TEST(cell.starts() == 0u);
    BOOST_TEST((cell.submit(job) == WorkflowOutcome::Accepted));
}

BOOST_AUTO_TEST_CASE(lost_answer_of_the_store_neither_loses_nor_duplicates_a_job)
{
    Cell cell;
    cell.lead();
    cell.store->losesAnswers = 1;
    BOOST_TEST((cell.submit(jobOf("a", 1, 1000)) == WorkflowOutcome::Accepted));
    cell.advance(ms(300));
    BOOST_TEST(cell.starts() == 1u);
    BOOST_TEST(!cell.isLeadershipLost);
}

//! Guards against submissions that time out while the store is sixty times slower than usual and many callers submit.
BOOST_AUTO_TEST_CASE(submission_that_a_slow_store_cannot_persist_in_time_is_refused_immediately)
{
    Cell cell;
    for (int n = 0; n < 30; ++n)
        cell.addWorker("more" + std::to_string(n), 40000);
    cell.lead();
    cell.store->latency = ms(400);
    cell.submit(jobOf("first", 1, 100));
    std::map<WorkflowOutcome, int> counts;
    int refusedImmediately = 0;
    for (int n = 0; n < 600; ++n) {
        workflow::WorkflowCall call;
        call.kind = workflow::CallKind::Submit;
        call.host = "h";
        call.spec = jobOf("job" + std::to_string(n), 1, 100);
        call.path = "/q/" + call.spec.id.value();
        call.timeout = ms(1200);
        cell.engine->handle(call, [&counts](const workflow::WorkflowResult& it) { ++counts[it.outcome]; });
        refusedImmediately = counts[WorkflowOutcome::NotNow];
    }
    cell.advance(ms(3000));
    BOOST_TEST(refusedImmediately >= 200);
    BOOST_TEST(counts[WorkflowOutcome::Accepted] >= 100);
    BOOST_TEST(counts[WorkflowOutcome::Uncertain] == 0);
    BOOST_TEST(counts[WorkflowOutcome::NotNow] == refusedImmediately); // no caller waits and is refused later
}

BOOST_AUTO_TEST_CASE(record_is_written_without_waiting_for_the_next_heartbeat)
{
    Cell cell;
    cell.lead();
    cell.advance(ms(1700)); // a heartbeat has just been written, so the next one is not due soon
    const core::TimePoint before = cell.loop->now();
    BOOST_TEST((cell.submit(jobOf("a", 1, 1000)) == WorkflowOutcome::Accepted));
    BOOST_TEST((cell.loop->now() - before < ms(60)));
}

BOOST_AUTO_TEST_CASE(leader_that_releases_during_a_heartbeat_write_is_recorded_as_released)
{
    Cell cell;
    cell.lead();
    for (int n = 0; n < 100; ++n) { // covers the time in which a heartbeat is written
        Cell other;
        other.lead();
        other.advance(ms(700 + n * 2));
        bool isDone = false;
        other.engine->release(false, [&isDone] { isDone = true; });
        other.advance(ms(100));
        BOOST_REQUIRE(isDone);
        const auto row = lead::decodeLeaderRow(other.store->rows[lead::leaderKey()].value);
        BOOST_REQUIRE(row->isReleased);
    }
}

BOOST_AUTO_TEST_CASE(leader_that_writes_heartbeats_keeps_its_leadership)
{
    Cell cell;
    cell.lead();
    const EnginePtr first = cell.engine;
    cell.elect(ms(3000));
    BOOST_TEST((cell.engine == first));
    BOOST_TEST(!cell.isLeadershipLost);
}

BOOST_AUTO_TEST_CASE(store_outage_for_all_nodes_causes_no_change_of_leader_despite_invitations)
{
    Cell cell;
    cell.lead();
    const EnginePtr first = cell.engine;
    cell.elect(ms(100));
    cell.store->isDown = true;
    for (int n = 0; n < 10; ++n) {
        cell.election->invite(core::Epoch(1));
        cell.advance(ms(350));
    }
    cell.store->isDown = false;
    cell.advance(ms(3000));
    BOOST_TEST((cell.engine == first));
    BOOST_TEST(!cell.isLeadershipLost);
}

BOOST_AUTO_TEST_CASE(invitation_is_followed_by_the_node_with_the_shortest_candidacy_delay)
{
    Cell cell;
    cell.lead();
    std::string winner;
    const auto candidate = [&](const char* name, core::Duration candidacyDelay) {
        lead::ElectionHooks hooks;
        hooks.leaderSeen = [](const std::optional<lead::LeaderRow>&) {};
        hooks.won = [&winner, name](const lead::WonElection&) { winner = winner.empty() ? name : winner; };
        auto it = lead::Election::create(cell.loop, cell.store, core::NodeId(name), { "127.0.0.1", 7000 },
            cell.leaderTimes, candidacyDelay, std::move(hooks));
        it->start();
        return it;
    };
    const auto small = candidate("small", ms(600));
    const auto large = candidate("large", ms(0));
    cell.advance(ms(200));
    cell.engine.reset(); // it writes no more heartbeats
    cell.advance(ms(1000));
    small->invite(core::Epoch(1));
    cell.advance(ms(20));
    large->invite(core::Epoch(1));
    cell.advance(ms(1100));
    BOOST_TEST(winner == "large");
}

namespace {

//! Returns the node that leads after an outage of the store: one of twelve small ones, or a large one.
std::string leaderAfterOutage(core::Duration outage)
{
    Cell cell;
    cell.lead();
    std::string winner;
    std::vector<lead::ElectionPtr> candidates;
    const auto add = [&](const std::string& name, core::Duration candidacyDelay) {
        lead::ElectionHooks hooks;
        hooks.leaderSeen = [](const std::optional<lead::LeaderRow>&) {};
        hooks.won = [&winner, name](const lead::WonElection&) { winner = winner.empty() ? name : winner; };
        candidates.push_back(lead::Election::create(cell.loop, cell.store, core::NodeId(name), { "127.0.0.1", 7000 },
            cell.leaderTimes, candidacyDelay, std::move(hooks)));
        candidates.back()->start();
    };
    for (int n = 0; n < 12; ++n) {
        add("small" + std::to_string(n), ms(456));
        cell.advance(ms(17));
    }
    add("large", ms(0));
    cell.advance(ms(200));
    cell.engine.reset(); // it writes no more heartbeats
    cell.store->isDown = true;
    cell.advance(outage);
    BOOST_TEST(winner.empty());
    cell.store->isDown = false;
    cell.advance(ms(2000));
    return winner;
}

} // namespace

//! Guards against a small VM that leads a large fleet after an outage of the store (LOST on scale-2 of
//! tolliver-lids-large): the outage outlasted all candidacy delays, so that any node could win.
BOOST_AUTO_TEST_CASE(after_an_outage_of_the_store_the_node_with_the_shortest_candidacy_delay_leads)
{
    for (int n = 0; n < 10; ++n)
        BOOST_TEST(leaderAfterOutage(ms(8000 + n * 30)) == "large");
}

BOOST_AUTO_TEST_CASE(invitation_is_followed_by_a_node_that_reaches_the_store)
{
    Cell cell;
    cell.lead();
    cell.elect(ms(100));
    cell.engine.reset(); // it writes no more heartbeats
    cell.former.reset();
    cell.election->invite(core::Epoch(1));
    cell.advance(ms(1400)); // well before the leader timeout
    BOOST_TEST(bool(cell.engine));
}

//! Guards against a first page of ends that is taken for the whole list: tasks whose end is on a later page ran again.
BOOST_AUTO_TEST_CASE(new_leader_starts_no_task_whose_end_is_not_on_the_first_page)
{
    Cell cell;
    cell.lead();
    auto job = jobOf("a", 1400, 5);
    job.steps[0].need.memory = core::MebiBytes(1);
    cell.submit(job);
    cell.advance(ms(3000));
    BOOST_REQUIRE(cell.starts() == 1400u);
    cell.engine.reset();
    cell.former.reset();
    cell.endAll(EndKind::Done);
    BOOST_REQUIRE(cell.worker("w1").ended.size() > cell.workers->endsPerReport);
    cell.lead();
    cell.advance(ms(4000));
    BOOST_TEST(cell.starts() == 1400u);
    BOOST_TEST((cell.stateOf(job) == JobState::Completed));
    BOOST_TEST(cell.worker("w1").ended.empty());
}

//! Guards against a record that one leader writes and the next one cannot read.
BOOST_AUTO_TEST_CASE(job_of_a_queue_without_a_limit_of_attempts_survives_a_change_of_leader)
{
    for (const std::uint32_t attempts : { 1'000'001u, 2147483647u, UINT32_MAX }) {
        Cell cell;
        cell.queue.maxAttempts = attempts;
        cell.lead();
        const auto job = jobOf("a", 2, 1000);
        cell.submit(job);
        cell.advance(ms(300));
        cell.lead();
        BOOST_TEST((cell.callEngine(workflow::CallKind::Read, job).outcome == WorkflowOutcome::Found));
        cell.endAll(EndKind::Done);
        cell.advance(ms(500));
        BOOST_TEST((cell.stateOf(job) == JobState::Completed));
        BOOST_TEST(cell.starts() == 2u);
    }
}

//! Guards against a leader that waits for workers that have left although its predecessor is known to be gone.
BOOST_AUTO_TEST_CASE(work_goes_on_once_the_former_leader_is_gone_and_its_leases_have_expired)
{
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 1, 3000);
    const auto waiting = jobOf("b", 2, 3000);
    cell.submit(job);
    cell.submit(waiting);
    cell.advance(ms(100));
    BOOST_REQUIRE(cell.running() == 2u);
    cell.worker("w1").isSilent = true; // and its VM is gone
    cell.lead();
    cell.engine->setFormerLeaderGone();
    cell.advance(cell.times.lease * 11 / 10 + ms(500));
    cell.endAll(EndKind::Done);
    const std::size_t before = cell.worker("w2").starts.size();
    cell.advance(ms(500));
    BOOST_TEST(cell.worker("w2").starts.size() > before);
}

//! Guards against entries that are lost or stay in the roster, as only its outdated rows are written.
BOOST_AUTO_TEST_CASE(the_roster_names_the_workers_that_stay_when_many_leave)
{
    Cell cell;
    for (int n = 0; n < 400; ++n)
        cell.addWorker("worker-" + std::to_string(n));
    cell.lead();
    cell.advance(ms(500));
    std::map<std::string, int> writes;
    cell.store->rejects = [&writes](const store::RowUpdate& it) {
        writes[it.key.table] += it.key.table == "roster" ? 1 : 0;
        return false;
    };
    cell.entries.resize(100);
    cell.engine->setWorkers(cell.entries);
    cell.advance(ms(5000));
    BOOST_TEST(writes["roster"] > 0);
    BOOST_TEST(writes["roster"] <= 32);
    std::size_t entries = 0;
    for (const auto& [key, row] : cell.store->rows) {
        for (std::size_t at = key.table == "roster" ? row.value.find("born") : std::string::npos;
             at != std::string::npos; at = row.value.find("born", at + 1))
            ++entries;
    }
    BOOST_TEST(entries == 100u);
}

//! Guards against a job that runs again long after its end: its leader ended between the write of its final state and
//! the deletion of its record, and the final state is deleted after the retention period.
BOOST_AUTO_TEST_CASE(ended_job_whose_record_was_left_behind_does_not_run_again)
{
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 1, 1000);
    cell.submit(job);
    cell.advance(ms(100));
    const store::RowKey key { "jobs", "", "a" };
    const store::StoredRow record = cell.store->rows.at(key);
    cell.endAll(EndKind::Done);
    cell.advance(ms(300));
    BOOST_REQUIRE(!cell.store->rows.contains(key));
    cell.store->rows[key] = record; // as if its deletion had not been written
    cell.lead();
    cell.advance(cell.times.jobRetention + ms(1000));
    cell.lead();
    cell.advance(ms(20'000));
    BOOST_TEST(cell.starts() == 1u);
    BOOST_TEST(!cell.store->rows.contains(key));
}

//! The same by another way: the deletion was withdrawn as if it were the record of a submission without an answer.
BOOST_AUTO_TEST_CASE(record_of_a_job_cancelled_before_its_acceptance_is_deleted)
{
    Cell cell;
    cell.lead();
    cell.store->latency = ms(300);
    workflow::WorkflowCall call;
    call.kind = workflow::CallKind::Submit;
    call.host = "h";
    call.path = "/q/a";
    call.spec = jobOf("a", 1, 1000);
    call.timeout = ms(100);
    cell.engine->handle(call, [](const workflow::WorkflowResult&) {});
    cell.advance(ms(50)); // the record is on its way
    call.kind = workflow::CallKind::Cancel;
    cell.engine->handle(call, [](const workflow::WorkflowResult&) {});
    cell.advance(ms(3000));
    BOOST_TEST(!cell.store->rows.contains(store::RowKey { "jobs", "", "a" }));
    BOOST_TEST(cell.starts() == 0u);
}

namespace {

//! Orders of a leader whose process is paused after it has sent a start order.
class OrdersBeforePause : public fleet::IWorkerOrders {
public:
    explicit OrdersBeforePause(Cell& cell)
        : m_cell(cell)
    {
    }

    void start(const fleet::WorkerAddress& to, const fleet::StartOrder& order,
        std::function<void(fleet::OrderResult)> callback) override
    {
        leases.push_back(order.leaseUntil);
        m_cell.workers->start(to, order, std::move(callback));
        if (std::exchange(m_pause, core::Duration(0)) > core::Duration(0)) {
            m_cell.store->isDown = true; // for this leader; meanwhile another one leads
            m_cell.clock->advance(pause);
        }
    }
    void stop(const fleet::WorkerAddress& to, const fleet::StopOrder& order,
        std::function<void(fleet::OrderResult)> callback) override
    {
        m_cell.workers->stop(to, order, std::move(callback));
    }
    void limitCpu(const fleet::WorkerAddress& to, const fleet::CpuLimitOrder& order,
        std::function<void(fleet::OrderResult)> callback) override
    {
        m_cell.workers->limitCpu(to, order, std::move(callback));
    }
    void renewLease(const fleet::WorkerAddress& to, const fleet::LeaseRenewal& order,
        std::function<void(fleet::LeaseRenewalResult)> callback) override
    {
        m_cell.workers->renewLease(to, order, std::move(callback));
    }

    std::vector<fleet::WorkerClock> leases; //!< of the start orders that were sent
    static constexpr core::Duration pause = std::chrono::seconds(20); //!< longer than authority and lease

private:
    Cell& m_cell;
    core::Duration m_pause = pause;
};

} // namespace

//! Guards against two runs at once: a leader that was paused between the check of its authority and an order gave that
//! order a lease from the time at which it went on, so the worker does not refuse it as late.
BOOST_AUTO_TEST_CASE(start_that_was_decided_before_a_pause_has_a_lease_of_its_decision)
{
    Cell cell;
    const auto orders = std::make_shared<OrdersBeforePause>(cell);
    cell.orders = orders;
    cell.lead();
    BOOST_REQUIRE((cell.submit(jobOf("a", 2, 1000)) == WorkflowOutcome::Accepted));
    cell.advance(ms(30));
    BOOST_REQUIRE(orders->leases.size() == 2u);
    // The next leader counts on no lease after this.
    const core::TimePoint end = cell.engine->authorityUntil() + cell.times.lease * 11 / 10;
    for (const fleet::WorkerClock it : orders->leases)
        BOOST_TEST(it.value() <= end.time_since_epoch() / std::chrono::milliseconds(1));
}

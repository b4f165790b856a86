//! Tests of gangs that wait for room beside other work: what they hold back, and for how long.

#include "scheduling/roomhold.h"
#include "scheduling/tests/cell.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::scheduling;
using namespace sardinerun::scheduling::testing;
using workflow::WorkflowOutcome;

namespace {

//! Eight workers of eight cores, and queues of services, gangs and single tasks, the most urgent first.
struct MixedCell : Cell {
    MixedCell()
    {
        queue.priority = 0;
        addQueue("gangs", 1);
        addQueue("singles", 2);
        entries.clear();
        for (int n = 0; n < 8; ++n)
            addWorker("w" + std::to_string(n), 8000);
        lead();
    }

    void addQueue(const std::string& name, int priority)
    {
        workflow::QueuePolicy it = queue;
        it.name = name;
        it.pathPrefix = "/" + name + "/";
        it.priority = priority;
        moreQueues.push_back(it);
    }

    void submitTo(const std::string& name, const workflow::JobSpec& spec)
    {
        const auto answer = callEngine(workflow::CallKind::Submit, spec, ms(400), "/" + name + "/");
        BOOST_REQUIRE((answer.outcome == WorkflowOutcome::Accepted));
    }

    //! Runs one service on each of the first workers.
    void runServices(std::uint32_t count)
    {
        workflow::JobSpec services = jobOf("services", count, 7500);
        services.steps[0].isLongRunning = true;
        submitTo("q", services);
        workers->percentOf = [](const fleet::RunId&) { return 100; }; // at work
        advance(ms(3000));
        BOOST_REQUIRE(running() == count);
    }

    std::size_t runsOf(const workflow::JobSpec& spec)
    {
        std::size_t n = 0;
        for (const auto& [id, it] : workers->workers)
            n += std::size_t(std::count_if(it.running.begin(), it.running.end(),
                [&spec](const auto& run) { return run.first.task.job == spec.id; }));
        return n;
    }

    //! Returns how long a job waits until one of its tasks runs; at most `limit`.
    core::Duration waitOf(const workflow::JobSpec& spec, core::Duration limit)
    {
        core::Duration waited {};
        for (; waited < limit && runsOf(spec) == 0; waited += ms(50))
            advance(ms(50));
        return waited;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(reservations)

//! Guards against accepted jobs that never start beside free workers, as a gang that fits only once services end keeps
//! the room reserved.
BOOST_AUTO_TEST_CASE(gang_that_waits_for_the_end_of_services_holds_back_no_other_work)
{
    MixedCell cell;
    cell.runServices(4);
    const auto gang = jobOf("gang", 40, 1000, true);
    cell.submitTo("gangs", gang);
    for (int n = 0; n < 4; ++n) {
        const auto single = jobOf("single" + std::to_string(n), 1, 2000);
        cell.submitTo("singles", single);
        BOOST_TEST((cell.waitOf(single, ms(20'000)) < ms(3000)));
        cell.advance(ms(3000)); // the gang is late from the second one on
    }
    BOOST_TEST(cell.runsOf(gang) == 0u);
    cell.callEngine(workflow::CallKind::Cancel, jobOf("services", 4, 7500));
    cell.advance(ms(2000));
    BOOST_TEST(cell.runsOf(gang) == 40u); // it was not given up
}

//! Guards against the same for work whose end can't be foreseen: runs that show no progress and outlast their estimate.
BOOST_AUTO_TEST_CASE(gang_that_waits_for_overdue_runs_holds_room_for_a_bounded_time)
{
    MixedCell cell;
    cell.times.stallTimeout = std::chrono::seconds(1000); // nothing is stopped
    cell.lead();
    cell.workers->percentOf = [](const fleet::RunId&) { return 0; };
    cell.submitTo("gangs", jobOf("overdue", 4, 7000));
    cell.advance(ms(1200));
    cell.submitTo("gangs", jobOf("gang", 40, 1000, true));
    for (int n = 0; n < 6; ++n) {
        const auto single = jobOf("single" + std::to_string(n), 1, 2000);
        cell.submitTo("singles", single);
        BOOST_TEST((cell.waitOf(single, ms(20'000)) < ms(3000)), single.id.value());
        cell.advance(ms(700));
    }
}

//! Guards against a gang whose advice never comes and that holds back work which needs none.
BOOST_AUTO_TEST_CASE(gang_without_advice_holds_room_for_a_bounded_time)
{
    MixedCell cell;
    cell.moreQueues.front().advice = workflow::AdvicePolicy { ms(10), ms(10), ms(2000) };
    cell.lead();
    cell.runServices(2);
    const auto gang = jobOf("gang", 48, 1000, true); // all that is free
    cell.submitTo("gangs", gang);
    for (int n = 0; n < 4; ++n) {
        const auto single = jobOf("single" + std::to_string(n), 1, 2000);
        cell.submitTo("singles", single);
        BOOST_TEST((cell.waitOf(single, ms(20'000)) < ms(3000)), single.id.value());
        cell.advance(ms(2500));
    }
    BOOST_TEST(cell.runsOf(gang) == 0u);
}

BOOST_AUTO_TEST_CASE(room_is_held_for_a_bounded_time_only_while_it_is_idle)
{
    const core::TimePoint start { std::chrono::seconds(100) };
    const auto heldFor = [&start](const HoldRequest& request) {
        RoomHold hold;
        core::Duration held {};
        for (; held < ms(60'000); held += ms(50)) {
            hold.beginRound();
            if (!hold.tryHold(start + held, request))
                break;
        }
        return held;
    };
    HoldRequest request;
    request.keepsRoomIdle = true;
    BOOST_TEST((heldFor(request) == ms(8000)));
    request.estimate = ms(20'000);
    BOOST_TEST((heldFor(request) == ms(20'000)));
    request.isFleetMostlyFree = true;
    BOOST_TEST((heldFor(request) == ms(2000)));
    request.keepsRoomIdle = false;
    BOOST_TEST((heldFor(request) == ms(60'000)));
}

BOOST_AUTO_TEST_CASE(gangs_may_hold_room_again_after_others_had_their_turn)
{
    RoomHold hold;
    HoldRequest request;
    request.keepsRoomIdle = true;
    request.isFleetMostlyFree = true;
    const core::TimePoint start { std::chrono::seconds(100) };
    int rounds = 0;
    for (int n = 0; n < 200; ++n) {
        hold.beginRound();
        rounds += hold.tryHold(start + ms(50 * n), request) ? 1 : 0;
    }
    BOOST_TEST(rounds >= 150);
    BOOST_TEST(rounds <= 180);
}

BOOST_AUTO_TEST_SUITE_END()

//! Tests of the scheduling policies without workers: admission, headroom, advice, and CPU limits.

#include "runtime/manualloop.h"
#include "scheduling/admission.h"
#include "scheduling/advicecandidates.h"
#include "scheduling/advicequeue.h"
#include "scheduling/cpulimiter.h"
#include "scheduling/headroom.h"
#include "scheduling/orderwindow.h"
#include "scheduling/speedtracker.h"
#include "scheduling/workahead.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace sardinerun;
using namespace sardinerun::scheduling;

namespace {

core::Duration ms(std::int64_t n)
{
    return std::chrono::milliseconds(n);
}

Demand demandOf(std::uint32_t count, bool isAllOrNothing)
{
    Demand it;
    it.need = { core::MilliCpu(1000), core::MebiBytes(0), core::Accelerators(0) };
    it.count = count;
    it.isAllOrNothing = isAllOrNothing;
    return it;
}

std::vector<AdviceCandidate> candidatesWith(std::int64_t slots, int count, const std::string& prefix)
{
    std::vector<AdviceCandidate> all;
    all.reserve(std::size_t(count));
    for (int n = 0; n < count; ++n)
        all.push_back({ core::VmId(prefix + std::to_string(n)), slots, false, false });
    return all;
}

//! A submission of 20 tasks of four seconds each to a fleet of 100 cores with pending work.
struct Submission {
    Submission()
    {
        workflow::StepSpec step;
        step.count = 20;
        step.need = { core::MilliCpu(1000), core::MebiBytes(100), core::Accelerators(0) };
        step.estimate = ms(4000);
        spec.steps = { step };
        queue.stretch = 2;
        inputs.workers = 10;
        inputs.cores = 100;
        inputs.largestWorker = { core::MilliCpu(10000), core::MebiBytes(10000), core::Accelerators(0) };
    }

    bool isRefused() const { return refusalOf(spec, queue, inputs).has_value(); }

    workflow::JobSpec spec;
    workflow::QueuePolicy queue;
    AdmissionInputs inputs;
};

} // namespace

BOOST_AUTO_TEST_SUITE(policies)

BOOST_AUTO_TEST_CASE(job_is_refused_when_the_backlog_prevents_its_objective)
{
    Submission submission;
    BOOST_TEST(!submission.isRefused());
    submission.inputs.coreSecondsAhead = 800;
    BOOST_TEST(submission.isRefused());
}

//! Guards against refusing single tasks because of waiting gangs while a third of the fleet is free.
BOOST_AUTO_TEST_CASE(waiting_gangs_beside_free_room_cause_no_refusal)
{
    Submission submission;
    submission.inputs.gangCoreSecondsAhead = 800;
    BOOST_TEST(submission.isRefused()); // the fleet is full, so the gangs come first
    submission.inputs.freeCores = 30;
    BOOST_TEST(!submission.isRefused());
}

//! Guards against starvation of gangs by short tasks that take all room as it becomes free.
BOOST_AUTO_TEST_CASE(work_with_slack_leaves_room_for_waiting_gangs)
{
    Headroom headroom;
    headroom.beginRound();
    headroom.onGangWaiting(1, 25);
    BOOST_TEST(headroom.coresToLeaveFree(2, ms(5000), false, 100) == 25);
    BOOST_TEST(headroom.coresToLeaveFree(2, ms(1000), false, 100) == 0); // no slack
    BOOST_TEST(headroom.coresToLeaveFree(1, ms(5000), false, 100) == 0); // same priority as the gang
    headroom.onGangWaiting(0, 500);
    BOOST_TEST(headroom.coresToLeaveFree(2, ms(5000), false, 100) < 50); // limited to less than half of the fleet
    headroom.beginRound();
    BOOST_TEST(headroom.coresToLeaveFree(2, ms(5000), false, 100) == 0);
}

BOOST_AUTO_TEST_CASE(advice_request_names_as_many_workers_as_the_step_probably_needs)
{
    const auto few = selectAdviceCandidates(demandOf(4, false), candidatesWith(1, 200, "w"), 0.5, 0, false);
    const auto many = selectAdviceCandidates(demandOf(20, false), candidatesWith(1, 200, "w"), 0.5, 0, false);
    BOOST_TEST(few.size() >= 8u);
    BOOST_TEST(many.size() >= 40u);
    BOOST_TEST(many.size() <= 100u);
    BOOST_TEST(selectAdviceCandidates(demandOf(4, false), candidatesWith(1, 200, "w"), 0.5, 30, false).size() == 30u);
}

//! Guards against requesting advice under load for a gang that can't start, so that its tickets expire unused.
BOOST_AUTO_TEST_CASE(no_worker_is_named_for_a_gang_that_cannot_start)
{
    BOOST_TEST(selectAdviceCandidates(demandOf(20, true), candidatesWith(1, 20, "w"), 0.5, 30, false).empty());
    BOOST_TEST(!selectAdviceCandidates(demandOf(20, true), candidatesWith(1, 20, "w"), 0.5, 30, true)
                    .empty()); // room is reserved for it
    BOOST_TEST(!selectAdviceCandidates(demandOf(20, true), candidatesWith(2, 30, "w"), 0.5, 30, false).empty());
}

BOOST_AUTO_TEST_CASE(workers_with_reserved_room_and_allowed_workers_are_named_first)
{
    std::vector<AdviceCandidate> all = candidatesWith(1, 50, "unknown");
    all.push_back({ core::VmId("allowed"), 1, false, true });
    all.push_back({ core::VmId("kept"), 1, true, false });
    const auto named = selectAdviceCandidates(demandOf(2, false), all, 0.5, 0, false);
    BOOST_REQUIRE(named.size() >= 2u);
    BOOST_TEST(named[0].value() == "kept");
    BOOST_TEST(named[1].value() == "allowed");
}

//! Guards against gangs that wait for advice requests assigned to nodes that were killed (a third of the nodes).
BOOST_AUTO_TEST_CASE(request_of_a_failed_node_times_out_within_a_second_after_its_expected_duration)
{
    const auto loop = std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>());
    const AdviceQueuePtr adviceQueue = AdviceQueue::create(loop);
    adviceQueue->poll(core::NodeId("gone"), [](AdviceQueue::RequestId, const fleet::AdviceRequest&) {});
    std::optional<fleet::AdviceResult> got;
    adviceQueue->enqueue({}, { 1, {}, ms(1000) }, [&got](const fleet::AdviceResult& it) { got = it; });
    loop->advance(ms(1300));
    BOOST_TEST(!got.has_value());
    loop->advance(ms(700));
    BOOST_REQUIRE(got.has_value());
    BOOST_TEST(!*got);
}

//! Guards against batch work on spare CPU that pushes a service over its latency target.
BOOST_AUTO_TEST_CASE(spare_cpu_share_falls_immediately_and_rises_in_steps)
{
    CpuLimiter limiter;
    core::TimePoint now { std::chrono::hours(1) };
    const auto after = [&](std::int64_t tail) {
        now += ms(1300);
        return limiter.updateShare({ { ms(20), ms(100) }, { ms(tail), ms(100) } }, now);
    };
    BOOST_TEST(after(50) == 100);
    BOOST_TEST(after(85) == 50);
    BOOST_TEST(after(70) == 50); // between the two levels: unchanged
    BOOST_TEST(after(120) == 0);
    BOOST_TEST(after(50) == 15);
    BOOST_TEST(after(50) == 30);
    BOOST_TEST(limiter.updateShare({ { ms(50), ms(100) } }, now + ms(100))
        == 30); // the effect of the last change is not visible yet
    BOOST_TEST(limiter.updateShare({ { ms(101), ms(100) } }, now + ms(200)) == 0);
    for (int n = 0; n < 7; ++n)
        after(10);
    BOOST_TEST(after(10) == 100);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(work_ahead_counts_more_urgent_jobs_and_earlier_ones_of_the_same_priority)
{
    const core::TimePoint at { std::chrono::hours(1) };
    WorkAhead work;
    work.add(0, at + ms(9000), { 5, 7 });
    work.add(1, at, { 10, 20 });
    work.add(1, at + ms(2000), { 100, 200 });
    work.add(2, at, { 1000, 2000 });
    work.addLate(1, { 3, 4 });
    work.addLate(2, { 30, 40 });
    const WorkAhead::Sum sum = work.before(1, at + ms(1000));
    BOOST_TEST(sum.coreSeconds == 35); // gangs of the same priority count like other work
    BOOST_TEST(sum.gangCoreSeconds == 7);
    BOOST_TEST(sum.lateCoreSeconds == 7);
}

BOOST_AUTO_TEST_CASE(order_window_shrinks_while_answers_are_slow_and_grows_back)
{
    OrderWindow window;
    core::TimePoint now { std::chrono::hours(1) };
    const std::size_t initial = window.room();
    // Sends as many orders as allowed every 10 ms; `answerTime` later they are answered.
    const auto play = [&](core::Duration answerTime, int steps) {
        for (int n = 0; n < steps; ++n) {
            const std::size_t sent = window.room();
            for (std::size_t k = 0; k < sent; ++k)
                window.onSent();
            now += ms(10);
            for (std::size_t k = 0; k < sent; ++k)
                window.onSettled(answerTime, now);
        }
    };
    play(ms(5), 20);
    BOOST_TEST(window.room() >= initial);
    BOOST_TEST(window.answerTimeout(ms(220)) == ms(220));
    play(ms(400), 300);
    BOOST_TEST(window.room() <= initial / 8);
    BOOST_TEST(window.room() > 0u);
    BOOST_TEST(window.answerTimeout(ms(220)) > ms(1000));
    play(ms(5), 100);
    BOOST_TEST(window.room() >= initial);
}

//! Guards against a few workers that never answer and so slow down the starts on all others.
BOOST_AUTO_TEST_CASE(order_window_is_not_affected_by_a_few_silent_workers)
{
    OrderWindow window;
    core::TimePoint now { std::chrono::hours(1) };
    const std::size_t initial = window.room();
    for (int n = 0; n < 4000; ++n) {
        now += ms(1);
        window.onSent();
        window.onSettled(n % 20 == 0 ? ms(220) : ms(4), now);
    }
    BOOST_TEST(window.room() >= initial);
    for (int n = 0; n < 4000; ++n) { // a third of them answers very late
        now += ms(1);
        window.onSent();
        window.onSettled(n % 3 == 0 ? ms(3000) : ms(4), now);
    }
    BOOST_TEST(window.room() >= initial);
    BOOST_TEST(window.answerTimeout(ms(220)) == ms(220));
    BOOST_TEST(!window.startsPerSecond(now).has_value()); // nothing waited for it
    window.onLimited(now);
    BOOST_REQUIRE(window.startsPerSecond(now).has_value());
    BOOST_TEST(*window.startsPerSecond(now) > 900);
    now += ms(5000); // after a pause, one settled order says nothing about the rate
    window.onSent();
    window.onSettled(ms(4), now);
    window.onLimited(now);
    BOOST_TEST(!window.startsPerSecond(now).has_value());
}

//! Guards against admission that refuses the more the less it has accepted: fewer starts than before do not mean that
//! the leader can order fewer.
BOOST_AUTO_TEST_CASE(order_window_keeps_its_rate_for_some_time_while_fewer_orders_are_sent)
{
    OrderWindow window;
    core::TimePoint now { std::chrono::hours(1) };
    const auto settle = [&](int orders, core::Duration interval) {
        for (int n = 0; n < orders; ++n) {
            now += interval;
            window.onSent();
            window.onSettled(ms(4), now);
        }
        window.onLimited(now);
    };
    settle(2000, ms(1));
    settle(11, ms(50)); // little was accepted for half a second
    BOOST_REQUIRE(window.startsPerSecond(now).has_value());
    BOOST_TEST(*window.startsPerSecond(now) > 500);
    settle(100, ms(50));
    BOOST_TEST(*window.startsPerSecond(now) < 100); // it can't be known that it could order more
}

//! Guards against accepting what the leader's processor or link cannot start in time, while workers have room.
BOOST_AUTO_TEST_CASE(job_is_refused_if_the_leader_cannot_order_its_starts_in_time)
{
    Submission it;
    it.inputs.freeCores = 100;
    it.inputs.tasksAhead = 1000;
    BOOST_TEST(!it.isRefused()); // starts are not limited
    it.inputs.startsPerSecond = 500;
    BOOST_TEST(!it.isRefused());
    it.inputs.startsPerSecond = 50;
    BOOST_TEST(it.isRefused());
}

namespace {

//! Places tasks one by one, each on the candidate with the best score.
std::vector<core::VmId> placeOneByOne(
    const Demand& demand, std::vector<Candidate> candidates, const placement::IStrategy& strategy)
{
    std::vector<core::VmId> chosen;
    while (chosen.size() < demand.count) {
        Candidate* best = nullptr;
        for (Candidate& it : candidates) {
            const bool isEligible
                = demand.need.fitsIn(it.room) && (demand.maxPerWorker == 0 || it.tasksOfStep < demand.maxPerWorker);
            if (isEligible && (!best || scoreOf(demand, it, strategy) > scoreOf(demand, *best, strategy)))
                best = &it;
        }
        if (!best)
            break;
        best->room = best->room - demand.need;
        ++best->tasksOfStep;
        chosen.push_back(best->worker);
    }
    return chosen;
}

} // namespace

BOOST_AUTO_TEST_CASE(placing_many_tasks_chooses_the_best_worker_for_each)
{
    std::mt19937 random(7);
    const auto upTo = [&random](std::int64_t max) { return std::int64_t(random() % std::uint64_t(max + 1)); };
    for (int round = 0; round < 300; ++round) {
        std::vector<Candidate> candidates(std::size_t(upTo(12)));
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            Candidate& it = candidates[n];
            it.worker = core::VmId("w" + std::to_string(n));
            it.capacity = { core::MilliCpu(8000), core::MebiBytes(8000), core::Accelerators(0) };
            it.room = { core::MilliCpu(1000 * upTo(8)), core::MebiBytes(1000 * upTo(8)), core::Accelerators(0) };
            it.tasksOfStep = static_cast<std::uint32_t>(upTo(2));
            it.isLastResort = upTo(4) == 0;
        }
        Demand demand;
        demand.need = { core::MilliCpu(500 * upTo(4)), core::MebiBytes(500 * upTo(4)), core::Accelerators(0) };
        demand.count = static_cast<std::uint32_t>(upTo(40));
        demand.maxPerWorker = static_cast<std::uint32_t>(upTo(4));
        const auto& strategy = placement::strategyOf(placementStrategy);
        const auto expected = placeOneByOne(demand, candidates, strategy);
        BOOST_REQUIRE((place(demand, candidates, strategy) == expected));
    }
}

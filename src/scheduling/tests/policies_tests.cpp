//! The decisions that need no network, each under the load that it answers.

#include "runtime/manualloop.h"
#include "scheduling/admission.h"
#include "scheduling/advicecandidates.h"
#include "scheduling/advicequeue.h"
#include "scheduling/cpulimiter.h"
#include "scheduling/headroom.h"

#include <boost/test/unit_test.hpp>

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

//! A fleet of 100 cores on which twenty tasks of four seconds each come after what waits.
struct Arrival {
    Arrival()
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

BOOST_AUTO_TEST_CASE(a_backlog_of_tasks_makes_a_job_hopeless)
{
    Arrival it;
    BOOST_TEST(!it.isRefused());
    it.inputs.coreSecondsAhead = 800;
    BOOST_TEST(it.isRefused());
}

//! Pattern: gangs wait for whole room while a third of the fleet is free, and single tasks are turned away meanwhile.
BOOST_AUTO_TEST_CASE(gangs_that_wait_beside_free_room_make_nothing_hopeless)
{
    Arrival it;
    it.inputs.gangCoreSecondsAhead = 800;
    BOOST_TEST(it.isRefused()); // the fleet is full: they come first
    it.inputs.freeCores = 30;
    BOOST_TEST(!it.isRefused());
}

//! Pattern: short work takes each piece of room that becomes free, so that no gang finds enough of it.
BOOST_AUTO_TEST_CASE(work_with_time_leaves_room_for_gangs_that_wait)
{
    Headroom headroom;
    headroom.beginRound();
    headroom.onGangWaiting(1, 25);
    BOOST_TEST(headroom.coresToLeaveFree(2, ms(5000), false, 100) == 25);
    BOOST_TEST(headroom.coresToLeaveFree(2, ms(1000), false, 100) == 0); // it has no time to spare
    BOOST_TEST(headroom.coresToLeaveFree(1, ms(5000), false, 100) == 0); // not less urgent
    headroom.onGangWaiting(0, 500);
    BOOST_TEST(headroom.coresToLeaveFree(2, ms(5000), false, 100) < 50); // never most of the fleet
    headroom.beginRound();
    BOOST_TEST(headroom.coresToLeaveFree(2, ms(5000), false, 100) == 0);
}

BOOST_AUTO_TEST_CASE(as_many_workers_are_named_as_the_step_is_likely_to_need)
{
    const auto few = selectAdviceCandidates(demandOf(4, false), candidatesWith(1, 200, "w"), 0.5, 0, false);
    const auto many = selectAdviceCandidates(demandOf(20, false), candidatesWith(1, 200, "w"), 0.5, 0, false);
    BOOST_TEST(few.size() >= 8u);
    BOOST_TEST(many.size() >= 40u);
    BOOST_TEST(many.size() <= 100u);
    BOOST_TEST(selectAdviceCandidates(demandOf(4, false), candidatesWith(1, 200, "w"), 0.5, 30, false).size() == 30u);
}

//! Pattern: under load a question is spent on a gang that could not start, and its tickets lapse unused.
BOOST_AUTO_TEST_CASE(nobody_is_named_for_a_gang_that_cannot_start)
{
    BOOST_TEST(selectAdviceCandidates(demandOf(20, true), candidatesWith(1, 20, "w"), 0.5, 30, false).empty());
    BOOST_TEST(!selectAdviceCandidates(demandOf(20, true), candidatesWith(1, 20, "w"), 0.5, 30, true)
                    .empty()); // room is kept for it
    BOOST_TEST(!selectAdviceCandidates(demandOf(20, true), candidatesWith(2, 30, "w"), 0.5, 30, false).empty());
}

BOOST_AUTO_TEST_CASE(workers_with_kept_room_and_those_known_to_be_allowed_are_named_first)
{
    std::vector<AdviceCandidate> all = candidatesWith(1, 50, "unknown");
    all.push_back({ core::VmId("allowed"), 1, false, true });
    all.push_back({ core::VmId("kept"), 1, true, false });
    const auto named = selectAdviceCandidates(demandOf(2, false), all, 0.5, 0, false);
    BOOST_REQUIRE(named.size() >= 2u);
    BOOST_TEST(named[0].value() == "kept");
    BOOST_TEST(named[1].value() == "allowed");
}

//! Pattern: a third of the nodes is killed, and the questions that they carried hold gangs up.
BOOST_AUTO_TEST_CASE(a_question_whose_node_has_gone_is_given_up_within_a_second_of_its_time)
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

//! Pattern: batch work on left-over processors pushes a service over its target.
BOOST_AUTO_TEST_CASE(work_on_left_over_processors_yields_at_once_and_comes_back_step_by_step)
{
    CpuLimiter limiter;
    core::TimePoint now { std::chrono::hours(1) };
    const auto after = [&](std::int64_t tail) {
        now += ms(1300);
        return limiter.updateShare({ { ms(20), ms(100) }, { ms(tail), ms(100) } }, now);
    };
    BOOST_TEST(after(50) == 100);
    BOOST_TEST(after(85) == 50);
    BOOST_TEST(after(70) == 50); // neither tight nor calm
    BOOST_TEST(after(120) == 0);
    BOOST_TEST(after(50) == 15);
    BOOST_TEST(after(50) == 30);
    BOOST_TEST(limiter.updateShare({ { ms(50), ms(100) } }, now + ms(100)) == 30); // the last change may not show yet
    BOOST_TEST(limiter.updateShare({ { ms(101), ms(100) } }, now + ms(200)) == 0);
    for (int n = 0; n < 7; ++n)
        after(10);
    BOOST_TEST(after(10) == 100);
}

BOOST_AUTO_TEST_SUITE_END()

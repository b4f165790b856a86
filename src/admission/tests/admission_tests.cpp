#define BOOST_TEST_MODULE admission
#include "admission/admissioncontrol.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::admission;
using namespace std::chrono_literals;

namespace {

const core::TimePoint start { 1h };

QueueItem item(
    std::string job, jobs::Urgency urgency, std::string team = "a", std::optional<std::int64_t> deadline = {})
{
    QueueItem it;
    it.job = core::JobId(std::move(job));
    it.team = core::TeamId(std::move(team));
    it.urgency = urgency;
    it.since = start;
    if (deadline)
        it.deadline = core::WallTime(*deadline);
    return it;
}

jobs::JobSpec spec(std::int64_t cpu, std::uint32_t tasks, jobs::JobKind kind = jobs::JobKind::Batch)
{
    jobs::JobSpec it;
    it.id = core::JobId("j");
    it.team = core::TeamId("a");
    it.workload = "w";
    it.kind = kind;
    it.taskCount = tasks;
    it.taskResources = { core::MilliCpu(cpu), core::MebiBytes(1), {} };
    it.runTime = 10s;
    return it;
}

const placement::GuaranteedShares shares { { 30, 30, 10 } };

} // namespace

BOOST_AUTO_TEST_CASE(urgentWorkComesFirstUntilOthersFallBelowTheirGuarantee)
{
    WorkQueue queue;
    queue.push(item("low", jobs::Urgency::Low));
    queue.push(item("urgent", jobs::Urgency::Urgent));
    PickContext context;
    BOOST_TEST((queue.pick(start, shares, context) == core::JobId("urgent")));
    // Urgent work exceeds its guaranteed share, so low-urgency work below its guarantee is picked first.
    context.byUrgency = { 0.8, 0, 0.05 };
    BOOST_TEST((queue.pick(start, shares, context) == core::JobId("low")));
    context.byUrgency = { 0.8, 0, 0.2 };
    BOOST_TEST((queue.pick(start, shares, context) == core::JobId("urgent")));
}

BOOST_AUTO_TEST_CASE(theTeamWithTheLowestShareComesFirstAndThenTheEarliestDeadline)
{
    WorkQueue queue;
    queue.push(item("a1", jobs::Urgency::Normal, "a", 500));
    queue.push(item("b2", jobs::Urgency::Normal, "b", 900));
    queue.push(item("b1", jobs::Urgency::Normal, "b", 700));
    queue.push(item("b3", jobs::Urgency::Normal, "b"));
    PickContext context;
    context.ofTeam = [](const core::TeamId& it) { return it.value() == "a" ? 0.5 : 0.1; };
    BOOST_TEST((queue.pick(start, shares, context) == core::JobId("b1")));
    queue.remove(core::JobId("b1"));
    BOOST_TEST((queue.pick(start, shares, context) == core::JobId("b2")));
}

BOOST_AUTO_TEST_CASE(aDeferredJobComesBackWhenItsTimeComesOrRoomIsFreed)
{
    WorkQueue queue;
    queue.push(item("a", jobs::Urgency::Normal));
    queue.defer(core::JobId("a"), start + 1s);
    BOOST_TEST(!queue.pick(start, shares, {}));
    BOOST_TEST(bool(queue.pick(start + 1s, shares, {})));
    queue.defer(core::JobId("a"), start + 5s);
    queue.wakeDeferred();
    BOOST_TEST(bool(queue.pick(start + 1s, shares, {})));
    queue.remove(core::JobId("a"));
    BOOST_TEST(queue.size() == 0U);
    BOOST_TEST(queue.sizeOf(jobs::Urgency::Normal) == 0U);
}

BOOST_AUTO_TEST_CASE(aPausedJobIsNotResumedByFreedRoom)
{
    WorkQueue queue;
    queue.push(item("a", jobs::Urgency::Normal));
    queue.pause(core::JobId("a"), start + 1s);
    queue.wakeDeferred();
    BOOST_TEST(!queue.pick(start, shares, {}));
    BOOST_TEST(bool(queue.pick(start + 1s, shares, {})));
    queue.pause(core::JobId("a"), start + 5s);
    queue.remove(core::JobId("a"));
    BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(aJobThatNeverFitsIsRefused)
{
    const std::vector<WorkerShape> fleet { { { core::MilliCpu(4000), core::MebiBytes(100), {} }, 3 } };
    const AdmissionControl control { QueueLimits {} };
    AdmissionContext context;
    context.fleet = &fleet;
    BOOST_TEST(!control.refuse(spec(4000, 100), {}, {}, context));
    const auto tooLarge = control.refuse(spec(4001, 1), {}, {}, context);
    BOOST_REQUIRE(bool(tooLarge));
    BOOST_TEST((tooLarge->reason == RefusalReason::NeverFits));
    BOOST_TEST(!tooLarge->retryAfter);
    BOOST_TEST(!control.refuse(spec(2000, 6, jobs::JobKind::Gang), {}, {}, context));
    BOOST_TEST(bool(control.refuse(spec(2000, 7, jobs::JobKind::Gang), {}, {}, context)));
}

BOOST_AUTO_TEST_CASE(aJobThatWouldMissItsDeadlineIsRefused)
{
    const AdmissionControl control { QueueLimits {} };
    AdmissionContext context;
    context.now = core::WallTime(0);
    context.homeCapacity = { core::MilliCpu(1000), core::MebiBytes(1000), {} };
    jobs::JobSpec it = spec(1000, 1);
    it.deadline = core::WallTime(10'000);
    BOOST_TEST(!control.refuse(it, {}, {}, context));
    context.waiting = { core::MilliCpu(500), core::MebiBytes(0), {} };
    BOOST_TEST((control.refuse(it, {}, {}, context)->reason == RefusalReason::DeadlineMissed));
    RunTimeEstimator runTimes;
    for (int n = 0; n < 50; ++n)
        runTimes.report("w", 10s, 1s);
    BOOST_TEST(!control.refuse(it, {}, runTimes, context));
}

BOOST_AUTO_TEST_CASE(aJobThatWouldWaitLongerThanItsClassAllowsIsRefused)
{
    QueueLimits limits;
    limits.maxWait = { 3500ms, 0ms, 0ms };
    const AdmissionControl control { limits };
    AdmissionContext context;
    context.homeCapacity = { core::MilliCpu(1000), core::MebiBytes(1000), {} };
    context.waitingOfClass = { core::MilliCpu(300), core::MebiBytes(0), {} };
    context.meanRunTimeOfClass = 10s;
    context.shareOfClass = 1;
    jobs::JobSpec it = spec(10, 1);
    it.urgency = jobs::Urgency::Urgent;
    BOOST_TEST(!control.refuse(it, {}, {}, context)); // expected wait: 3 s
    context.shareOfClass = 0.5;
    const auto refusal = control.refuse(it, {}, {}, context); // expected wait: 6 s
    BOOST_REQUIRE(bool(refusal));
    BOOST_TEST((refusal->reason == RefusalReason::WaitTooLong));
    BOOST_TEST((refusal->retryAfter >= 2s));
    it.urgency = jobs::Urgency::Low;
    BOOST_TEST(!control.refuse(it, {}, {}, context)); // no limit for this class
}

BOOST_AUTO_TEST_CASE(queuesAreBounded)
{
    QueueLimits limits;
    limits.jobs = { 2, 2, 2 };
    limits.jobsPerTeam = 3;
    const AdmissionControl control { limits };
    WorkQueue queue;
    queue.push(item("1", jobs::Urgency::Normal));
    queue.push(item("2", jobs::Urgency::Normal));
    BOOST_TEST((control.refuse(spec(1, 1), queue, {}, {})->reason == RefusalReason::QueueFull));
    queue.remove(core::JobId("2"));
    queue.push(item("3", jobs::Urgency::Low));
    queue.push(item("4", jobs::Urgency::Low));
    BOOST_TEST((control.refuse(spec(1, 1), queue, {}, {})->reason == RefusalReason::TeamQueueFull));
}

#include "admission/admissioncontrol.h"

#include <algorithm>
#include <array>

namespace sardinerun::admission {

namespace {

constexpr core::Duration retryWhenFull = std::chrono::seconds(2);
constexpr double minClassShare = 0.01; //!< assumed for a class without any share, to keep the estimate finite

struct ReasonName {
    RefusalReason reason;
    const char* name;
};

constexpr std::array<ReasonName, 8> reasonNames { {
    { RefusalReason::QueueFull, "queueFull" },
    { RefusalReason::TeamQueueFull, "teamQueueFull" },
    { RefusalReason::NeverFits, "neverFits" },
    { RefusalReason::DeadlineMissed, "deadlineMissed" },
    { RefusalReason::WaitTooLong, "waitTooLong" },
    { RefusalReason::StoreDown, "storeDown" },
    { RefusalReason::NotOwned, "notOwned" },
    { RefusalReason::ShuttingDown, "shuttingDown" },
} };

//! Returns the number of tasks with the same requirements that fit on an empty worker.
std::int64_t tasksIn(const core::Resources& capacity, const core::Resources& taskResources)
{
    std::int64_t n = std::numeric_limits<std::int64_t>::max();
    const auto bound = [&n](std::int64_t whole, std::int64_t part) {
        if (part > 0)
            n = std::min(n, whole / part);
    };
    bound(capacity.cpu.value(), taskResources.cpu.value());
    bound(capacity.memory.value(), taskResources.memory.value());
    bound(capacity.accelerators.value(), taskResources.accelerators.value());
    return n;
}

//! Like `core::dominantShare`, but without accelerators: only a part of the jobs uses them, so work that waits for them
//! says little about the wait of others.
double dominantRatio(const core::Resources& part, const core::Resources& whole)
{
    const auto ratio = [](std::int64_t a, std::int64_t b) { return b > 0 ? double(a) / double(b) : 0.0; };
    return std::max(ratio(part.cpu.value(), whole.cpu.value()), ratio(part.memory.value(), whole.memory.value()));
}

} // namespace

const char* nameOf(RefusalReason it)
{
    for (const ReasonName& entry : reasonNames) {
        if (entry.reason == it)
            return entry.name;
    }
    return "unknown";
}

std::optional<Refusal> AdmissionControl::refuse(const jobs::JobSpec& spec, const WorkQueue& queue,
    const RunTimeEstimator& runTimes, const AdmissionContext& context) const
{
    if (auto it = refuseBySize(spec, context))
        return it;
    if (auto it = refuseByQueue(spec, queue))
        return it;
    if (auto it = refuseByWait(spec, context))
        return it;
    return refuseByDeadline(spec, runTimes, context);
}

std::optional<Refusal> AdmissionControl::refuseBySize(const jobs::JobSpec& spec, const AdmissionContext& context) const
{
    // Without a list of VMs the size of the fleet is unknown; the job is then accepted and waits.
    if (!context.fleet || context.fleet->empty())
        return std::nullopt;
    std::int64_t possible = 0;
    for (const WorkerShape& it : *context.fleet)
        possible += tasksIn(it.capacity, spec.taskResources) * it.count;
    if (possible == 0)
        return Refusal { RefusalReason::NeverFits, "no worker is large enough for one task", std::nullopt };
    if (spec.kind == jobs::JobKind::Gang && possible < spec.taskCount) {
        const std::string detail = "the empty fleet holds " + std::to_string(possible) + " of its tasks at once";
        return Refusal { RefusalReason::NeverFits, detail, std::nullopt };
    }
    return std::nullopt;
}

std::optional<Refusal> AdmissionControl::refuseByQueue(const jobs::JobSpec& spec, const WorkQueue& queue) const
{
    if (queue.sizeOf(spec.urgency) >= m_limits.jobs[jobs::indexOf(spec.urgency)])
        return Refusal { RefusalReason::QueueFull, "too many jobs of this urgency wait", retryWhenFull };
    if (queue.sizeOf(spec.team) >= m_limits.jobsPerTeam)
        return Refusal { RefusalReason::TeamQueueFull, "too many jobs of this team wait", retryWhenFull };
    return std::nullopt;
}

std::optional<Refusal> AdmissionControl::refuseByWait(const jobs::JobSpec& spec, const AdmissionContext& context) const
{
    const core::Duration limit = m_limits.maxWait[jobs::indexOf(spec.urgency)];
    if (limit == core::Duration(0))
        return std::nullopt;
    // Little's law: the expected wait is the waiting work divided by the rate at which the class completes work.
    const double rounds
        = dominantRatio(context.waitingOfClass, context.homeCapacity) / std::max(context.shareOfClass, minClassShare);
    const auto wait = std::chrono::duration_cast<core::Duration>(context.meanRunTimeOfClass * rounds);
    if (wait <= limit)
        return std::nullopt;
    const std::string detail = "it would wait about " + std::to_string(wait / std::chrono::milliseconds(1)) + " ms";
    return Refusal { RefusalReason::WaitTooLong, detail, std::max(retryWhenFull, wait - limit) };
}

std::optional<Refusal> AdmissionControl::refuseByDeadline(
    const jobs::JobSpec& spec, const RunTimeEstimator& runTimes, const AdmissionContext& context) const
{
    if (!spec.deadline)
        return std::nullopt;
    const core::Duration run = runTimes.expect(spec.workload, spec.runTime);
    // Work ahead completes in rounds of about one run time each; each round fills the home partition.
    const double rounds = dominantRatio(context.waiting, context.homeCapacity);
    const auto wait = std::chrono::duration_cast<core::Duration>(run * rounds);
    const std::int64_t neededMs = (run + wait) / std::chrono::milliseconds(1);
    if (context.now.value() + neededMs <= spec.deadline->value())
        return std::nullopt;
    const std::string detail = "it would end in about " + std::to_string(neededMs) + " ms, after its deadline";
    return Refusal { RefusalReason::DeadlineMissed, detail, std::nullopt };
}

} // namespace sardinerun::admission

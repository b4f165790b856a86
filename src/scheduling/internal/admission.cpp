#include "scheduling/admission.h"

#include "scheduling/jobmemory.h"

#include <algorithm>
#include <array>

namespace sardinerun::scheduling {

namespace {

//! Number of workers per advice request that is assumed when an objective is computed.
constexpr std::size_t workersPerRequest = 30;
//! Share of the fleet that packing can use; the rest is lost to fragmentation between tasks of different shapes.
constexpr double usableShare = 0.92;
//! Upper limit for the share of more urgent work: it is an average over times of different load, so some capacity is
//! assumed to remain.
constexpr double maxHigherPriorityShare = 0.8;
//! If this share of the fleet is free, the waiting gangs can't use the free room, but other work can.
constexpr double freeShareBesideGangs = 0.12;
//! While the leader is congested, confirmations and reports of ends are late, too, and the rate of starts varies.
constexpr double congestionMargin = 1.6;
constexpr core::Duration minRetryAfter = std::chrono::milliseconds(300);
constexpr core::Duration maxRetryAfter = std::chrono::seconds(10);

core::Duration seconds(double it)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(it));
}

bool fitsLargestWorker(const workflow::JobSpec& spec, const core::Resources& largest)
{
    return std::all_of(spec.steps.begin(), spec.steps.end(), [&largest](const workflow::StepSpec& it) {
        core::Resources need = it.need;
        if (it.usesSpareCpu)
            need.cpu = {};
        return need.fitsIn(largest);
    });
}

//! Returns the work ahead of a job. Waiting gangs count less the more room is free beside them, as they delay later
//! work only while the fleet is full.
double coreSecondsBefore(const AdmissionInputs& inputs)
{
    const double freeShare = inputs.cores > 0 ? inputs.freeCores / inputs.cores : 0;
    const double gangWeight = std::max(0.0, 1 - freeShare / freeShareBesideGangs);
    return inputs.coreSecondsAhead + inputs.gangCoreSecondsAhead * gangWeight;
}

//! Returns the time until the leader has ordered the starts ahead of a job. More urgent work that arrives meanwhile
//! starts before it, too.
core::Duration startWait(const AdmissionInputs& inputs)
{
    if (!inputs.startsPerSecond)
        return core::Duration(0);
    const double rate = *inputs.startsPerSecond;
    const double available = std::max(rate - inputs.higherPriorityStartsPerSecond, rate * (1 - maxHigherPriorityShare));
    return seconds(inputs.tasksAhead / available * congestionMargin);
}

} // namespace

const char* nameOf(RefusalCause it)
{
    static constexpr std::array<const char*, 5> names { "room", "cap", "rate", "never", "overload" };
    return names[static_cast<std::size_t>(it)];
}

double coreSecondsOf(const workflow::JobSpec& spec)
{
    double sum = 0;
    for (const workflow::StepSpec& it : spec.steps) {
        const double cores = double(it.need.cpu.value()) / 1000;
        sum += it.count * cores * std::chrono::duration<double>(it.estimate).count();
    }
    return sum;
}

core::Duration objectiveOf(const workflow::JobSpec& spec, const workflow::QueuePolicy& queue)
{
    return objectiveOf(spec, queue, workflow::criticalPath(spec));
}

core::Duration objectiveOf(
    const workflow::JobSpec& spec, const workflow::QueuePolicy& queue, core::Duration expectedChain)
{
    core::Duration chain = expectedChain;
    if (queue.advice) {
        std::vector<std::int64_t> depth;
        std::int64_t maxDepth = 0;
        for (const workflow::StepSpec& step : spec.steps) {
            std::int64_t n = 1;
            for (const std::uint32_t it : step.after)
                n = std::max(n, it < depth.size() ? depth[it] + 1 : 1);
            depth.push_back(n);
            maxDepth = std::max(maxDepth, n);
        }
        chain += queue.advice->costOf(workersPerRequest) * maxDepth;
    }
    return seconds(std::chrono::duration<double>(chain).count() * queue.stretch) + queue.latencyTarget;
}

std::optional<AdmissionRefusal> refusalOf(
    const workflow::JobSpec& spec, const workflow::QueuePolicy& queue, const AdmissionInputs& inputs)
{
    if (inputs.workers == 0)
        return AdmissionRefusal { "no worker is known for the queue", std::chrono::seconds(1) };
    if (!fitsLargestWorker(spec, inputs.largestWorker))
        return AdmissionRefusal { "no worker can hold its largest task", std::nullopt, RefusalCause::Never };
    if (inputs.jobBytes + jobBytesOf(spec) > maxJobBytes)
        return AdmissionRefusal { "the leader holds too many jobs", maxRetryAfter };
    if (spec.occurrences > 0
        || std::any_of(spec.steps.begin(), spec.steps.end(), [](const auto& it) { return it.isLongRunning; }))
        return std::nullopt; // due later or running without end, so the current load is irrelevant
    const double usable
        = inputs.cores * usableShare * (1 - std::min(inputs.higherPriorityShare, maxHigherPriorityShare));
    const core::Duration roomWait = seconds(coreSecondsBefore(inputs) / std::max(usable, 0.001));
    const core::Duration fleetWait = std::max(roomWait, startWait(inputs));
    const core::Duration wait = std::max(fleetWait, inputs.capWait) + inputs.adviceWait;
    const core::Duration chain = workflow::criticalPath(spec);
    const core::Duration objective = objectiveOf(spec, queue);
    if (wait + chain <= objective)
        return std::nullopt;
    return AdmissionRefusal { "it would end after its objective",
        std::clamp(wait + chain - objective, minRetryAfter, maxRetryAfter),
        inputs.capWait > fleetWait ? RefusalCause::Cap : RefusalCause::Room };
}

} // namespace sardinerun::scheduling

#include "scheduling/admission.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

//! Workers named in a question when its cost is reckoned for an objective.
constexpr std::size_t workersAQuestion = 30;
//! Share of the fleet that packing can use; the rest is lost between tasks of unlike shapes.
constexpr double usableShare = 0.92;
//! More urgent work may not take all of the reckoning: its share is an average of unlike moments.
constexpr double mostHigherShare = 0.8;
//! When so much of the fleet is free, the gangs that wait evidently cannot use it, and others can.
constexpr double freeBesideGangs = 0.12;
constexpr core::Duration shortestRetry = std::chrono::milliseconds(300);
constexpr core::Duration longestRetry = std::chrono::seconds(10);

core::Duration seconds(double it)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(it));
}

bool fitsSomewhere(const workflow::JobSpec& spec, const core::Resources& largest)
{
    return std::all_of(spec.steps.begin(), spec.steps.end(), [&largest](const workflow::StepSpec& it) {
        core::Resources need = it.need;
        if (it.usesSpareCpu)
            need.cpu = {};
        return need.fitsIn(largest);
    });
}

//! Gangs hold back what comes after them only as far as they leave no room beside them.
double aheadOf(const AdmissionInputs& view)
{
    const double freeShare = view.cores > 0 ? view.freeCores / view.cores : 0;
    const double gangWeight = std::max(0.0, 1 - freeShare / freeBesideGangs);
    return view.coreSecondsAhead + view.gangCoreSecondsAhead * gangWeight;
}

} // namespace

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
    core::Duration chain = workflow::criticalPath(spec);
    if (queue.advice) {
        std::vector<std::int64_t> depth;
        std::int64_t deepest = 0;
        for (const workflow::StepSpec& step : spec.steps) {
            std::int64_t n = 1;
            for (const std::uint32_t it : step.after)
                n = std::max(n, it < depth.size() ? depth[it] + 1 : 1);
            depth.push_back(n);
            deepest = std::max(deepest, n);
        }
        chain += queue.advice->costOf(workersAQuestion) * deepest;
    }
    return seconds(std::chrono::duration<double>(chain).count() * queue.stretch) + queue.latencyTarget;
}

std::optional<AdmissionRefusal> refusalOf(
    const workflow::JobSpec& spec, const workflow::QueuePolicy& queue, const AdmissionInputs& view)
{
    if (view.workers == 0)
        return AdmissionRefusal { "no worker is known for the queue", std::chrono::seconds(1) };
    if (!fitsSomewhere(spec, view.largestWorker))
        return AdmissionRefusal { "no worker can hold its largest task", std::nullopt };
    if (spec.occurrences > 0
        || std::any_of(spec.steps.begin(), spec.steps.end(), [](const auto& it) { return it.isLongRunning; }))
        return std::nullopt; // due later, or without end: the present load does not decide
    const double usable = view.cores * usableShare * (1 - std::min(view.higherShare, mostHigherShare));
    const core::Duration wait = seconds(aheadOf(view) / std::max(usable, 0.001)) + view.adviceWait;
    const core::Duration chain = workflow::criticalPath(spec);
    const core::Duration objective = objectiveOf(spec, queue);
    if (wait + chain <= objective)
        return std::nullopt;
    return AdmissionRefusal { "it would end after its objective",
        std::clamp(wait + chain - objective, shortestRetry, longestRetry) };
}

} // namespace sardinerun::scheduling

//! Inputs of admission: the load of the fleet and the work ahead of a new job.

#include "scheduling/internal/engineimpl.h"

#include <algorithm>
#include <cmath>

namespace sardinerun::scheduling {

namespace {

//! Time constant of the average of arrivals: a few seconds, which is the length of a burst.
constexpr double arrivalsSeconds = 6;

} // namespace

AdmissionInputs EngineImpl::admissionInputs(
    const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue) const
{
    AdmissionInputs inputs;
    const core::TimePoint now = m_dependencies.loop->now();
    for (const auto& [id, worker] : m_workers) {
        const fleet::WorkerEntry& entry = worker->entry();
        if (entry.service != queue.service || !worker->isListed() || entry.isDraining)
            continue;
        ++inputs.workers;
        inputs.largestWorker.cpu = std::max(inputs.largestWorker.cpu, entry.capacity.cpu);
        inputs.largestWorker.memory = std::max(inputs.largestWorker.memory, entry.capacity.memory);
        inputs.largestWorker.accelerators = std::max(inputs.largestWorker.accelerators, entry.capacity.accelerators);
        // A worker that has not answered a new leader yet is included, as it answers within a few milliseconds.
        if (worker->isUnresponsive() || m_health.isQuarantined(id, now))
            continue;
        inputs.cores += double(entry.capacity.cpu.value()) / 1000;
        inputs.freeCores += double(worker->freeRoom().cpu.value()) / 1000;
    }
    const core::TimePoint startBy = now + objectiveOf(call.spec, queue) - workflow::criticalPath(call.spec);
    for (const auto& [id, job] : m_active) {
        const int priority = job->record.queue.priority;
        if (priority > queue.priority)
            continue;
        const PendingWork work = job->pendingWork();
        const core::TimePoint jobStartBy = job->startBy();
        if (isTooLate(jobStartBy, job->objectiveAt, now)) {
            // A round places late jobs after all jobs that can be in time, so they delay none of those.
            inputs.lateCoreSeconds += work.coreSeconds + work.gangCoreSeconds;
        } else if (priority < queue.priority) {
            inputs.coreSecondsAhead += work.coreSeconds;
            inputs.gangCoreSecondsAhead += work.gangCoreSeconds;
        } else if (jobStartBy <= startBy) {
            inputs.coreSecondsAhead += work.coreSeconds + work.gangCoreSeconds;
        }
    }
    double higherPriorityLoad = 0;
    const double decay = std::exp(-std::chrono::duration<double>(now - m_arrivalsAt).count() / arrivalsSeconds);
    for (std::size_t n = 0; n < m_arrivals.size() && int(n) < queue.priority; ++n)
        higherPriorityLoad += m_arrivals[n] * decay;
    inputs.higherPriorityShare = inputs.cores > 0 ? higherPriorityLoad / inputs.cores : 0;
    if (queue.advice)
        inputs.adviceWait = queue.advice->costOf(std::min<std::size_t>(30, std::size_t(inputs.workers)));
    return inputs;
}

void EngineImpl::recordArrival(int priority, double coreSeconds)
{
    const core::TimePoint now = m_dependencies.loop->now();
    const double decay = std::exp(-std::chrono::duration<double>(now - m_arrivalsAt).count() / arrivalsSeconds);
    for (double& it : m_arrivals)
        it *= decay;
    m_arrivalsAt = now;
    const std::size_t n = std::min<std::size_t>(static_cast<std::size_t>(std::max(priority, 0)), m_arrivals.size() - 1);
    m_arrivals[n] += coreSeconds / arrivalsSeconds;
}

} // namespace sardinerun::scheduling

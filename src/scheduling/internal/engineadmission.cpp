//! Inputs of admission: the load of the fleet and the work ahead of a new job.

#include "scheduling/internal/engineimpl.h"
#include "scheduling/jobmemory.h"

#include <algorithm>
#include <cmath>

namespace sardinerun::scheduling {

namespace {

//! Time constant of the average of arrivals: a few seconds, which is the length of a burst.
constexpr double arrivalsSeconds = 6;
//! A worker that has not answered a new leader within this time is not counted on.
constexpr core::Duration firstAnswerTime = std::chrono::seconds(2);
//! Submissions within this time are decided by one snapshot, to which the jobs accepted meanwhile are added. It also
//! serves for a multiple of the time that it took.
constexpr core::Duration snapshotPeriod = std::chrono::milliseconds(20);
constexpr int snapshotCostFactor = 20;
constexpr core::Duration maxSnapshotPeriod = std::chrono::milliseconds(200);

} // namespace

AdmissionSnapshot& EngineImpl::admissionSnapshot()
{
    const core::TimePoint now = m_dependencies.loop->now();
    const core::Duration period
        = std::clamp(m_admissionSnapshot.cost * snapshotCostFactor, snapshotPeriod, maxSnapshotPeriod);
    if (m_admissionSnapshot.takenAt != core::TimePoint() && now - m_admissionSnapshot.takenAt < period)
        return m_admissionSnapshot;
    m_admissionSnapshot = {};
    m_admissionSnapshot.takenAt = now;
    for (const auto& [id, worker] : m_workers) {
        const fleet::WorkerEntry& entry = worker->entry();
        if (!worker->isListed() || entry.isDraining)
            continue;
        FleetRoom& room = m_admissionSnapshot.rooms[entry.service];
        ++room.workers;
        room.largestWorker.cpu = std::max(room.largestWorker.cpu, entry.capacity.cpu);
        room.largestWorker.memory = std::max(room.largestWorker.memory, entry.capacity.memory);
        room.largestWorker.accelerators = std::max(room.largestWorker.accelerators, entry.capacity.accelerators);
        // A worker that has not answered a new leader yet is included, as it will answer soon.
        const bool mayAnswerSoon = !worker->hasAnswered() && now - m_wonAt < firstAnswerTime;
        if ((worker->isUnresponsive() && !mayAnswerSoon) || m_health.isQuarantined(id, now))
            continue;
        room.cores += double(entry.capacity.cpu.value()) / 1000;
        room.freeCores += double(worker->freeRoom().cpu.value()) / 1000;
    }
    addPendingWork(m_admissionSnapshot);
    m_admissionSnapshot.cost = m_dependencies.loop->now() - now;
    return m_admissionSnapshot;
}

void EngineImpl::addPendingWork(AdmissionSnapshot& snapshot) const
{
    for (const auto& [id, job] : m_active) {
        if (m_usage.capOf(job->record.team) == core::Resources())
            continue;
        const core::Resources need = pendingNeedOf(*job);
        TeamWork& sum = snapshot.teams[job->record.team];
        sum.need = sum.need + need;
        core::Resources& ofPriority = sum.needByPriority[job->record.queue.priority];
        ofPriority = ofPriority + need;
    }
    snapshot.jobBytes = (m_jobs.size() - m_active.size()) * endedJobBytes;
    for (const auto& [id, job] : m_active) {
        snapshot.jobBytes += job->bytes;
        const core::TimePoint startBy = job->startBy();
        PendingWork work = job->pendingWork();
        if (const auto team = snapshot.teams.find(job->record.team); team != snapshot.teams.end())
            work = work * startableShareOf(job->record.team, team->second);
        // A round places late jobs and those beyond their team's rate after all others, so they delay none of those.
        if (job->record.isExcess || isTooLate(startBy, job->objectiveAt, snapshot.takenAt))
            snapshot.work.addLate(job->record.queue.priority, work);
        else
            snapshot.work.add(job->record.queue.priority, startBy, work);
    }
}

AdmissionInputs EngineImpl::admissionInputs(
    const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue, const workflow::JobSpec& expected)
{
    const AdmissionSnapshot& snapshot = admissionSnapshot();
    AdmissionInputs inputs;
    if (const auto it = snapshot.rooms.find(queue.service); it != snapshot.rooms.end())
        static_cast<FleetRoom&>(inputs) = it->second;
    inputs.jobBytes = snapshot.jobBytes;
    const core::TimePoint now = m_dependencies.loop->now();
    const core::TimePoint startBy = now + objectiveOf(expected, queue) - workflow::criticalPath(expected);
    const WorkAhead::Sum ahead = snapshot.work.before(queue.priority, startBy);
    inputs.coreSecondsAhead = ahead.coreSeconds;
    inputs.gangCoreSecondsAhead = ahead.gangCoreSeconds;
    inputs.lateCoreSeconds = ahead.lateCoreSeconds;
    inputs.tasksAhead = ahead.tasks;
    const core::TeamId team = teamOf(call);
    if (const auto it = snapshot.teams.find(team); it != snapshot.teams.end())
        inputs.capWait = capWait(call, queue, it->second);
    inputs.startsPerSecond = m_orderWindow->startsPerSecond(now);
    ArrivedWork moreUrgent;
    const double decay = std::exp(-std::chrono::duration<double>(now - m_arrivalsAt).count() / arrivalsSeconds);
    for (std::size_t n = 0; n < m_arrivals.size() && int(n) < queue.priority; ++n) {
        moreUrgent.coreSeconds += m_arrivals[n].coreSeconds * decay;
        moreUrgent.tasks += m_arrivals[n].tasks * decay;
    }
    inputs.higherPriorityShare = inputs.cores > 0 ? moreUrgent.coreSeconds / inputs.cores : 0;
    inputs.higherPriorityStartsPerSecond = moreUrgent.tasks;
    if (queue.advice)
        inputs.adviceWait = queue.advice->costOf(std::min<std::size_t>(30, std::size_t(inputs.workers)));
    return inputs;
}

void EngineImpl::recordArrival(int priority, const ArrivedWork& work)
{
    const core::TimePoint now = m_dependencies.loop->now();
    const double decay = std::exp(-std::chrono::duration<double>(now - m_arrivalsAt).count() / arrivalsSeconds);
    for (ArrivedWork& it : m_arrivals) {
        it.coreSeconds *= decay;
        it.tasks *= decay;
    }
    m_arrivalsAt = now;
    const std::size_t n = std::min<std::size_t>(static_cast<std::size_t>(std::max(priority, 0)), m_arrivals.size() - 1);
    m_arrivals[n].coreSeconds += work.coreSeconds / arrivalsSeconds;
    m_arrivals[n].tasks += work.tasks / arrivalsSeconds;
}

} // namespace sardinerun::scheduling

//! The part of a home that recovers the state of an earlier owner, and its periodic work.

#include "partition/internal/home.h"

#include <algorithm>

namespace sardinerun::partition {

using jobs::TaskState;

void Home::recover(std::vector<jobs::JobSnapshot> snapshots, EventTime at, Effects& effects)
{
    for (jobs::JobSnapshot& it : snapshots) {
        const core::JobId id = it.spec.id;
        const auto age = std::chrono::milliseconds(std::max<std::int64_t>(0, at.wall.value() - it.acceptedAt.value()));
        Job job(std::move(it), at.now - age);
        job.isAccepted = true;
        job.isRecovered = !job.isEnded();
        auto& waiting = m_waitingResources[jobs::indexOf(job.spec().urgency)];
        waiting = waiting + job.spec().taskResources * job.count(TaskState::Waiting);
        if (job.isEnded())
            m_endedJobs.emplace_back(at.now, id);
        m_jobs.emplace(id, std::move(job));
    }
    for (std::uint32_t n = 0; n < m_partitionCount; ++n)
        m_awaitedInventories.insert(core::PartitionId(n));
    m_capacityEpochs = m_fleet.owners;
    m_nextResend = at.now + m_times.resendInterval;
    requestInventories(effects);
}

void Home::requestInventories(Effects& effects) const
{
    std::set<core::PartitionId> recipients = m_awaitedInventories;
    // A partition with a new owner may have lost attempts of the former one.
    for (const auto& [partition, epoch] : m_fleet.owners) {
        const auto known = m_capacityEpochs.find(partition);
        if (partition != m_id && (known == m_capacityEpochs.end() || known->second < epoch))
            recipients.insert(partition);
    }
    for (const core::PartitionId it : recipients)
        effects.push_back(SendMessage { { it, protocol::RequestInventory { homeEpoch(), it } } });
}

void Home::onInventory(const protocol::Inventory& message, EventTime at, Effects& effects)
{
    if (message.to != homeEpoch() || isStaleCapacity(message.from, message.fromEpoch))
        return;
    m_capacityEpochs[message.from] = message.fromEpoch;
    std::set<core::JobId> unwanted;
    for (const core::AttemptId& it : message.attempts) {
        if (!adopt(it, message.from))
            unwanted.insert(it.job);
    }
    if (!unwanted.empty()) {
        protocol::StopJobs stop { homeEpoch(), message.from, { unwanted.begin(), unwanted.end() } };
        effects.push_back(SendMessage { { message.from, std::move(stop) } });
    }
    endMissingAttempts(message, at, effects);
    if (m_awaitedInventories.erase(message.from) > 0 && m_awaitedInventories.empty())
        finishRecovery(at, effects);
}

//! Adopts a running attempt as the newest of its task. Returns false if the attempt must be stopped.
bool Home::adopt(const core::AttemptId& id, core::PartitionId partition)
{
    const auto it = m_jobs.find(id.job);
    if (it == m_jobs.end() || !it->second.hasTask(id.task))
        return false;
    Job& job = it->second;
    if (job.isCancelled())
        return false;
    TaskRecord& task = job.mutableTask(id.task);
    if (!job.isRecovered || jobs::isEnded(task.state) || id.attempt <= task.attempt)
        return true; // already recorded or ended: the partition reports its end
    task.attempt = id.attempt;
    task.partition = partition;
    changeState(job, id.task, TaskState::Running);
    return true;
}

void Home::endMissingAttempts(const protocol::Inventory& message, EventTime at, Effects& effects)
{
    const std::set<core::AttemptId> present(message.attempts.begin(), message.attempts.end());
    std::vector<core::AttemptId> missing;
    for (const auto& [id, job] : m_jobs) {
        for (std::uint32_t n = 0; n < job.taskCount() && job.count(TaskState::Running) > 0; ++n) {
            const TaskRecord& task = job.task(core::TaskIndex(n));
            const core::AttemptId attempt { id, core::TaskIndex(n), task.attempt };
            if (task.state == TaskState::Running && task.partition == message.from && !present.contains(attempt))
                missing.push_back(attempt);
        }
    }
    for (const core::AttemptId& it : missing)
        endLostAttempt(m_jobs.at(it.job), it.task, at, effects);
}

void Home::finishRecovery(EventTime at, Effects& effects)
{
    std::vector<core::JobId> recovered;
    for (auto& [id, job] : m_jobs) {
        if (std::exchange(job.isRecovered, false))
            recovered.push_back(id);
    }
    for (const core::JobId& id : recovered) {
        Job& job = m_jobs.at(id);
        bool isChanged = false;
        for (std::uint32_t n = 0; n < job.taskCount(); ++n) {
            const core::TaskIndex task(n);
            const TaskState state = job.task(task).state;
            // The start may have been sent, but no partition has the attempt: it may have run and been lost.
            const bool isLost = state == TaskState::Placing;
            const bool isCancelled = job.isCancelled() && (isLost || state == TaskState::Waiting);
            if (!isLost && !isCancelled)
                continue;
            changeState(job, task, isCancelled && !isLost ? TaskState::Cancelled : TaskState::Unknown);
            isChanged = true;
        }
        if (isChanged)
            persist(job, false);
        onTasksChanged(job, at, effects);
    }
}

void Home::tick(EventTime at, Effects& effects)
{
    removeExpiredJobs(at);
    if (std::exchange(m_isReservationReleased, false))
        onRoomFreed();
    if (at.now < m_nextResend)
        return;
    m_nextResend = at.now + m_times.resendInterval / 2;
    requestInventories(effects);
    resend(at, effects);
}

void Home::resend(EventTime at, Effects& effects)
{
    for (auto& [id, it] : m_pendingPlacements) {
        if (it.awaitedRevision || at.now < it.sentAt + m_times.resendInterval)
            continue;
        // An attempt whose end is known must not be requested again: a new owner would start it a second time.
        const Job& job = m_jobs.at(it.message.spec.id);
        std::erase_if(it.message.tasks, [&job](const protocol::TaskAttempt& task) {
            const TaskRecord& record = job.task(task.task);
            return record.state != TaskState::Placing || record.attempt != task.attempt;
        });
        it.sentAt = at.now;
        it.message.isResend = true;
        if (!it.message.tasks.empty())
            effects.push_back(SendMessage { { it.message.to, it.message } });
    }
    std::erase_if(m_pendingPlacements, [](const auto& it) { return it.second.message.tasks.empty(); });
    for (const core::JobId& id : std::set<core::JobId>(m_stopping)) {
        const auto job = m_jobs.find(id);
        const bool isStopped = job == m_jobs.end() || job->second.partitionsWithAttempts().empty();
        if (isStopped)
            m_stopping.erase(id);
        else
            stopJob(job->second, effects);
    }
    for (const auto& [id, it] : m_gangs) {
        if (m_unpersisted.contains(id))
            continue;
        for (const GangRequest& request : it.unansweredRequests())
            sendGangRequest(m_jobs.at(id), request, true, effects);
    }
}

void Home::removeExpiredJobs(EventTime at)
{
    while (!m_endedJobs.empty() && at.now - m_endedJobs.front().first > m_times.jobRetention) {
        const core::JobId id = m_endedJobs.front().second;
        m_endedJobs.pop_front();
        if (m_unpersisted.contains(id)) {
            // The end of the job is not in the table yet. Without it a later owner would run the job again.
            m_endedJobs.emplace_back(at.now, id);
            continue;
        }
        const auto it = m_jobs.find(id);
        if (it == m_jobs.end() || !it->second.isEnded())
            continue;
        m_jobs.erase(it);
        m_unpersisted.erase(id);
        m_sendsOnPersisted.erase(id);
        m_log.remove(itemOf(id));
    }
}

} // namespace sardinerun::partition

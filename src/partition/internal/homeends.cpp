//! The part of a home that handles the ends of attempts.

#include "partition/internal/home.h"

#include <algorithm>
#include <limits>

namespace sardinerun::partition {

using jobs::TaskState;

namespace {

//! A failure to start a task is the worker's fault, not the task's, so more of these failures are tolerated.
constexpr std::uint32_t startFailuresPerAttempt = 5;

} // namespace

TaskState Home::stateAfter(Job& job, TaskRecord& task, const protocol::AttemptEnded& message) const
{
    using State = services::AttemptState;
    const jobs::JobSpec& spec = job.spec();
    const bool isService = spec.kind == jobs::JobKind::Service;
    if (message.state == State::Succeeded && !isService)
        return TaskState::Succeeded;
    if (job.isCancelled())
        return TaskState::Cancelled;
    if (message.state == State::NotStarted) {
        ++task.startFailures;
        return task.startFailures < startFailuresPerAttempt * spec.maxAttempts ? TaskState::Waiting : TaskState::Failed;
    }
    if (message.state == State::Stopped)
        return spec.isRepeatable ? TaskState::Waiting : TaskState::Unknown;
    ++task.failures;
    if (isService)
        return TaskState::Waiting;
    return spec.isRepeatable && task.failures < spec.maxAttempts ? TaskState::Waiting : TaskState::Failed;
}

void Home::onAttemptEnded(const protocol::AttemptEnded& message, EventTime at, Effects& effects)
{
    const auto it = m_jobs.find(message.id.job);
    if (it == m_jobs.end() || !it->second.hasTask(message.id.task)) {
        sendEndPersisted(message.id.job, message, effects);
        return;
    }
    Job& job = it->second;
    const TaskRecord& task = job.task(message.id.task);
    // Until all inventories have arrived the newest attempt is not known, so the end of any attempt counts.
    const bool isNewest = task.attempt == message.id.attempt && task.state != TaskState::Waiting;
    if (!jobs::isEnded(task.state) && (isNewest || job.isRecovered))
        applyEnd(job, message, at, effects);
    sendEndPersisted(message.id.job, message, effects);
}

void Home::applyEnd(Job& job, const protocol::AttemptEnded& message, EventTime at, Effects& effects)
{
    TaskRecord& task = job.mutableTask(message.id.task);
    task.attempt = std::max(task.attempt, message.id.attempt);
    const TaskState state = stateAfter(job, task, message);
    changeState(job, message.id.task, state);
    if (state == TaskState::Succeeded) {
        ++m_counters.tasksSucceeded;
        m_runTimes.report(job.spec().workload, job.spec().runTime, message.elapsed);
    }
    if (state == TaskState::Failed)
        ++m_counters.tasksFailed;
    if (message.isLost)
        ++m_counters.attemptsLost;
    const bool isFault
        = message.state == services::AttemptState::Failed || message.state == services::AttemptState::NotStarted;
    if (jobs::isEnded(state))
        persist(job, false);
    else
        job.refusedBy.clear();
    onTasksChanged(job, at, effects);
    if (state != TaskState::Waiting || !isFault || !m_queue.contains(job.spec().id))
        return;
    pause(job, task.failures + task.startFailures, at.now);
    // The worker may have caused the fault, and freed room here does not change that.
    job.refusedBy.insert(message.from);
    job.refusedInGeneration = std::numeric_limits<std::uint64_t>::max();
}

void Home::endLostAttempt(Job& job, core::TaskIndex task, EventTime at, Effects& effects)
{
    protocol::AttemptEnded end;
    end.from = job.task(task).partition;
    end.home = m_id;
    end.id = { job.spec().id, task, job.task(task).attempt };
    end.state = services::AttemptState::Stopped;
    end.isLost = true;
    applyEnd(job, end, at, effects);
}

void Home::onTasksChanged(Job& job, EventTime at, Effects& effects)
{
    if (job.isEnded()) {
        m_queue.remove(job.spec().id);
        m_endedJobs.emplace_back(at.now, job.spec().id);
        return;
    }
    if (job.waiting().empty() || job.isRecovered)
        return;
    if (job.spec().kind != jobs::JobKind::Gang) {
        enqueue(job);
        return;
    }
    // The tasks of a gang also restart together.
    const bool isQuiescent = job.count(TaskState::Running) + job.count(TaskState::Placing) == 0;
    if (isQuiescent) {
        m_stopping.erase(job.spec().id); // otherwise the next attempt would be stopped as well
        enqueue(job);
    } else if (job.count(TaskState::Running) > 0 && !m_gangs.contains(job.spec().id)) {
        stopJob(job, effects);
    }
}

void Home::stopJob(const Job& job, Effects& effects)
{
    m_stopping.insert(job.spec().id);
    for (const core::PartitionId it : job.partitionsWithAttempts())
        effects.push_back(SendMessage { { it, protocol::StopJobs { homeEpoch(), it, { job.spec().id } } } });
}

} // namespace sardinerun::partition

#include "partition/internal/job.h"

namespace sardinerun::partition {

using jobs::TaskState;

Job::Job(jobs::JobSnapshot snapshot, core::TimePoint waitingSince)
    : m_snapshot(std::move(snapshot))
    , m_waitingSince(waitingSince)
    , m_tasks(m_snapshot.spec.taskCount)
{
    m_snapshot.ended.resize(m_tasks.size(), TaskState::Waiting);
    for (std::uint32_t n = 0; n < m_tasks.size(); ++n) {
        m_tasks[n].state = m_snapshot.ended[n];
        ++m_counts[static_cast<std::size_t>(m_tasks[n].state)];
        if (m_tasks[n].state == TaskState::Waiting)
            m_waiting.insert(core::TaskIndex(n));
    }
}

void Job::setState(core::TaskIndex index, TaskState state)
{
    TaskRecord& it = m_tasks[index.value()];
    --m_counts[static_cast<std::size_t>(it.state)];
    ++m_counts[static_cast<std::size_t>(state)];
    it.state = state;
    if (state == TaskState::Waiting)
        m_waiting.insert(index);
    else
        m_waiting.erase(index);
}

bool Job::isEnded() const
{
    return count(TaskState::Waiting) + count(TaskState::Placing) + count(TaskState::Running) == 0;
}

std::set<core::PartitionId> Job::partitionsWithAttempts() const
{
    std::set<core::PartitionId> partitions;
    for (const TaskRecord& it : m_tasks) {
        if (it.state == TaskState::Running || it.state == TaskState::Placing)
            partitions.insert(it.partition);
    }
    return partitions;
}

jobs::JobSnapshot Job::snapshot() const
{
    jobs::JobSnapshot it = m_snapshot;
    for (std::size_t n = 0; n < m_tasks.size(); ++n) {
        const TaskState state = m_tasks[n].state;
        if (jobs::isEnded(state))
            it.ended[n] = state;
        else
            it.ended[n] = !spec().isRepeatable && state != TaskState::Waiting ? TaskState::Placing : TaskState::Waiting;
    }
    return it;
}

jobs::JobStatus Job::status() const
{
    jobs::JobStatus it;
    it.spec = spec();
    it.acceptedAt = acceptedAt();
    it.waiting = count(TaskState::Waiting) + count(TaskState::Placing);
    it.running = count(TaskState::Running);
    it.succeeded = count(TaskState::Succeeded);
    it.failed = count(TaskState::Failed);
    it.cancelled = count(TaskState::Cancelled);
    it.unknown = count(TaskState::Unknown);
    if (!isEnded())
        it.state = it.running > 0 ? jobs::JobState::Running : jobs::JobState::Waiting;
    else if (it.unknown > 0)
        it.state = jobs::JobState::Unknown;
    else if (it.failed > 0)
        it.state = jobs::JobState::Failed;
    else if (it.cancelled > 0)
        it.state = jobs::JobState::Cancelled;
    else
        it.state = jobs::JobState::Succeeded;
    return it;
}

} // namespace sardinerun::partition

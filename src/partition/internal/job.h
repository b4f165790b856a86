#pragma once

#include "partition/partitiontypes.h"

#include <set>

namespace sardinerun::partition {

//! State of a task in its home partition.
struct TaskRecord {
    jobs::TaskState state = jobs::TaskState::Waiting;
    core::AttemptNumber attempt; //!< newest attempt
    core::PartitionId partition; //!< partition that has the newest attempt
    std::uint32_t failures = 0;
    std::uint32_t startFailures = 0;
};

//! State of a job in its home partition, with the number of its tasks in each state.
class Job {
public:
    Job(jobs::JobSnapshot snapshot, core::TimePoint waitingSince);

    const jobs::JobSpec& spec() const { return m_snapshot.spec; }
    bool isCancelled() const { return m_snapshot.isCancelled; }
    void setCancelled() { m_snapshot.isCancelled = true; }
    core::WallTime acceptedAt() const { return m_snapshot.acceptedAt; }
    core::TimePoint waitingSince() const { return m_waitingSince; }

    const TaskRecord& task(core::TaskIndex index) const { return m_tasks[index.value()]; }
    TaskRecord& mutableTask(core::TaskIndex index) { return m_tasks[index.value()]; }
    std::uint32_t taskCount() const { return static_cast<std::uint32_t>(m_tasks.size()); }
    bool hasTask(core::TaskIndex index) const { return index.value() < m_tasks.size(); }

    void setState(core::TaskIndex index, jobs::TaskState state);
    const std::set<core::TaskIndex>& waiting() const { return m_waiting; }
    std::uint32_t count(jobs::TaskState state) const { return m_counts[static_cast<std::size_t>(state)]; }
    bool isEnded() const;
    //! Returns the partitions that have attempts of the job now.
    std::set<core::PartitionId> partitionsWithAttempts() const;

    //! Returns the record to persist. For a non-repeatable job it marks the tasks whose start may have been sent.
    jobs::JobSnapshot snapshot() const;
    jobs::JobStatus status() const;

    bool isAccepted = false; //!< the record of the job is persisted
    bool isRecovered = false; //!< accepted by an earlier owner; waits for inventories
    bool wasPlaced = false;
    std::uint32_t deferrals = 0; //!< consecutive deferrals, for the backoff
    std::set<core::PartitionId> refusedBy; //!< partitions that had no room since the last deferral
    //! Room generation in which the home's own partition refused; see Home::m_roomGeneration.
    std::uint64_t refusedInGeneration = 0;

private:
    jobs::JobSnapshot m_snapshot;
    core::TimePoint m_waitingSince;
    std::vector<TaskRecord> m_tasks;
    std::set<core::TaskIndex> m_waiting;
    std::array<std::uint32_t, 7> m_counts {};
};

} // namespace sardinerun::partition

#pragma once

#include "partition/partitiontypes.h"

#include <set>

namespace sardinerun::partition {

//! One task as its home sees it.
struct TaskRecord {
    jobs::TaskState state = jobs::TaskState::Waiting;
    core::AttemptNumber attempt; //!< the newest
    core::PartitionId where; //!< partition that has the newest attempt
    std::uint32_t failures = 0;
    std::uint32_t startFailures = 0;
};

//! One job as its home sees it. Keeps the counts of its tasks.
class Job {
public:
    Job(jobs::JobSnapshot snapshot, core::TimePoint since);

    const jobs::JobSpec& spec() const { return m_snapshot.spec; }
    bool isCancelled() const { return m_snapshot.isCancelled; }
    void setCancelled() { m_snapshot.isCancelled = true; }
    core::WallTime acceptedAt() const { return m_snapshot.acceptedAt; }
    core::TimePoint since() const { return m_since; }

    const TaskRecord& task(core::TaskIndex index) const { return m_tasks[index.value()]; }
    TaskRecord& mutableTask(core::TaskIndex index) { return m_tasks[index.value()]; }
    std::uint32_t taskCount() const { return static_cast<std::uint32_t>(m_tasks.size()); }
    bool hasTask(core::TaskIndex index) const { return index.value() < m_tasks.size(); }

    void setState(core::TaskIndex index, jobs::TaskState state);
    const std::set<core::TaskIndex>& waiting() const { return m_waiting; }
    std::uint32_t count(jobs::TaskState state) const { return m_counts[static_cast<std::size_t>(state)]; }
    bool isEnded() const;
    //! Partitions that have attempts of it now.
    std::set<core::PartitionId> places() const;

    //! What must be kept: with tasks whose start may have been sent, when they may not be repeated.
    jobs::JobSnapshot snapshot() const;
    jobs::JobStatus status() const;

    bool isAccepted = false; //!< its record is kept
    bool isRecovered = false; //!< accepted by an earlier owner; waits for the inventories
    bool isFirstPlaced = false;
    std::uint32_t deferrals = 0; //!< in a row, for the backoff
    std::set<core::PartitionId> refusedBy; //!< partitions without room, since the last deferral
    //! Round of room in which the home's own partition refused; see Home::m_roomRound.
    std::uint64_t refusedInRound = 0;

private:
    jobs::JobSnapshot m_snapshot;
    core::TimePoint m_since;
    std::vector<TaskRecord> m_tasks;
    std::set<core::TaskIndex> m_waiting;
    std::array<std::uint32_t, 7> m_counts {};
};

} // namespace sardinerun::partition

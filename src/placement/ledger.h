#pragma once

#include "placement/istrategy.h"
#include "placement/placementtypes.h"
#include "placement/roomindex.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace sardinerun::placement {

//! Commitments of the workers of one partition. Its owner is the only one that decides about them.
//!
//! A worker's room is its capacity less what is committed. Invariant: a choice never takes room that is not there.
//! Commitments of tasks that are found running are recorded in any case, since they do run.
class Ledger {
public:
    //! Adds a worker, or changes its capacity. New workers are closed.
    void putWorker(const Worker& worker);
    //! Forgets a worker with its commitments; gives the attempts that were on it.
    std::vector<core::AttemptId> removeWorker(const core::VmId& id);
    //! A closed worker gets no new task.
    void setOpen(const core::VmId& id, bool isOpen);
    bool isOpen(const core::VmId& id) const;
    bool hasWorker(const core::VmId& id) const { return m_byId.contains(id); }
    const Worker* worker(const core::VmId& id) const;

    void setShares(const GuaranteedShares& shares) { m_shares = shares; }

    //! Finds a worker for a task; nothing is committed yet.
    Choice choose(const Need& need, const IStrategy& strategy) const;

    //! Commits room. A commitment of the same attempt is replaced.
    void commit(const core::AttemptId& id, const Commitment& commitment);
    void release(const core::AttemptId& id);
    //! Corrects a commitment by what the task was seen to use.
    void resize(const core::AttemptId& id, const core::Resources& resources);
    const Commitment* find(const core::AttemptId& id) const;
    std::vector<core::AttemptId> attemptsOn(const core::VmId& id) const;

    //! Borrowed attempts on one worker whose end would make room for `need`; empty when there are none.
    std::vector<core::AttemptId> victimsFor(const Need& need) const;
    //! True when the class, with the task, stays within what it is guaranteed.
    bool isWithinGuarantee(const Need& need) const;

    core::Resources total() const { return m_total; }
    core::Resources committed() const { return m_committed; }
    core::Resources committedOn(const core::VmId& id) const;
    //! Dominant share of a class, in parts of the open and closed workers together: 0 to 1.
    double shareOf(jobs::Urgency urgency, const core::Resources& extra = {}) const;
    //! Room of an open worker that has much of it: a hint, since no worker need have the most of everything.
    core::Resources largestRoom() const;
    std::size_t workerCount() const { return m_byId.size(); }
    std::size_t openCount() const { return m_openCount; }

private:
    struct Entry {
        Worker worker;
        core::Resources committed;
        bool isOpen = false;
        bool isPresent = true;
        std::vector<core::AttemptId> attempts;
        core::Resources room() const { return worker.capacity - committed; }
    };

    RoomIndex& indexOf(const Entry& entry);
    void setCommitted(WorkerIndex index, const core::Resources& committed);
    double shareCap(jobs::Urgency urgency) const;
    bool mayBorrow(const Need& need) const { return need.isPreemptible; }
    void considerAll(const Need& need, const IStrategy& strategy, Choice& best) const;
    void considerFirst(const Need& need, Choice& best) const;

    std::vector<Entry> m_workers;
    std::unordered_map<core::VmId, WorkerIndex> m_byId;
    std::unordered_map<core::AttemptId, Commitment> m_commitments;
    RoomIndex m_plain; //!< open workers without accelerators
    RoomIndex m_accelerated; //!< open workers with accelerators, kept for tasks that need them
    GuaranteedShares m_shares;
    core::Resources m_total;
    core::Resources m_committed;
    jobs::ByUrgency<core::Resources> m_byUrgency;
    std::size_t m_openCount = 0;
};

} // namespace sardinerun::placement

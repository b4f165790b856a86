#pragma once

#include "placement/istrategy.h"
#include "placement/placementtypes.h"
#include "placement/roomindex.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace sardinerun::placement {

//! Room committed on the workers of one partition. Only the owner of the partition changes it.
//!
//! A worker's room is its capacity minus its commitments. Invariant: `choose` never selects a worker with too little
//! room. Commitments of tasks that are found running are recorded even if they exceed the capacity.
class Ledger {
public:
    //! Adds a worker, initially closed, or updates a worker.
    void putWorker(const Worker& worker);
    //! Removes a worker and its commitments. Returns the attempts that were placed on it.
    std::vector<core::AttemptId> removeWorker(const core::VmId& id);
    //! Opens or closes a worker. A closed worker gets no new tasks.
    void setOpen(const core::VmId& id, bool isOpen);
    bool isOpen(const core::VmId& id) const;
    bool hasWorker(const core::VmId& id) const { return m_byId.contains(id); }
    const Worker* worker(const core::VmId& id) const;

    void setShares(const GuaranteedShares& shares) { m_shares = shares; }

    //! Selects a worker for a task without committing room.
    Choice choose(const Need& need, const IStrategy& strategy) const;

    //! Commits room for an attempt; replaces its previous commitment.
    void commit(const core::AttemptId& id, const Commitment& commitment);
    void release(const core::AttemptId& id);
    //! Adjusts a commitment to the observed usage of the task.
    void resize(const core::AttemptId& id, const core::Resources& resources);
    const Commitment* find(const core::AttemptId& id) const;
    std::vector<core::AttemptId> attemptsOn(const core::VmId& id) const;

    //! Returns borrowed attempts on one worker whose preemption would make room for `need`; empty if there are none.
    std::vector<core::AttemptId> victimsFor(const Need& need) const;
    //! Returns whether the class stays within its guaranteed share with the task added.
    bool isWithinGuarantee(const Need& need) const;

    core::Resources total() const { return m_total; }
    core::Resources committed() const { return m_committed; }
    core::Resources committedOn(const core::VmId& id) const;
    //! Returns the dominant share of a class in the capacity of all workers, open or closed: 0 to 1.
    double shareOf(jobs::Urgency urgency, const core::Resources& extra = {}) const;
    //! Returns the room of an open worker with much free CPU. Only a hint: another one may have more memory or
    //! accelerators, and not all workers are compared.
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

    RoomIndex& roomIndexOf(const Entry& entry);
    void setCommitted(WorkerIndex index, const core::Resources& committed);
    double maxShare(jobs::Urgency urgency) const;
    bool mayBorrow(const Need& need) const { return need.isPreemptible; }
    void chooseBestScored(const Need& need, const IStrategy& strategy, Choice& best) const;
    void chooseFirstFitting(const Need& need, Choice& best) const;

    std::vector<Entry> m_workers;
    std::unordered_map<core::VmId, WorkerIndex> m_byId;
    std::unordered_map<core::AttemptId, Commitment> m_commitments;
    RoomIndex m_plain; //!< open workers without accelerators
    RoomIndex m_accelerated; //!< open workers with accelerators; other tasks use them only as a last resort
    GuaranteedShares m_shares;
    core::Resources m_total;
    core::Resources m_committed;
    jobs::ByUrgency<core::Resources> m_committedByUrgency;
    std::size_t m_openCount = 0;
};

} // namespace sardinerun::placement

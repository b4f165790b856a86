#pragma once

#include "partition/partitiontypes.h"

#include <memory>

namespace sardinerun::partition {

//! Identifies one ownership of a partition.
struct Ownership {
    core::PartitionId id;
    core::Epoch epoch;
    std::uint32_t partitionCount = 1;
    services::RowCheck fence; //!< the partition's row as this owner wrote it
    std::map<core::PartitionId, core::Epoch> owners; //!< epochs of all partitions, read after this takeover
    bool isFormerOwnerGone = false; //!< the former owner handed over or is known to have ended
};

//! Snapshot of the state for metrics and for operators.
struct PartitionView {
    core::PartitionId id;
    core::Epoch epoch;
    bool isRecovered = false;
    jobs::ByUrgency<std::size_t> queued {};
    jobs::ByUrgency<core::Duration> oldestWait {};
    std::size_t jobs = 0;
    std::size_t attempts = 0;
    std::size_t workers = 0;
    std::size_t readyWorkers = 0;
    std::size_t quarantinedWorkers = 0;
    core::Resources total;
    core::Resources committed;
    std::size_t logRows = 0;
    std::uint64_t logGroups = 0;
    bool isStoreHealthy = true;
    Counters counters;
};

class Partition;
using PartitionPtr = std::unique_ptr<Partition>;

//! The owner's state of one partition: the home of its jobs and idempotency keys, and the capacity of its workers.
//!
//! The caller passes events with their times, then applies the effects that `takeEffects` returns.
class Partition {
public:
    //! Copies the times. Nothing is sent before `recover`.
    static PartitionPtr create(Ownership ownership, PartitionTimes times);
    ~Partition();

    //! Restores the state from the rows of the partition's log. Throws codec::DecodeError if they cannot be decoded.
    void recover(const std::vector<services::Row>& rows, EventTime at);

    void setPolicy(const Policy& policy);
    //! Sets all workers of the platform's list; the partition selects its own.
    void setWorkers(const std::vector<services::VmInfo>& workers, EventTime at);
    void setOwners(const std::map<core::PartitionId, core::Epoch>& owners);
    void setFormerOwnerGone(EventTime at);
    //! Sets the time until which the node's membership is certain. After it no new worker session is accepted, no
    //! worker counts as lost and no job is denied to a caller. A time, as the node may be paused before it would say
    //! that the membership has lapsed.
    void setMembershipCertainUntil(core::TimePoint time);

    void receive(const protocol::Message& message, EventTime at);
    void onSyncResult(const core::VmId& worker, const services::SyncResult& result, EventTime at);
    void onCommitted(const services::StoreError* error, core::RowVersion version, EventTime at);
    void onRead(const core::RetVal<std::vector<services::Row>, services::StoreError>& result, EventTime at);
    void tick(EventTime at);

    //! Places waiting jobs and returns all effects that are due.
    Effects takeEffects(EventTime at);

    protocol::RoomHint hint() const;
    PartitionView view(EventTime at) const;
    //! Returns whether no record waits to be persisted, so that the partition can be handed over.
    bool isQuiescent() const;
    //! Returns false while the store does not take this partition's writes; new work is refused meanwhile.
    bool isStoreHealthy() const;

    static core::PartitionId partitionOf(const core::VmId& worker, std::uint32_t partitionCount);

private:
    struct State;
    explicit Partition(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace sardinerun::partition

#pragma once

#include "partition/partitiontypes.h"

#include <memory>

namespace sardinerun::partition {

//! Identity of one ownership of a partition.
struct Ownership {
    core::PartitionId id;
    core::Epoch epoch;
    std::uint32_t partitionCount = 1;
    services::RowCheck fence; //!< the partition's row as this owner wrote it
    std::map<core::PartitionId, core::Epoch> owners; //!< epochs of all partitions, read after this one was taken
    bool isFormerOwnerGone = false; //!< it handed over, or is known to have ended
};

//! State for metrics and for the operators' view.
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

//! The owner's state of one partition: home of jobs and keys, and decider about workers.
//!
//! Feed it events with their moment, then carry out what `takeEffects` gives.
class Partition {
public:
    //! The times are copied; nothing is sent before `recover`.
    static PartitionPtr create(Ownership ownership, PartitionTimes times);
    ~Partition();

    //! Starts with the rows of the partition's log. Throws codec::DecodeError when they cannot be read.
    void recover(const std::vector<services::Row>& rows, EventTime at);

    void setPolicy(const Policy& policy);
    //! All workers of the platform's list; the partition picks its own.
    void setWorkers(const std::vector<services::VmInfo>& workers, EventTime at);
    void setOwners(const std::map<core::PartitionId, core::Epoch>& owners);
    void setFormerOwnerGone(EventTime at);
    //! Whether the node's membership is certain at this moment; without it no worker session is taken up.
    void setCertain(bool isCertain);

    void receive(const protocol::Message& message, EventTime at);
    void onWorker(const core::VmId& worker, const services::SyncResult& result, EventTime at);
    void onCommitted(const services::StoreError* error, core::RowVersion version, EventTime at);
    void onRead(const core::RetVal<std::vector<services::Row>, services::StoreError>& result, EventTime at);
    void tick(EventTime at);

    //! Places what waits and gives everything that is to be done now.
    Effects takeEffects(EventTime at);

    protocol::RoomHint hint() const;
    PartitionView view(EventTime at) const;
    //! True when nothing waits to be kept, so that the partition can be handed over.
    bool isQuiescent() const;

    static core::PartitionId partitionOf(const core::VmId& worker, std::uint32_t partitionCount);

private:
    struct State;
    explicit Partition(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace sardinerun::partition

#pragma once

#include "node/tasks.h"
#include "partition/partition.h"

namespace sardinerun::node {

//! Owns the state machines of this node's partitions and executes their effects.
class PartitionsTask : public runtime::Task<PartitionsMessage>, public ITask<PartitionsMessage> {
public:
    PartitionsTask(runtime::ILoopPtr loop, services::ITableStorePtr store, services::IWorkerClientPtr workers,
        partition::PartitionTimes times, telemetry::MetricsPtr metrics, PartitionsHooks hooks);
    void start() override;
    runtime::Address<PartitionsMessage> taskAddress() override { return address(); }
    void receive(PartitionsMessage message) override;

private:
    struct Owned {
        core::Epoch epoch;
        partition::PartitionPtr partition;
        bool isLoaded = false;
        bool isHandingOver = false;
        bool isStoreUp = true; //!< as last logged
        bool isFrozen = false; //!< this node has finished its part of the hand-over, or has lost the partition
    };

    void on(MessageToPartition& message);
    void on(CellUpdatePtr& update);
    void on(ReadPartitions& message);
    void on(protocol::RoomHint& hint);

    partition::EventTime eventTime() const { return { now(), loop()->wallNow() }; }
    bool isPresetActive() const;
    void applyPolicy();
    partition::Policy policyOf(const configuration::Preset& preset) const;
    void takeOver(core::PartitionId id, const membership::PartitionRow& row);
    void load(core::PartitionId id, core::Epoch epoch);
    void applyUpdate(core::PartitionId id, Owned& owned);
    void rejectWhileMoving(core::PartitionId id, const protocol::Message& message);
    void flushSoon();
    void flushAll();
    void executeEffects(core::PartitionId id, Owned& owned);
    void logStoreChange(core::PartitionId id, Owned& owned);
    void executeEffect(core::PartitionId id, Owned& owned, partition::Effect& effect);
    void perform(core::PartitionId id, core::Epoch epoch, partition::SyncWorker& effect);
    void perform(core::PartitionId id, core::Epoch epoch, partition::CommitToStore& effect);
    void perform(core::PartitionId id, core::Epoch epoch, partition::ReadStore& effect);
    Owned* find(core::PartitionId id, core::Epoch epoch);
    void tick();
    void sendRoomHints();
    void updateMetrics();

    services::ITableStorePtr m_store;
    services::IWorkerClientPtr m_workers;
    partition::PartitionTimes m_times;
    telemetry::MetricsPtr m_metrics;
    PartitionsHooks m_hooks;
    CellUpdatePtr m_update;
    std::map<core::PartitionId, Owned> m_owned;
    std::shared_ptr<const std::vector<services::VmInfo>> m_vms;
    bool m_wasPresetActive = false;
    bool m_isFlushPosted = false;
};

} // namespace sardinerun::node

#pragma once

#include "node/tasks.h"
#include "partition/partition.h"

namespace sardinerun::node {

//! Owns the machines of the partitions that this node owns, and carries out their effects.
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
        partition::PartitionPtr machine;
        bool isLoaded = false;
        bool isHandingOver = false;
        bool isFrozen = false; //!< handed over as far as this node is concerned
    };

    void on(MessageToPartition& message);
    void on(CellUpdatePtr& news);
    void on(ReadPartitions& message);
    void on(protocol::RoomHint& hint);

    partition::EventTime moment() const { return { now(), loop()->wallNow() }; }
    bool isActing() const;
    void applyPolicy();
    partition::Policy policyOf(const configuration::Preset& preset) const;
    void takeOver(core::PartitionId id, const membership::PartitionRow& row);
    void load(core::PartitionId id, core::Epoch epoch);
    void followNews(core::PartitionId id, Owned& owned);
    void refuseWhileMoving(core::PartitionId id, const protocol::Message& message);
    void flushSoon();
    void flushAll();
    void step(core::PartitionId id, Owned& owned);
    void carryOut(core::PartitionId id, Owned& owned, partition::Effect& effect);
    void perform(core::PartitionId id, core::Epoch epoch, partition::SyncWorker& effect);
    void perform(core::PartitionId id, core::Epoch epoch, partition::CommitToStore& effect);
    void perform(core::PartitionId id, core::Epoch epoch, partition::ReadStore& effect);
    Owned* find(core::PartitionId id, core::Epoch epoch);
    void tick();
    void shareHints();
    void report();

    services::ITableStorePtr m_store;
    services::IWorkerClientPtr m_workers;
    partition::PartitionTimes m_times;
    telemetry::MetricsPtr m_metrics;
    PartitionsHooks m_hooks;
    CellUpdatePtr m_news;
    std::map<core::PartitionId, Owned> m_owned;
    std::shared_ptr<const std::vector<services::VmInfo>> m_vms;
    bool m_wasActing = false;
    bool m_isFlushPosted = false;
};

} // namespace sardinerun::node

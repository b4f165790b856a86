#include "node/internal/partitionstask.h"

#include "acceptance/grouplog.h"
#include "codec/json.h"
#include "membership/cellcodec.h"
#include "telemetry/log.h"

#include <array>

namespace sardinerun::node {

namespace {

constexpr core::Duration tickPeriod = std::chrono::milliseconds(50);
constexpr core::Duration hintPeriod = std::chrono::seconds(1);
constexpr core::Duration reportPeriod = std::chrono::seconds(1);
constexpr core::Duration loadRetryDelay = std::chrono::milliseconds(250);
constexpr core::Duration retryAfterMove = std::chrono::seconds(1);

} // namespace

PartitionsTask::PartitionsTask(runtime::ILoopPtr loop, services::ITableStorePtr store,
    services::IWorkerClientPtr workers, partition::PartitionTimes times, telemetry::MetricsPtr metrics,
    PartitionsHooks hooks)
    : Task(std::move(loop))
    , m_store(std::move(store))
    , m_workers(std::move(workers))
    , m_times(times)
    , m_metrics(std::move(metrics))
    , m_hooks(std::move(hooks))
    , m_update(std::make_shared<CellUpdate>())
{
}

void PartitionsTask::start()
{
    every(tickPeriod, [this] { tick(); });
    every(hintPeriod, [this] { sendRoomHints(); });
    every(reportPeriod, [this] { updateMetrics(); });
}

void PartitionsTask::receive(PartitionsMessage message)
{
    std::visit([this](auto& it) { on(it); }, message);
}

PartitionsTask::Owned* PartitionsTask::find(core::PartitionId id, core::Epoch epoch)
{
    const auto it = m_owned.find(id);
    return it != m_owned.end() && it->second.epoch == epoch ? &it->second : nullptr;
}

// --- Updates of the cell

bool PartitionsTask::isPresetActive() const
{
    return m_update->memberState.activeConfig.value() > 0 && now() < m_update->memberState.leaseValidUntil;
}

partition::Policy PartitionsTask::policyOf(const configuration::Preset& preset) const
{
    partition::Policy policy;
    policy.strategy = preset.placement;
    policy.shares = preset.shares;
    policy.usage = preset.usage;
    policy.queues = preset.queues;
    policy.mayBorrow = preset.mayBorrow;
    if (m_update->configuration) {
        for (const teams::Team& it : m_update->configuration->teams)
            policy.teamWeights[it.id] = it.weight;
    }
    return policy;
}

void PartitionsTask::applyPolicy()
{
    m_wasPresetActive = isPresetActive();
    const partition::Policy policy = policyOf(m_wasPresetActive ? m_update->activePreset : m_update->transitionPreset);
    for (auto& [id, it] : m_owned) {
        it.partition->setPolicy(policy);
        it.partition->setMembershipCertainUntil(m_update->memberState.leaseValidUntil);
    }
}

void PartitionsTask::on(CellUpdatePtr& update)
{
    m_update = update;
    const auto& owned = m_update->memberState.owned;
    std::erase_if(m_owned, [&owned](const auto& it) {
        const auto row = owned.find(it.first);
        return row == owned.end() || row->second.epoch != it.second.epoch;
    });
    for (const auto& [id, row] : owned) {
        if (!m_owned.contains(id))
            takeOver(id, row);
    }
    applyPolicy();
    const bool isNewList = m_update->vms && m_update->vms != m_vms;
    for (auto& [id, it] : m_owned) {
        applyUpdate(id, it);
        if (isNewList)
            it.partition->setWorkers(*m_update->vms, eventTime());
    }
    m_vms = m_update->vms;
    if (m_update->memberState.confirming.value() > 0)
        m_hooks.olderConfigsDrained(ConfigUser::Partitions, m_update->memberState.confirming);
    flushSoon();
}

void PartitionsTask::applyUpdate(core::PartitionId id, Owned& owned)
{
    owned.partition->setOwners(m_update->view->epochs());
    if (m_update->formerOwnersGone.contains(id))
        owned.partition->setFormerOwnerGone(eventTime());
    owned.isHandingOver = m_update->handingOver.contains(id);
    owned.isFrozen = owned.isFrozen && owned.isHandingOver;
}

void PartitionsTask::takeOver(core::PartitionId id, const membership::PartitionRow& row)
{
    telemetry::LogLine(telemetry::Severity::Info, "partitionTaken")
        .with("partition", id.value())
        .with("epoch", std::int64_t(row.epoch.value()));
    partition::Ownership ownership;
    ownership.id = id;
    ownership.epoch = row.epoch;
    ownership.partitionCount = m_update->view->partitionCount;
    ownership.fence = { membership::partitionKey(id), row.row };
    ownership.owners = m_update->view->epochs();
    ownership.isFormerOwnerGone = m_update->formerOwnersGone.contains(id);
    Owned owned;
    owned.epoch = row.epoch;
    partition::PartitionTimes times = m_times;
    times.maxClaimBytes /= std::max(1u, ownership.partitionCount); // the node may own all partitions
    owned.partition = partition::Partition::create(ownership, times);
    if (m_update->vms)
        owned.partition->setWorkers(*m_update->vms, eventTime());
    m_owned[id] = std::move(owned);
    load(id, row.epoch);
}

void PartitionsTask::load(core::PartitionId id, core::Epoch epoch)
{
    auto self = weak_from_this();
    m_store->list(acceptance::GroupLog::prefixOf(id), [this, self, id, epoch](const services::RowsResult& result) {
        auto task = self.lock();
        Owned* owned = task ? find(id, epoch) : nullptr;
        if (!owned)
            return;
        try {
            if (result) {
                owned->partition->recover(result.value(), eventTime());
                owned->isLoaded = true;
                flushSoon();
                return;
            }
        } catch (const codec::DecodeError& it) {
            telemetry::LogLine(telemetry::Severity::Error, "logUnreadable")
                .with("partition", id.value())
                .with("detail", it.what());
        }
        loop()->callAfter(loadRetryDelay, [this, self, id, epoch] {
            if (auto stillHere = self.lock())
                load(id, epoch);
        });
    });
}

// --- Messages

void PartitionsTask::on(MessageToPartition& message)
{
    const auto it = m_owned.find(message.id);
    if (it == m_owned.end() || !it->second.isLoaded || it->second.isHandingOver) {
        rejectWhileMoving(message.id, message.message);
        return;
    }
    it->second.partition->receive(message.message, eventTime());
    flushSoon();
}

//! Rejects new work while a partition moves. Other messages are dropped: their senders resend them to the new owner.
void PartitionsTask::rejectWhileMoving(core::PartitionId, const protocol::Message& message)
{
    if (const auto* it = std::get_if<protocol::SubmitJob>(&message)) {
        protocol::SubmitAnswer answer { it->requester.token, protocol::SubmitOutcome::Refused, it->spec.id,
            { admission::RefusalReason::NotOwned, "the partition is moving to another node", retryAfterMove } };
        m_hooks.send({ it->requester.node, answer });
    }
    if (const auto* it = std::get_if<protocol::ClaimOnce>(&message))
        m_hooks.send(
            { it->requester.node, protocol::ClaimAnswer { it->requester.token, once::ClaimResult::NotPersisted, {} } });
}

void PartitionsTask::on(protocol::RoomHint& hint)
{
    for (auto& [id, it] : m_owned) {
        if (it.isLoaded)
            it.partition->receive(hint, eventTime());
    }
}

void PartitionsTask::on(ReadPartitions& message)
{
    std::vector<partition::PartitionView> views;
    for (const auto& [id, it] : m_owned)
        views.push_back(it.partition->view(eventTime()));
    message.reply.send(std::move(views));
}

// --- Effects

void PartitionsTask::flushSoon()
{
    if (std::exchange(m_isFlushPosted, true))
        return;
    auto self = weak_from_this();
    loop()->post([this, self] {
        if (auto task = self.lock())
            flushAll();
    });
}

void PartitionsTask::flushAll()
{
    m_isFlushPosted = false;
    for (auto& [id, it] : m_owned)
        executeEffects(id, it);
}

void PartitionsTask::executeEffects(core::PartitionId id, Owned& owned)
{
    if (!owned.isLoaded || owned.isFrozen)
        return;
    logStoreChange(id, owned);
    for (partition::Effect& it : owned.partition->takeEffects(eventTime()))
        executeEffect(id, owned, it);
    if (!owned.isHandingOver || !owned.partition->isQuiescent())
        return;
    owned.isFrozen = true;
    m_hooks.quiescent(id, owned.partition->view(eventTime()).isRecovered);
}

void PartitionsTask::logStoreChange(core::PartitionId id, Owned& owned)
{
    const bool isUp = owned.partition->isStoreHealthy();
    if (std::exchange(owned.isStoreUp, isUp) == isUp)
        return;
    telemetry::LogLine(isUp ? telemetry::Severity::Info : telemetry::Severity::Warning,
        isUp ? "partitionStoreBack" : "partitionStoreLost")
        .with("partition", id.value());
}

void PartitionsTask::executeEffect(core::PartitionId id, Owned& owned, partition::Effect& effect)
{
    if (auto* it = std::get_if<partition::SendMessage>(&effect))
        m_hooks.send(std::move(it->envelope));
    if (auto* it = std::get_if<partition::SyncWorker>(&effect))
        perform(id, owned.epoch, *it);
    if (auto* it = std::get_if<partition::CommitToStore>(&effect))
        perform(id, owned.epoch, *it);
    if (auto* it = std::get_if<partition::ReadStore>(&effect))
        perform(id, owned.epoch, *it);
    if (std::holds_alternative<partition::OwnershipLost>(effect) && !owned.isFrozen) {
        telemetry::LogLine(telemetry::Severity::Warning, "partitionLost").with("partition", id.value());
        owned.isFrozen = true; // the next update of the cell names the new owner
    }
}

void PartitionsTask::perform(core::PartitionId id, core::Epoch epoch, partition::SyncWorker& effect)
{
    auto self = weak_from_this();
    m_workers->sync(effect.address, std::move(effect.sync),
        [this, self, id, epoch, worker = effect.worker](const services::SyncResult& result) {
            auto task = self.lock();
            if (Owned* owned = task ? find(id, epoch) : nullptr) {
                owned->partition->onSyncResult(worker, result, eventTime());
                flushSoon();
            }
        });
}

void PartitionsTask::perform(core::PartitionId id, core::Epoch epoch, partition::CommitToStore& effect)
{
    auto self = weak_from_this();
    m_store->commit(std::move(effect.transaction), [this, self, id, epoch](const services::CommitResult& result) {
        auto task = self.lock();
        if (Owned* owned = task ? find(id, epoch) : nullptr) {
            const core::RowVersion version = result ? result.value() : core::RowVersion();
            owned->partition->onCommitted(result ? nullptr : &result.error(), version, eventTime());
            flushSoon();
        }
    });
}

void PartitionsTask::perform(core::PartitionId id, core::Epoch epoch, partition::ReadStore& effect)
{
    auto self = weak_from_this();
    m_store->list(std::move(effect.prefix), [this, self, id, epoch](const services::RowsResult& result) {
        auto task = self.lock();
        if (Owned* owned = task ? find(id, epoch) : nullptr) {
            owned->partition->onRead(result, eventTime());
            flushSoon();
        }
    });
}

// --- Time

void PartitionsTask::tick()
{
    if (m_wasPresetActive != isPresetActive())
        applyPolicy();
    // When the store has been unreachable for longer than the lease of the shares, workers are not synced either.
    const bool maySyncWorkers = now() < m_update->memberState.slotsValidUntil;
    for (auto& [id, it] : m_owned) {
        it.partition->setMembershipCertainUntil(m_update->memberState.leaseValidUntil);
        if (it.isLoaded && !it.isFrozen && maySyncWorkers)
            it.partition->tick(eventTime());
        executeEffects(id, it);
    }
}

void PartitionsTask::sendRoomHints()
{
    for (auto& [id, it] : m_owned) {
        if (!it.isLoaded || it.isFrozen)
            continue;
        protocol::RoomHint hint = it.partition->hint();
        for (const membership::Member& member : m_update->view->members) {
            if (member.identity.node != m_update->memberState.self.node)
                m_hooks.send({ member.identity.node, hint });
        }
        on(hint);
    }
}

void PartitionsTask::updateMetrics()
{
    using telemetry::Metric;
    partition::Counters sum;
    jobs::ByUrgency<std::size_t> queued {};
    jobs::ByUrgency<core::Duration> oldest {};
    std::size_t ready = 0;
    std::size_t quarantined = 0;
    std::size_t all = 0;
    core::Resources total;
    core::Resources committed;
    std::uint64_t groups = 0;
    for (const auto& [id, it] : m_owned) {
        const partition::PartitionView view = it.partition->view(eventTime());
        sum = sum + view.counters;
        for (const jobs::Urgency urgency : jobs::allUrgencies) {
            const std::size_t n = jobs::indexOf(urgency);
            queued[n] += view.queued[n];
            oldest[n] = std::max(oldest[n], view.oldestWait[n]);
        }
        ready += view.readyWorkers;
        quarantined += view.quarantinedWorkers;
        all += view.workers;
        total = total + view.total;
        committed = committed + view.committed;
        groups += view.logGroups;
    }
    const std::array<std::pair<Metric, double>, 10> counters { {
        { Metric::JobsAccepted, double(sum.jobsAccepted) },
        { Metric::JobsRefused, double(sum.jobsRefused) },
        { Metric::JobsPlaced, double(sum.jobsPlaced) },
        { Metric::JobWaitSeconds, sum.waitSecondsSum },
        { Metric::TasksPlaced, double(sum.tasksPlaced) },
        { Metric::TasksSucceeded, double(sum.tasksSucceeded) },
        { Metric::TasksFailed, double(sum.tasksFailed) },
        { Metric::TasksPreempted, double(sum.tasksPreempted) },
        { Metric::AttemptsLost, double(sum.attemptsLost) },
        { Metric::LogGroups, double(groups) },
    } };
    for (const auto& [metric, value] : counters)
        m_metrics->set(metric, {}, value);
    for (const jobs::Urgency urgency : jobs::allUrgencies) {
        const telemetry::Labels labels { { "urgency", jobs::nameOf(urgency) } };
        m_metrics->set(Metric::JobsWaiting, labels, double(queued[jobs::indexOf(urgency)]));
        m_metrics->set(
            Metric::OldestWaitSeconds, labels, std::chrono::duration<double>(oldest[jobs::indexOf(urgency)]).count());
    }
    m_metrics->set(Metric::Workers, { { "state", "all" } }, double(all));
    m_metrics->set(Metric::Workers, { { "state", "ready" } }, double(ready));
    m_metrics->set(Metric::Workers, { { "state", "set_aside" } }, double(quarantined));
    m_metrics->set(Metric::CapacityMilliCpu, { { "state", "total" } }, double(total.cpu.value()));
    m_metrics->set(Metric::CapacityMilliCpu, { { "state", "committed" } }, double(committed.cpu.value()));
}

IPartitionsTaskPtr createPartitionsTask(runtime::ILoopPtr loop, services::ITableStorePtr store,
    services::IWorkerClientPtr workers, partition::PartitionTimes times, telemetry::MetricsPtr metrics,
    PartitionsHooks hooks)
{
    return std::make_shared<PartitionsTask>(
        std::move(loop), std::move(store), std::move(workers), times, std::move(metrics), std::move(hooks));
}

} // namespace sardinerun::node

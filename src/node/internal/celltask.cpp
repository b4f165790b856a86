#include "node/internal/celltask.h"

#include "codec/json.h"
#include "codec/yaml.h"
#include "core/hashing.h"
#include "membership/cellcodec.h"
#include "telemetry/log.h"

namespace sardinerun::node {

namespace {

constexpr core::Duration pollPeriod = std::chrono::milliseconds(50);
constexpr core::Duration vmListPeriod = std::chrono::seconds(1);
constexpr core::Duration probePeriod = std::chrono::seconds(1);
constexpr core::Duration resolveDelay = std::chrono::milliseconds(500);
constexpr int maxResolveTries = 6;

} // namespace

CellTask::CellTask(runtime::ILoopPtr loop, membership::MembershipPtr membership, services::ITableStorePtr store,
    services::IVmListPtr vms, IPortProbePtr probe, telemetry::MetricsPtr metrics, CellHooks hooks)
    : Task(std::move(loop))
    , m_membership(std::move(membership))
    , m_store(std::move(store))
    , m_vmList(std::move(vms))
    , m_probe(std::move(probe))
    , m_metrics(std::move(metrics))
    , m_hooks(std::move(hooks))
{
    m_transitionPreset.name = core::PresetName(configuration::noPreset);
    m_transitionPreset.mayBorrow = false;
}

void CellTask::start()
{
    every(pollPeriod, [this] { sendStoreRequest(); });
    every(vmListPeriod, [this] { readVms(); });
    every(probePeriod, [this] { sendProbes(); });
    readVms();
    sendStoreRequest();
}

void CellTask::receive(CellMessage message)
{
    std::visit([this](auto& it) { on(it); }, message);
}

void CellTask::sendStoreRequest()
{
    auto request = m_membership->next(now());
    if (!request) {
        if (m_membership->hasLeft() && !std::exchange(m_hasLeft, true))
            m_hooks.left();
        return;
    }
    auto self = weak_from_this();
    if (request->isRefresh) {
        m_store->list(membership::cellPrefix, [this, self](const services::RowsResult& result) {
            auto task = self.lock();
            if (!task)
                return;
            m_membership->onRefreshed(result, now());
            refreshConfiguration();
            publishUpdate();
            sendStoreRequest();
        });
        return;
    }
    m_store->commit(std::move(*request->commit), [this, self](const services::CommitResult& result) {
        auto task = self.lock();
        if (!task)
            return;
        m_membership->onCommitted(result, now());
        publishUpdate();
        sendStoreRequest();
    });
}

void CellTask::refreshConfiguration()
{
    const membership::CellView& view = m_membership->view();
    const bool isInForce = view.active.version == view.config.version;
    if (!isInForce || view.config.version == m_readVersion || view.config.version.value() == 0)
        return;
    try {
        auto read = configuration::readConfiguration(view.config.document, "configuration");
        m_activePreset = read.presets.at(view.config.preset);
        m_transitionPreset = configuration::makeTransitionPreset(read);
        m_configuration = std::make_shared<const configuration::Configuration>(std::move(read));
        m_readVersion = view.config.version;
        telemetry::LogLine(telemetry::Severity::Info, "configurationInForce")
            .with("version", std::int64_t(m_readVersion.value()))
            .with("preset", view.config.preset.value());
    } catch (const std::exception& it) {
        // Every change is validated before it is accepted, so this document was accepted by a later release.
        telemetry::LogLine(telemetry::Severity::Error, "configurationUnreadable").with("detail", it.what());
    }
}

void CellTask::publishUpdate()
{
    auto update = std::make_shared<CellUpdate>();
    update->memberState = m_membership->memberState(now());
    if (update->memberState.activeConfig != m_readVersion)
        update->memberState.activeConfig = core::ConfigVersion();
    update->view = std::make_shared<const membership::CellView>(m_membership->view());
    update->configuration = m_configuration;
    update->activePreset = m_activePreset;
    update->transitionPreset = m_transitionPreset;
    update->vms = m_vms;
    update->handingOver = m_membership->handingOver();
    update->releasing = m_membership->releasing();
    update->isStoreUp = !m_membership->isStoreDown();
    for (const auto& [id, row] : update->memberState.owned) {
        if (m_membership->areFormerOwnersGone(id))
            update->formerOwnersGone.insert(id);
    }
    m_metrics->set(telemetry::Metric::StoreUp, {}, update->isStoreUp ? 1 : 0);
    m_metrics->set(telemetry::Metric::PartitionsOwned, {}, double(update->memberState.owned.size()));
    m_metrics->set(telemetry::Metric::SlotShares, {}, double(update->memberState.slots.size()));
    m_metrics->set(telemetry::Metric::ConfigVersion, { { "state", "in_force" } },
        double(update->memberState.activeConfig.value()));
    m_metrics->set(
        telemetry::Metric::ConfigVersion, { { "state", "accepted" } }, double(update->view->config.version.value()));
    m_hooks.update(update);
}

void CellTask::readVms()
{
    if (std::exchange(m_isReadingVms, true))
        return;
    auto self = weak_from_this();
    m_vmList->list([this, self](const services::VmsResult& result) {
        auto task = self.lock();
        if (!task)
            return;
        m_isReadingVms = false;
        if (!result)
            return; // the last list stays in use: its data about each worker is verified with that worker
        m_vms = std::make_shared<const std::vector<services::VmInfo>>(result.value());
        publishUpdate();
    });
}

void CellTask::sendProbes()
{
    auto self = weak_from_this();
    for (const membership::NodeIncarnation& target : m_membership->probeTargets()) {
        const auto address = m_membership->lastAddressOf(target);
        if (!address || !m_probing.insert(target).second)
            continue;
        m_probe->probe(*address, [this, self, target](IPortProbe::Result result) {
            auto task = self.lock();
            if (!task)
                return;
            m_probing.erase(target);
            if (result == IPortProbe::Result::Refused)
                m_membership->onConfirmedGone(target, now());
        });
    }
}

void CellTask::on(OlderConfigsDrained& message)
{
    m_drainedUpTo[message.task] = std::max(m_drainedUpTo[message.task], message.oldestInUse);
    if (m_drainedUpTo.size() < 2)
        return;
    core::ConfigVersion drainedUpTo = message.oldestInUse;
    for (const auto& [task, oldestInUse] : m_drainedUpTo)
        drainedUpTo = std::min(drainedUpTo, oldestInUse);
    m_membership->onOlderConfigsDrained(drainedUpTo);
    sendStoreRequest();
}

void CellTask::on(PartitionQuiescent& message)
{
    m_membership->onQuiescent(message.id, message.isRecovered);
    sendStoreRequest();
}

void CellTask::on(SlotsIdle& message)
{
    m_membership->onSlotsIdle(message.id);
    sendStoreRequest();
}

void CellTask::on(ForgetNode& message)
{
    for (const membership::NodeIncarnation& it : m_membership->probeTargets()) {
        if (it.node == message.node)
            m_membership->onConfirmedGone(it, now());
    }
}

void CellTask::on(RefreshNow&)
{
    m_membership->refreshSoon();
    sendStoreRequest();
}

void CellTask::on(Leave&)
{
    m_membership->leave();
    sendStoreRequest();
}

// --- Operators' changes

std::string CellTask::checkDocument(const std::string& document, const core::PresetName& preset) const
{
    try {
        const auto read = configuration::readConfiguration(document, "configuration");
        return read.presets.contains(preset) ? "" : "there is no preset " + preset.value();
    } catch (const codec::YamlError& it) {
        return it.what();
    }
}

void CellTask::on(Configure& message)
{
    auto self = weak_from_this();
    m_store->list(membership::cellPrefix, [this, self, message](const services::RowsResult& result) {
        auto task = self.lock();
        if (!task)
            return;
        auto reply = message.reply;
        if (!result) {
            reply.send({ ConfigureOutcome::StoreDown, {}, result.error().detail });
            return;
        }
        try {
            applyConfigure(message, membership::decodeCell(result.value()));
        } catch (const codec::DecodeError& it) {
            reply.send({ ConfigureOutcome::StoreDown, {}, it.what() });
        }
    });
}

void CellTask::applyConfigure(const Configure& message, const membership::CellView& view)
{
    auto reply = message.reply;
    if (message.expected && *message.expected != view.config.version) {
        reply.send({ ConfigureOutcome::Conflict, view.config.version, "another version was accepted before" });
        return;
    }
    membership::ConfigRow row = view.config;
    row.version = core::ConfigVersion(view.config.version.value() + 1);
    row.preset = message.preset.value_or(view.config.preset);
    row.document = message.document.value_or(view.config.document);
    if (const std::string problem = checkDocument(row.document, row.preset); !problem.empty()) {
        reply.send({ ConfigureOutcome::Invalid, view.config.version, problem });
        return;
    }
    services::Transaction transaction;
    transaction.id = core::WriteId(core::randomId());
    transaction.writes.push_back({ membership::configKey, view.config.row, membership::encodeConfig(row) });
    auto self = weak_from_this();
    m_store->commit(transaction,
        [this, self, message, id = transaction.id, version = row.version](const services::CommitResult& result) {
            auto task = self.lock();
            if (!task)
                return;
            auto reply = message.reply;
            using Code = services::StoreError::Code;
            if (result) {
                reply.send({ ConfigureOutcome::Accepted, version, "" });
                m_membership->refreshSoon();
                m_hooks.notifyPeers();
                sendStoreRequest();
            } else if (result.error().code == Code::Unavailable) {
                reply.send({ ConfigureOutcome::StoreDown, {}, result.error().detail });
            } else {
                resolveConfigure(message, id, version, maxResolveTries);
            }
        });
}

//! Called when the answer was lost or another change was committed first. The write id in the row shows whether this
//! change was the one accepted.
void CellTask::resolveConfigure(
    const Configure& message, const core::WriteId& id, core::ConfigVersion version, int triesLeft)
{
    auto self = weak_from_this();
    m_store->list(membership::configKey, [=, this](const services::RowsResult& result) {
        auto task = self.lock();
        if (!task)
            return;
        auto reply = message.reply;
        if (!result) {
            if (triesLeft == 0) {
                reply.send({ ConfigureOutcome::Unknown, version, "the store does not answer" });
                return;
            }
            loop()->callAfter(resolveDelay, [=, this] {
                if (auto stillHere = self.lock())
                    resolveConfigure(message, id, version, triesLeft - 1);
            });
            return;
        }
        const membership::CellView view = membership::decodeCell(result.value());
        if (view.config.writeId == id)
            reply.send({ ConfigureOutcome::Accepted, version, "" });
        else if (view.config.version == version)
            reply.send({ ConfigureOutcome::Conflict, view.config.version, "another version was accepted before" });
        else // not yet written, or accepted and then replaced by another change
            reply.send({ ConfigureOutcome::Unknown, view.config.version, "it cannot be told from the row any more" });
        m_membership->refreshSoon();
        sendStoreRequest();
    });
}

ICellTaskPtr createCellTask(runtime::ILoopPtr loop, membership::MembershipPtr membership,
    services::ITableStorePtr store, services::IVmListPtr vms, IPortProbePtr probe, telemetry::MetricsPtr metrics,
    CellHooks hooks)
{
    return std::make_shared<CellTask>(std::move(loop), std::move(membership), std::move(store), std::move(vms),
        std::move(probe), std::move(metrics), std::move(hooks));
}

} // namespace sardinerun::node

//! The set of workers, and the roster that persists it for later leaders.

#include "scheduling/internal/engineimpl.h"

#include "codec/json.h"
#include "core/hashing.h"
#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

//! A new leader contacts this many workers at once, and the others one after the other, so that its processor and link
//! remain free for calls meanwhile.
constexpr std::int64_t contactedAtOnce = 64;
constexpr core::Duration contactInterval = std::chrono::microseconds(500);

//! The roster is spread over rows, so that each fits into the store with thousands of workers.
constexpr std::uint32_t rosterRowCount = 32;

std::uint32_t rosterRowOf(const core::VmId& worker)
{
    return static_cast<std::uint32_t>(core::stableHash(worker.value()) % rosterRowCount);
}

store::RowKey rosterKey(std::uint32_t row)
{
    return { "roster", "", "workers-" + std::to_string(row) };
}

Json::Value encodeRosterEntry(const fleet::WorkerEntry& entry)
{
    Json::Value it(Json::objectValue);
    it["id"] = entry.id.value();
    it["born"] = Json::Int64(entry.startedAt.value());
    it["host"] = entry.address.host;
    it["port"] = entry.address.port;
    it["service"] = entry.service.value();
    return it;
}

} // namespace

void EngineImpl::loadRoster(const std::string& value)
{
    try {
        codec::decodeJson(value, [this](const Json::Value& roster) {
            for (const Json::Value& it : roster)
                addRosteredWorker(codec::ObjectReader(it));
        });
    } catch (const codec::DecodeError& error) {
        LogLine(Severity::Error, "roster-unreadable").with("why", error.what());
    }
}

void EngineImpl::addRosteredWorker(codec::ObjectReader reader)
{
    fleet::WorkerEntry entry;
    entry.id = core::VmId(reader.text("id", 200));
    entry.startedAt = fleet::WorkerStartTime(reader.integer("born", 0, INT64_MAX));
    entry.address.host = reader.text("host", 64);
    entry.address.port = static_cast<std::uint16_t>(reader.integer("port", 1, 65535));
    entry.service = core::ServiceId(reader.text("service", 200));
    addWorker(entry, false);
    m_workers[entry.id]->setRostered();
}

void EngineImpl::adoptRosterRows()
{
    std::map<store::RowKey, std::string> read;
    for (const store::StoredRow& it : std::exchange(m_readRoster, {}))
        read[it.key] = it.value;
    for (std::uint32_t row = 0; row < rosterRowCount; ++row) {
        m_outdatedRosterRows.insert(row);
        if (auto node = read.extract(rosterKey(row)))
            m_rosterRows[row] = std::move(node.mapped());
    }
    for (const auto& [key, value] : read)
        m_log->put(key, std::nullopt); // written by a build with another number of rows
}

void EngineImpl::markRosterOutdated(const core::VmId& worker)
{
    m_outdatedRosterRows.insert(rosterRowOf(worker));
}

void EngineImpl::persistRoster()
{
    std::map<std::uint32_t, Json::Value> entries;
    std::vector<core::VmId> written;
    for (const auto& [id, worker] : m_workers) {
        const std::uint32_t row = rosterRowOf(id);
        if (!m_outdatedRosterRows.contains(row))
            continue;
        entries[row].append(encodeRosterEntry(worker->entry()));
        written.push_back(id);
    }
    std::optional<lead::LogRevision> revision; // with which all of these rows are persisted
    for (const std::uint32_t row : std::exchange(m_outdatedRosterRows, {})) {
        const auto found = entries.find(row);
        std::string value = found == entries.end() ? std::string() : codec::writeJson(found->second);
        std::string& known = m_rosterRows[row];
        if (value == known)
            continue;
        known = value;
        const lead::LogRevision it
            = m_log->put(rosterKey(row), value.empty() ? std::nullopt : std::optional(std::move(value)));
        revision = std::max(revision.value_or(it), it);
    }
    if (!revision)
        return;
    whenPersisted(*revision, [this, written] {
        for (const core::VmId& it : written) {
            if (const auto worker = m_workers.find(it); worker != m_workers.end())
                worker->second->setRostered();
        }
        scheduleRound();
    });
}

void EngineImpl::setWorkers(const std::vector<fleet::WorkerEntry>& entries)
{
    m_registryEntries = entries;
    if (!m_areTablesRead)
        return;
    std::set<core::VmId> listed;
    for (const fleet::WorkerEntry& entry : entries) {
        listed.insert(entry.id);
        const auto found = m_workers.find(entry.id);
        if (found == m_workers.end()) {
            addWorker(entry, true);
            markRosterOutdated(entry.id);
            continue;
        }
        if (entry.isDraining != found->second->entry().isDraining)
            LogLine(Severity::Info, "worker-draining")
                .with("worker", entry.id.value())
                .with("draining", std::int64_t(entry.isDraining));
        found->second->setEntry(entry);
        found->second->setListed(true);
    }
    for (const auto& [id, worker] : m_workers) {
        if (listed.contains(id) || !worker->isListed())
            continue;
        LogLine(Severity::Info, "worker-unlisted").with("worker", id.value());
        worker->setListed(false);
    }
    if (!m_outdatedRosterRows.empty())
        persistRoster();
    retryDeferredCalls();
    scheduleRound();
}

void EngineImpl::addWorker(const fleet::WorkerEntry& entry, bool isListed)
{
    LogLine(Severity::Info, "worker-added")
        .with("worker", entry.id.value())
        .with("address", entry.address.text())
        .with("milliCpu", entry.capacity.cpu.value());
    const WorkerPtr worker = Worker::create(m_dependencies.loop, m_dependencies.orders, entry, m_won.leader.term,
        m_priorLeaseUntil, m_dependencies.times, m_orderWindow, workerHooks());
    worker->setListed(isListed);
    m_workers[entry.id] = worker;
    worker->begin(firstContactDelay());
}

void EngineImpl::removeDepartedWorkers()
{
    if (!m_isBarrierPassed)
        return;
    const core::TimePoint now = m_dependencies.loop->now();
    std::vector<core::VmId> departed;
    for (const auto& [id, worker] : m_workers) {
        if (worker->hasLeft(now) && worker->runs().empty())
            departed.push_back(id);
    }
    for (const core::VmId& it : departed)
        removeWorker(it);
    if (!departed.empty())
        persistRoster();
}

void EngineImpl::removeWorker(const core::VmId& id)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end())
        return;
    LogLine(Severity::Info, "worker-gone").with("worker", id.value());
    it->second->detach();
    m_workers.erase(it);
    m_health.removeWorker(id);
    m_speed.removeWorker(id);
    m_estimates.removeWorker(id);
    m_cpuLimiters.erase(id);
    markRosterOutdated(id);
}

core::Duration EngineImpl::firstContactDelay() const
{
    const auto waiting = std::count_if(m_workers.begin(), m_workers.end(),
        [](const auto& it) { return !it.second->hasAnswered() && !it.second->isUnresponsive(); });
    return waiting <= contactedAtOnce ? core::Duration(0) : contactInterval * (waiting - contactedAtOnce);
}

} // namespace sardinerun::scheduling

//! Recovery of the persisted state after a change of leader, and the set of workers.

#include "scheduling/internal/engineimpl.h"

#include "codec/json.h"
#include "core/hashing.h"
#include "telemetry/log.h"
#include "workflow/workflowcodec.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

constexpr core::Duration readRetryDelay = std::chrono::milliseconds(150);
constexpr std::int64_t runsPerTerm = 4096; //!< run numbers of each term; those of a later term are higher

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

//! Returns the tables in the order in which they are read.
const std::vector<std::string>& tablesToRead()
{
    static const std::vector<std::string> it { "jobs", "progress", "failures", "roster" };
    return it;
}

} // namespace

void EngineImpl::readTable(const std::string& table, const std::string& after)
{
    m_dependencies.store->read(
        table, "", after, [self = weak_from_this(), table, after](const store::PageResult& result) {
            const auto it = self.lock();
            if (!it || it->m_isStopped)
                return;
            if (!result) {
                it->m_dependencies.loop->callAfter(readRetryDelay, [self, table, after] {
                    if (const auto it = self.lock())
                        it->readTable(table, after);
                });
                return;
            }
            for (const store::StoredRow& row : result.value().rows)
                it->applyRow(table, row);
            if (result.value().hasMore && !result.value().rows.empty()) {
                it->readTable(table, result.value().rows.back().key.key);
                return;
            }
            const auto& tables = tablesToRead();
            const auto next = std::next(std::find(tables.begin(), tables.end(), table));
            if (next != tables.end())
                it->readTable(*next, "");
            else
                it->onTablesRead();
        });
}

void EngineImpl::applyRow(const std::string& table, const store::StoredRow& row)
{
    if (table == "progress") {
        m_readProgress.push_back(row);
        return;
    }
    if (table == "failures") {
        m_readFailures.push_back(row);
        return;
    }
    if (table == "roster") {
        m_readRoster.push_back(row);
        return;
    }
    try {
        const JobPtr job = std::make_shared<Job>(makeJob(workflow::decodeJob(row.value)));
        m_jobs[core::JobId(row.key.key)] = job;
    } catch (const codec::DecodeError& error) {
        holdUnreadable(core::JobId(row.key.key), "record-unreadable", error.what());
    }
}

void EngineImpl::holdUnreadable(const core::JobId& id, const char* event, const std::string& why)
{
    LogLine(Severity::Error, event).with("job", id.value()).with("why", why);
    m_unreadableJobs.insert(id);
    m_jobs.erase(id);
    m_dependencies.metrics->set(telemetry::Metric::WorkRecordsUnreadable, {}, double(m_unreadableJobs.size()));
}

void EngineImpl::applyProgress(const core::JobId& id, const std::string& value)
{
    if (m_unreadableJobs.contains(id))
        return;
    JobPtr& job = m_jobs[id];
    workflow::JobRecord record = job ? job->record : workflow::JobRecord();
    try {
        workflow::decodeProgress(value, record);
    } catch (const codec::DecodeError& error) {
        // Without its progress, tasks that are done would run again.
        holdUnreadable(id, "progress-unreadable", error.what());
        return;
    }
    record.spec.id = id;
    const bool hasRecord = job != nullptr;
    job = std::make_shared<Job>(makeJob(std::move(record)));
    // A leader that ended between its writes left the record behind. Without the progress, which is deleted after the
    // retention period, a later leader would run the job again.
    if (hasRecord && job->hasEnded())
        m_log->put(jobKey(id), std::nullopt);
}

void EngineImpl::applyFailures(const store::RowKey& key, const std::string& value)
{
    const auto parts = parseFailuresKey(key);
    if (!parts || m_unreadableJobs.contains(parts->job))
        return;
    const JobPtr job = jobOf(parts->job);
    if (!job || job->hasEnded()) {
        m_log->put(key, std::nullopt); // left behind by a leader that ended before it deleted the row
        return;
    }
    try {
        workflow::decodeFailures(value, job->record);
        job->failureRows.insert(parts->block);
    } catch (const codec::DecodeError& error) {
        holdUnreadable(parts->job, "failures-unreadable", error.what());
    }
}

void EngineImpl::onTablesRead()
{
    for (const store::StoredRow& it : std::exchange(m_readProgress, {}))
        applyProgress(core::JobId(it.key.key), it.value);
    for (const store::StoredRow& it : std::exchange(m_readFailures, {}))
        applyFailures(it.key, it.value);
    const core::TimePoint now = m_dependencies.loop->now();
    const core::RuntimeClock::duration none {};
    const std::int64_t baseRun = std::int64_t(m_won.leader.term.value() - 1) * runsPerTerm;
    for (const auto& [id, job] : m_jobs) {
        job->isPersisted = true;
        job->isRecovered = true;
        job->visibleState = job->record.state;
        if (job->hasEnded()) {
            job->endedAt = now;
            recallEndedJob(*job);
            m_ended.push_back(id);
            continue;
        }
        const core::Duration age
            = std::chrono::milliseconds(m_dependencies.loop->wallNow().value() - job->record.acceptedAt.value());
        job->acceptedAt = now - std::max(age, none);
        m_estimates.update(*job);
        for (Stage& stage : job->stages) {
            stage.newestRun = fleet::RunNumber(baseRun);
            if (stage.done > 0)
                job->setStarted();
        }
        m_active[id] = job;
        persistSeparateFailures(*job);
    }
    recallCaps();
    m_areTablesRead = true;
    for (const store::StoredRow& it : m_readRoster)
        loadRoster(it.value);
    adoptRosterRows();
    LogLine(Severity::Info, "recovered")
        .with("term", std::int64_t(m_won.leader.term.value()))
        .with("jobs", std::int64_t(m_active.size()))
        .with("ended", std::int64_t(m_ended.size()))
        .with("afterMs", core::toMs(now - m_wonAt));
    for (const auto& [id, job] : std::map(m_active))
        openStages(job);
    if (m_registryEntries)
        setWorkers(*m_registryEntries);
    retryDeferredCalls();
}

void EngineImpl::persistSeparateFailures(Job& job)
{
    if (!workflow::storesFailuresSeparately(job.record))
        return;
    for (const workflow::FailureBlock it : workflow::failureBlocks(job.record)) {
        if (job.failureRows.insert(it).second)
            m_log->put(failuresKey(job.record.spec.id, it), workflow::encodeFailures(job.record, it));
    }
}

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

bool EngineImpl::tryPassBarrier(bool isLeadershipConfirmed)
{
    if (m_isBarrierPassed)
        return true;
    const core::TimePoint now = m_dependencies.loop->now();
    if (!m_areTablesRead || !m_registryEntries)
        return false;
    bool areAllHeard = true;
    for (const auto& [id, worker] : m_workers) {
        if (!worker->areFormerRunsKnown(now))
            return false;
        areAllHeard = areAllHeard && worker->hasListedAllEnds();
    }
    if (!areAllHeard && !isLeadershipConfirmed) {
        confirmBarrier();
        return false;
    }
    m_isBarrierPassed = true;
    m_isBarrierPassedByTime = !areAllHeard;
    m_log->setSettled();
    logBarrier(now);
    stopPartialGangs();
    return true;
}

void EngineImpl::confirmBarrier()
{
    // This leader has not heard some workers. A later one may have, and have acknowledged the ends of their runs.
    if (std::exchange(m_isBarrierInQuestion, true))
        return;
    m_log->confirmLeadership([this] {
        m_isBarrierInQuestion = false;
        tryPassBarrier(true);
        scheduleRound();
    });
}

void EngineImpl::logBarrier(core::TimePoint now) const
{
    std::int64_t listed = 0;
    for (const auto& [id, worker] : m_workers) {
        if (worker->hasListedAllEnds()) {
            ++listed;
            continue;
        }
        LogLine(Severity::Warning, "worker-settled-unheard")
            .with("worker", id.value())
            .with("answered", std::int64_t(worker->hasAnswered()))
            .with("listed", std::int64_t(worker->isListed()))
            .with("priorLeaseMs", core::toMs(m_priorLeaseUntil - m_wonAt));
    }
    LogLine(Severity::Info, "workers-settled")
        .with("term", std::int64_t(m_won.leader.term.value()))
        .with("workers", std::int64_t(m_workers.size()))
        .with("heard", listed)
        .with("afterMs", core::toMs(now - m_wonAt));
}

void EngineImpl::stopPartialGangs()
{
    for (const auto& [id, job] : m_active) {
        for (Stage& stage : job->stages) {
            const bool isPartial = stage.live > 0 && stage.pending > 0;
            if (job->stepOf(stage).isGang && isPartial)
                stopGang(job, stage);
        }
    }
}

} // namespace sardinerun::scheduling

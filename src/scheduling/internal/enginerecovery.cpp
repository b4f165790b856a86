//! What a new leader takes over: the jobs that were kept, and what runs on the workers.

#include "scheduling/internal/engineimpl.h"

#include "codec/json.h"
#include "telemetry/log.h"
#include "workflow/workflowcodec.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

constexpr core::Duration readRetry = std::chrono::milliseconds(150);
constexpr std::int64_t runsPerTerm = 4096; //!< numbers of runs that one leader may give to a task

store::RowKey rosterKey()
{
    return { "roster", "", "workers" };
}

//! Tables in the order in which they are read.
const std::vector<std::string>& tablesToRead()
{
    static const std::vector<std::string> it { "jobs", "progress", "roster" };
    return it;
}

} // namespace

void EngineImpl::readTable(const std::string& table, const std::string& after)
{
    m_dependencies.store->read(
        table, "", after, [self = weak_from_this(), table, after](const store::PageResult& result) {
            const auto it = self.lock();
            if (!it || it->m_isOver)
                return;
            if (!result) {
                it->m_dependencies.loop->callAfter(readRetry, [self, table, after] {
                    if (const auto it = self.lock())
                        it->readTable(table, after);
                });
                return;
            }
            for (const store::StoredRow& row : result.value().rows)
                it->takeRow(table, row);
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

void EngineImpl::takeRow(const std::string& table, const store::StoredRow& row)
{
    if (table == "progress") {
        m_readProgress.emplace_back(row.key.key, row.value);
        return;
    }
    if (table == "roster") {
        m_readRoster = row.value;
        return;
    }
    try {
        const JobPtr job = std::make_shared<Job>(makeJob(workflow::decodeJob(row.value)));
        m_jobs[core::JobId(row.key.key)] = job;
    } catch (const codec::DecodeError& error) {
        LogLine(Severity::Error, "record-unreadable").with("job", row.key.key).with("why", error.what());
    }
}

void EngineImpl::onTablesRead()
{
    for (const auto& [key, value] : std::exchange(m_readProgress, {})) {
        JobPtr& job = m_jobs[core::JobId(key)];
        workflow::JobRecord record = job ? job->record : workflow::JobRecord();
        try {
            workflow::decodeProgress(value, record);
        } catch (const codec::DecodeError& error) {
            LogLine(Severity::Error, "progress-unreadable").with("job", key).with("why", error.what());
        }
        record.spec.id = core::JobId(key);
        job = std::make_shared<Job>(makeJob(std::move(record)));
    }
    const core::TimePoint now = m_dependencies.loop->now();
    const core::RuntimeClock::duration none {};
    const std::int64_t baseRun = std::int64_t(m_won.leader.term.value() - 1) * runsPerTerm;
    for (const auto& [id, job] : m_jobs) {
        job->isKept = true;
        job->isRecovered = true;
        job->shown = job->record.state;
        if (job->isOver()) {
            job->endedAt = now;
            m_ended.push_back(id);
            continue;
        }
        const core::Duration age
            = std::chrono::milliseconds(m_dependencies.loop->wallNow().value() - job->record.acceptedAt.value());
        job->acceptedAt = now - std::max(age, none);
        job->objectiveAt = job->acceptedAt + objectiveOf(job->record.spec, job->record.queue);
        for (Stage& stage : job->stages) {
            stage.newestRun = fleet::RunNumber(baseRun);
            job->hasStarted = job->hasStarted || stage.done > 0;
        }
        m_active[id] = job;
    }
    m_areTablesRead = true;
    takeRoster(m_readRoster);
    LogLine(Severity::Info, "recovered")
        .with("term", std::int64_t(m_won.leader.term.value()))
        .with("jobs", std::int64_t(m_active.size()))
        .with("ended", std::int64_t(m_ended.size()))
        .with("afterMs", core::toMs(now - m_wonAt));
    for (const auto& [id, job] : std::map(m_active))
        openStages(job);
    if (m_entries)
        setWorkers(*m_entries);
    answerHeld();
}

void EngineImpl::takeRoster(const std::string& value)
{
    if (value.empty())
        return;
    try {
        const Json::Value roster = codec::parseJson(value);
        for (const Json::Value& it : roster) {
            codec::ObjectReader reader(it);
            fleet::WorkerEntry entry;
            entry.id = core::VmId(reader.text("id", 200));
            entry.startedAt = fleet::WorkerStartTime(reader.integer("born", 0, INT64_MAX));
            entry.address.host = reader.text("host", 64);
            entry.address.port = static_cast<std::uint16_t>(reader.integer("port", 1, 65535));
            entry.service = core::ServiceId(reader.text("service", 200));
            addWorker(entry, false);
            m_rostered.insert(entry.id);
        }
    } catch (const codec::DecodeError& error) {
        LogLine(Severity::Error, "roster-unreadable").with("why", error.what());
    }
}

void EngineImpl::keepRoster()
{
    Json::Value roster(Json::arrayValue);
    std::vector<core::VmId> named;
    for (const auto& [id, worker] : m_workers) {
        const fleet::WorkerEntry& entry = worker->entry();
        Json::Value it(Json::objectValue);
        it["id"] = id.value();
        it["born"] = Json::Int64(entry.startedAt.value());
        it["host"] = entry.address.host;
        it["port"] = entry.address.port;
        it["service"] = entry.service.value();
        roster.append(it);
        named.push_back(id);
    }
    const lead::LogRevision revision = m_log->put(rosterKey(), codec::writeJson(roster));
    whenKept(revision, [this, named] {
        m_rostered.insert(named.begin(), named.end());
        pumpSoon();
    });
}

void EngineImpl::setWorkers(const std::vector<fleet::WorkerEntry>& entries)
{
    m_entries = entries;
    if (!m_areTablesRead)
        return;
    std::set<core::VmId> listed;
    bool isRosterOld = false;
    for (const fleet::WorkerEntry& entry : entries) {
        listed.insert(entry.id);
        const auto found = m_workers.find(entry.id);
        if (found == m_workers.end()) {
            addWorker(entry, true);
            isRosterOld = true;
            continue;
        }
        if (entry.isDraining != found->second->entry().isDraining)
            LogLine(Severity::Info, "worker-draining")
                .with("worker", entry.id.value())
                .with("draining", std::int64_t(entry.isDraining));
        fleet::WorkerEntry merged = entry;
        merged.startedAt = found->second->entry().startedAt; // the worker's own report decides that it was born again
        found->second->setEntry(merged);
        found->second->setListed(true);
    }
    for (const auto& [id, worker] : m_workers) {
        if (listed.contains(id) || !worker->isListed())
            continue;
        LogLine(Severity::Info, "worker-unlisted").with("worker", id.value());
        worker->setListed(false);
    }
    if (isRosterOld)
        keepRoster();
    answerHeld();
    pumpSoon();
}

void EngineImpl::addWorker(const fleet::WorkerEntry& entry, bool isListed)
{
    LogLine(Severity::Info, "worker-added")
        .with("worker", entry.id.value())
        .with("address", entry.address.text())
        .with("milliCpu", entry.capacity.cpu.value());
    const WorkerPtr worker = Worker::create(m_dependencies.loop, m_dependencies.orders, entry, m_won.leader.term,
        m_priorLeaseUntil, m_dependencies.times, workerHooks());
    worker->setListed(isListed);
    m_workers[entry.id] = worker;
    worker->begin();
}

void EngineImpl::sweepWorkers()
{
    if (!m_isBarrierOver)
        return;
    const core::TimePoint now = m_dependencies.loop->now();
    std::vector<core::VmId> gone;
    for (const auto& [id, worker] : m_workers) {
        if (worker->hasLeft(now) && worker->runs().empty())
            gone.push_back(id);
    }
    for (const core::VmId& it : gone)
        removeWorker(it);
}

void EngineImpl::removeWorker(const core::VmId& id)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end())
        return;
    LogLine(Severity::Info, "worker-gone").with("worker", id.value());
    it->second->retire();
    m_workers.erase(it);
    m_rostered.erase(id);
    m_health.forget(id);
    m_speed.forget(id);
    m_cpuLimiters.erase(id);
    if (!m_isOver)
        keepRoster();
}

bool EngineImpl::isBarrierOver()
{
    if (m_isBarrierOver)
        return true;
    const core::TimePoint now = m_dependencies.loop->now();
    if (!m_areTablesRead || !m_entries)
        return false;
    for (const auto& [id, worker] : m_workers) {
        if (!worker->isSettled(now))
            return false;
    }
    m_isBarrierOver = true;
    LogLine(Severity::Info, "workers-settled")
        .with("workers", std::int64_t(m_workers.size()))
        .with("afterMs", core::toMs(now - m_wonAt));
    repairGangs();
    return true;
}

void EngineImpl::repairGangs()
{
    for (const auto& [id, job] : m_active) {
        for (Stage& stage : job->stages) {
            const bool isPartial = stage.live > 0 && stage.waiting > 0;
            if (job->stepOf(stage).isGang && isPartial)
                breakUp(job, stage);
        }
    }
}

} // namespace sardinerun::scheduling

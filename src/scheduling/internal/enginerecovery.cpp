//! Recovery of the persisted state after a change of leader, and the barrier before recovered jobs go on.

#include "scheduling/internal/engineimpl.h"

#include "codec/json.h"
#include "telemetry/log.h"
#include "workflow/workflowcodec.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

constexpr core::Duration readRetryDelay = std::chrono::milliseconds(150);
constexpr std::int64_t runsPerTerm = 4096; //!< run numbers of each term; those of a later term are higher

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

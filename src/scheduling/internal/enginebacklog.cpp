//! Reports of the work that waits and of the room beside it.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Metric;
using telemetry::Severity;

constexpr core::Duration reportPeriod = std::chrono::seconds(1);

} // namespace

void EngineImpl::reportBacklog(const std::vector<ReadyStage>& all, core::TimePoint now)
{
    if (now < m_backlogReportedAt + reportPeriod)
        return;
    m_backlogReportedAt = now;
    const Backlog backlog = backlogOf(all);
    setBacklogMetrics(backlog);
    if (backlog.steps > 0)
        logBacklog(backlog);
    if (backlog.firstGang)
        logWaitingGang(*backlog.firstGang, now);
    reportTeams();
    m_longestRound = {};
}

Backlog EngineImpl::backlogOf(const std::vector<ReadyStage>& all) const
{
    Backlog backlog;
    for (const ReadyStage& it : all) {
        if (it.stage->pending == 0)
            continue;
        const bool isGang = it.job->stepOf(*it.stage).isGang;
        ++backlog.steps;
        ++backlog.counts[isGang ? 1 : 0][it.isLate ? 1 : 0];
        if (isGang && !backlog.firstGang)
            backlog.firstGang = &it;
        const PendingWork work = it.job->pendingWork();
        backlog.lateCoreSeconds += it.isLate ? work.coreSeconds + work.gangCoreSeconds : 0;
    }
    for (const auto& [service, fleet] : m_fleetViews) {
        backlog.cores += fleet.cores();
        backlog.freeCores += fleet.freeCores();
    }
    return backlog;
}

void EngineImpl::setBacklogMetrics(const Backlog& backlog)
{
    telemetry::Metrics& metrics = *m_dependencies.metrics;
    for (const std::size_t isGang : { 0, 1 }) {
        for (const std::size_t isLate : { 0, 1 })
            metrics.set(Metric::WorkStepsWaiting,
                { { "kind", isGang ? "gang" : "single" }, { "late", isLate ? "1" : "0" } },
                double(backlog.counts[isGang][isLate]));
    }
    metrics.set(Metric::WorkCores, { { "state", "all" } }, backlog.cores);
    metrics.set(Metric::WorkCores, { { "state", "free" } }, backlog.freeCores);
    m_estimates.reportMetrics();
    metrics.set(Metric::WorkRoundSeconds, {}, std::chrono::duration<double>(m_longestRound).count());
}

void EngineImpl::logBacklog(const Backlog& backlog) const
{
    LogLine(Severity::Info, "backlog")
        .with("cores", std::int64_t(backlog.cores))
        .with("freeCores", std::int64_t(backlog.freeCores))
        .with("gangs", backlog.counts[1][0])
        .with("lateGangs", backlog.counts[1][1])
        .with("steps", backlog.counts[0][0])
        .with("lateSteps", backlog.counts[0][1])
        .with("lateCoreSeconds", std::int64_t(backlog.lateCoreSeconds))
        .with("roundMs", core::toMs(m_longestRound))
        .with("retryPauseMs", core::toMs(m_retryPacer.pause()))
        .with("latenessMs", core::toMs(m_loopLateness))
        .with("answerMs", core::toMs(m_orderWindow->answerTime()))
        .with("startsLeft", std::int64_t(m_orderWindow->room()));
}

void EngineImpl::logWaitingGang(const ReadyStage& gang, core::TimePoint now)
{
    const Demand demand = demandOf(*gang.job, *gang.stage);
    std::int64_t slots = 0;
    std::int64_t workersWithRoom = 0;
    for (const UsableWorker& it : fleetViewOf(*gang.job).workers()) {
        const std::int64_t n = slotsIn(it.room, demand.need);
        slots += n;
        workersWithRoom += n > 0 ? 1 : 0;
    }
    LogLine(Severity::Info, "gang-waiting")
        .with("job", gang.job->record.spec.id.value())
        .with("stage", std::int64_t(gang.stage->step))
        .with("late", std::int64_t(gang.isLate))
        .with("tasks", std::int64_t(demand.count))
        .with("milliCpu", demand.need.cpu.value())
        .with("memoryMb", demand.need.memory.value())
        .with("slots", slots)
        .with("workersWithRoom", workersWithRoom)
        .with("tickets", std::int64_t(gang.stage->advice.tickets.size()))
        .with("adviceOpen", std::int64_t(gang.stage->advice.openRequests))
        .with("waitedMs", core::toMs(now - gang.stage->openedAt));
}

} // namespace sardinerun::scheduling

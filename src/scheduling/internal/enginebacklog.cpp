//! Reports of the work that waits and of the room beside it.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Metric;
using telemetry::Severity;

constexpr core::Duration reportPeriod = std::chrono::seconds(1);

//! Number of steps with pending tasks, by whether they are gangs and whether they are late.
struct WaitingSteps {
    std::array<std::array<std::int64_t, 2>, 2> counts {};
    std::int64_t& of(bool isGang, bool isLate) { return counts[isGang ? 1 : 0][isLate ? 1 : 0]; }
};

} // namespace

void EngineImpl::reportBacklog(const std::vector<ReadyStage>& all, core::TimePoint now)
{
    if (now < m_backlogReportedAt + reportPeriod)
        return;
    m_backlogReportedAt = now;
    WaitingSteps waiting;
    const ReadyStage* firstGang = nullptr;
    double lateCoreSeconds = 0;
    for (const ReadyStage& it : all) {
        if (it.stage->pending == 0)
            continue;
        const bool isGang = it.job->stepOf(*it.stage).isGang;
        ++waiting.of(isGang, it.isLate);
        const PendingWork work = it.job->pendingWork();
        lateCoreSeconds += it.isLate ? work.coreSeconds + work.gangCoreSeconds : 0;
        if (isGang && !firstGang)
            firstGang = &it;
    }
    double cores = 0;
    double freeCores = 0;
    for (const auto& [service, fleet] : m_fleetViews) {
        cores += fleet.cores();
        freeCores += fleet.freeCores();
    }
    for (const bool isGang : { false, true }) {
        for (const bool isLate : { false, true })
            m_dependencies.metrics->set(Metric::WorkStepsWaiting,
                { { "kind", isGang ? "gang" : "single" }, { "late", isLate ? "1" : "0" } },
                double(waiting.of(isGang, isLate)));
    }
    m_dependencies.metrics->set(Metric::WorkCores, { { "state", "all" } }, cores);
    m_dependencies.metrics->set(Metric::WorkCores, { { "state", "free" } }, freeCores);
    const core::Duration longestRound = std::exchange(m_longestRound, core::Duration());
    m_dependencies.metrics->set(Metric::WorkRoundSeconds, {}, std::chrono::duration<double>(longestRound).count());
    const bool doesAnyWait
        = std::any_of(all.begin(), all.end(), [](const ReadyStage& it) { return it.stage->pending > 0; });
    if (!doesAnyWait)
        return;
    LogLine(Severity::Info, "backlog")
        .with("cores", std::int64_t(cores))
        .with("freeCores", std::int64_t(freeCores))
        .with("gangs", waiting.of(true, false))
        .with("lateGangs", waiting.of(true, true))
        .with("steps", waiting.of(false, false))
        .with("lateSteps", waiting.of(false, true))
        .with("lateCoreSeconds", std::int64_t(lateCoreSeconds))
        .with("roundMs", core::toMs(longestRound));
    if (firstGang)
        logWaitingGang(*firstGang, now);
}

void EngineImpl::logWaitingGang(const ReadyStage& gang, core::TimePoint now)
{
    const Demand demand = demandOf(*gang.job, *gang.stage);
    std::int64_t slots = 0;
    std::int64_t workersWithRoom = 0;
    for (const UsableWorker& it : fleetViewOf(*gang.job).workers()) {
        const std::int64_t n = slotsIn(it.worker->freeRoom(), demand.need);
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
        .with("adviceOpen", std::int64_t(gang.stage->advice.isRequested))
        .with("waitedMs", core::toMs(now - gang.stage->openedAt));
}

} // namespace sardinerun::scheduling

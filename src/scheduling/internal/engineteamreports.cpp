//! Reports about teams: metrics, and log lines about teams that wait for their caps.

#include "scheduling/internal/engineimpl.h"

#include <algorithm>

namespace sardinerun::scheduling {

void EngineImpl::countRefusal(const workflow::QueuePolicy& queue, const core::TeamId& team, RefusalCause cause)
{
    telemetry::Metrics& metrics = *m_dependencies.metrics;
    metrics.add(telemetry::Metric::WorkRefused, { { "queue", queue.name } });
    if (!team.value().empty())
        metrics.add(telemetry::Metric::TeamRefused,
            { { "team", metrics.teamLabel(team.value()) }, { "reason", nameOf(cause) } });
}

void EngineImpl::reportTeams()
{
    if (m_config->teams.empty())
        return;
    std::unordered_map<core::TeamId, std::size_t> waiting;
    for (const auto& [id, job] : m_active) {
        if (job->record.team.value().empty())
            continue;
        std::size_t& tasks = waiting[job->record.team];
        for (std::size_t n = job->firstUndone; n < job->openedEnd; ++n)
            tasks += job->stages[n].isOpen ? job->stages[n].pending : 0;
    }
    setTeamMetrics(*m_dependencies.metrics, m_config->teams, m_usage, waiting);
    if (const std::vector<CapWait> waits = capWaits(); !waits.empty())
        logCapWaits(waits, m_usage, m_config->version);
}

std::vector<CapWait> EngineImpl::capWaits() const
{
    std::unordered_map<core::TeamId, CapWait> byTeam;
    for (const auto& [id, job] : m_active) {
        const core::TeamId& team = job->record.team;
        if (m_usage.capOf(team) == core::Resources() || (job->isRecovered && !m_isBarrierPassed))
            continue;
        for (std::size_t n = job->firstUndone; n < job->openedEnd; ++n) {
            const Stage& stage = job->stages[n];
            if (!stage.isOpen || stage.startable() == 0 || !waitsForCap(*job, stage))
                continue;
            CapWait& wait = byTeam.try_emplace(team, CapWait { team }).first->second;
            wait.tasks += stage.startable();
            wait.cores += double(job->stepOf(stage).need.cpu.value()) / 1000 * double(stage.startable());
        }
    }
    std::vector<CapWait> waits;
    waits.reserve(byTeam.size());
    for (const auto& [team, wait] : byTeam)
        waits.push_back(wait);
    std::sort(waits.begin(), waits.end(), [](const CapWait& a, const CapWait& b) { return a.cores > b.cores; });
    return waits;
}

} // namespace sardinerun::scheduling

#include "scheduling/internal/teamreports.h"

#include "core/shares.h"
#include "telemetry/log.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace sardinerun::scheduling {

namespace {

using telemetry::Metric;

//! Number of teams that a line names; a line of the log has a limited length.
constexpr std::size_t maxTeamsInLine = 8;

struct TeamReport {
    double runningCores = 0;
    double capCores = 0; //!< 0: no limit
    double share = 0;
    std::size_t waiting = 0;
};

double coresIn(const core::Resources& amount)
{
    return double(amount.cpu.value()) / 1000;
}

std::string textOf(const CapWait& it, const teams::UsageLedger& usage)
{
    const core::Resources cap = usage.capOf(it.team);
    const double usedShare = core::dominantShare(usage.usedBy(it.team), cap);
    return it.team.value() + ": " + std::to_string(it.tasks) + " tasks, " + std::to_string(std::lround(it.cores))
        + " cores wait, " + std::to_string(std::lround(usedShare * 100)) + " % of cap "
        + std::to_string(std::lround(coresIn(cap))) + " in use";
}

} // namespace

void nameTeams(telemetry::Metrics& metrics, const std::vector<teams::Team>& teams)
{
    std::vector<const teams::Team*> byWeight;
    byWeight.reserve(teams.size());
    for (const teams::Team& it : teams)
        byWeight.push_back(&it);
    std::stable_sort(byWeight.begin(), byWeight.end(),
        [](const teams::Team* a, const teams::Team* b) { return a->weight > b->weight; });
    for (const teams::Team* it : byWeight)
        metrics.teamLabel(it->id.value());
}

void setTeamMetrics(telemetry::Metrics& metrics, const std::vector<teams::Team>& teams, const teams::UsageLedger& usage,
    const std::unordered_map<core::TeamId, std::size_t>& waiting)
{
    std::map<std::string, TeamReport> reports; // by label
    for (const teams::Team& it : teams) {
        TeamReport& report = reports[metrics.teamLabel(it.id.value())];
        const core::Resources used = usage.usedBy(it.id);
        report.runningCores += coresIn(used);
        report.capCores += coresIn(usage.capOf(it.id));
        report.share += core::dominantShare(used, usage.capacity());
    }
    for (const auto& [team, tasks] : waiting)
        reports[metrics.teamLabel(team.value())].waiting += tasks;
    for (const auto& [label, it] : reports) {
        metrics.set(Metric::TeamCores, { { "team", label }, { "state", "running" } }, it.runningCores);
        metrics.set(Metric::TeamCores, { { "team", label }, { "state", "cap" } }, it.capCores);
        metrics.set(Metric::TeamTasksWaiting, { { "team", label } }, double(it.waiting));
        metrics.set(Metric::TeamShare, { { "team", label } }, it.share);
    }
}

void logCapWaits(const std::vector<CapWait>& waits, const teams::UsageLedger& usage, core::ConfigVersion config)
{
    std::string text;
    for (std::size_t n = 0; n < std::min(waits.size(), maxTeamsInLine); ++n)
        text += (n > 0 ? "; " : "") + textOf(waits[n], usage);
    telemetry::LogLine(telemetry::Severity::Info, "cap-waiting")
        .with("config", std::int64_t(config.value()))
        .with("teams", std::int64_t(waits.size()))
        .with("list", text);
}

} // namespace sardinerun::scheduling

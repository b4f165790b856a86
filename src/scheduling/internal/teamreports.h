#pragma once

#include "teams/usageledger.h"
#include "telemetry/metrics.h"

//! What operators see of teams.
namespace sardinerun::scheduling {

//! A team none of whose waiting tasks may start before others of it have ended.
struct CapWait {
    core::TeamId team;
    std::size_t tasks = 0; //!< that wait for the cap
    double cores = 0; //!< which they need
};

//! Gives the teams with the largest weights series of their own.
void nameTeams(telemetry::Metrics& metrics, const std::vector<teams::Team>& teams);
//! Sets the gauges of all teams. `waiting`: tasks of open steps of each team.
void setTeamMetrics(telemetry::Metrics& metrics, const std::vector<teams::Team>& teams, const teams::UsageLedger& usage,
    const std::unordered_map<core::TeamId, std::size_t>& waiting);
//! Logs which teams wait for their caps.
void logCapWaits(const std::vector<CapWait>& waits, const teams::UsageLedger& usage, core::ConfigVersion config);

} // namespace sardinerun::scheduling

//! State that the parts of the engine pass to each other.

#pragma once

#include "scheduling/admission.h"
#include "scheduling/internal/fleetview.h"
#include "scheduling/internal/jobs.h"
#include "scheduling/workahead.h"
#include "workflow/workflowtypes.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace sardinerun::scheduling {

using JobPtr = std::shared_ptr<Job>;

//! Pending work of a team.
struct TeamWork {
    core::Resources need; //!< of all pending tasks
    std::map<int, core::Resources> needByPriority;
};

//! What a run counts towards its team's cap.
struct CountedRun {
    core::TeamId team;
    workflow::Occupation amount;
    core::Duration estimate {};
};

//! A stage with tasks that may start now, with its sort keys for the round.
struct ReadyStage {
    JobPtr job;
    Stage* stage = nullptr;
    bool isLate = false; //!< too late, or beyond the rate that its team may rely on
    bool isExcess = false;
    bool isOutOfUse = false; //!< too late for its callers to use the result
    int priority = 0;
    core::TimePoint startBy {}; //!< latest start that is expected to meet the objective
};

//! State of the fleet and of the jobs, for the admission of all jobs that are submitted within a short time.
struct AdmissionSnapshot {
    core::TimePoint takenAt {};
    core::Duration cost {}; //!< time that it took
    std::size_t jobBytes = 0; //!< memory for all jobs
    std::map<core::ServiceId, FleetRoom> rooms;
    WorkAhead work;
    std::unordered_map<core::TeamId, TeamWork> teams; //!< pending work of the teams that have a cap
};

//! How a step differs between workers, apart from their room.
struct StageWorkers {
    std::string requiredLabel; //!< empty: none
    std::map<core::VmId, std::uint32_t> tasks; //!< running tasks of the step, if their number is limited
    std::set<core::VmId> avoided; //!< workers that pending tasks avoid after an unsuccessful run

    bool mayUse(const Worker& it) const { return requiredLabel.empty() || it.entry().labels.contains(requiredLabel); }
    std::uint32_t tasksOn(const core::VmId& worker) const
    {
        const auto it = tasks.find(worker);
        return it == tasks.end() ? 0 : it->second;
    }
};

//! Steps with pending tasks after a round, and the room beside them.
struct Backlog {
    std::size_t steps = 0;
    std::array<std::array<std::int64_t, 2>, 2> counts {}; //!< of the steps, by [is a gang][is late]
    const ReadyStage* firstGang = nullptr; //!< the next gang in order; null if none waits
    double lateCoreSeconds = 0; //!< pending work of late jobs
    double cores = 0;
    double freeCores = 0; //!< without the room that late gangs have reserved
};

} // namespace sardinerun::scheduling

#pragma once

#include "core/types.h"
#include "estimation/workerspeeds.h"
#include "placement/istrategy.h"

#include <string>
#include <vector>

namespace sardinerun::scheduling {

//! Requirements of the tasks of one step.
struct Demand {
    core::Resources need; //!< of each task
    std::uint32_t count = 0;
    std::uint32_t maxPerWorker = 0; //!< tasks of the step, including running ones; 0: no limit
    std::string dataRack; //!< preferred rack; empty: none
    bool isAllOrNothing = false;
    bool mustShareRack = false;
    //! Score of a worker for each unit of the logarithm of its speed; negative for work that can wait.
    double speedWeight = 0;
};

//! A worker that may run the step.
struct Candidate {
    core::VmId worker;
    core::Resources room;
    core::Resources capacity;
    std::string rack;
    std::uint32_t tasksOfStep = 0; //!< number of tasks of the step that it runs
    bool isLastResort = false; //!< slow, or a task of the step failed there; used only if no other worker has room
    estimation::LogSpeed speed;
};

//! Returns the number of tasks with this need that fit into the room.
std::int64_t slotsIn(const core::Resources& room, const core::Resources& need);

//! Strategy by which the leader chooses workers.
constexpr placement::StrategyKind placementStrategy = placement::StrategyKind::DominantFit;

//! What the score of a candidate depends on.
struct Spot {
    core::Resources room;
    core::Resources capacity;
    const std::string& rack;
    bool isLastResort = false;
    estimation::LogSpeed speed;
};

//! Returns how well a task fits there; higher is better.
double scoreOf(const Demand& demand, const Spot& spot, const placement::IStrategy& strategy);
double scoreOf(const Demand& demand, const Candidate& candidate, const placement::IStrategy& strategy);

//! Chooses a worker for each task as far as there is room; for all-or-nothing demands, for all of them or none.
//!
//! Each placed task is subtracted from the room of its candidate.
std::vector<core::VmId> place(
    const Demand& demand, std::vector<Candidate>& candidates, const placement::IStrategy& strategy);

} // namespace sardinerun::scheduling

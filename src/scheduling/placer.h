#pragma once

#include "core/types.h"
#include "placement/istrategy.h"

#include <string>
#include <vector>

namespace sardinerun::scheduling {

//! What the tasks of one step ask for.
struct Demand {
    core::Resources need; //!< room that each takes
    std::uint32_t count = 0;
    std::uint32_t maxPerWorker = 0; //!< of the step, with those that run already; 0: no limit
    std::string dataRack; //!< empty: none
    bool isAllOrNothing = false;
    bool mustShareRack = false;
};

//! A worker that may run the step.
struct Candidate {
    core::VmId worker;
    core::Resources room;
    core::Resources capacity;
    std::string rack;
    std::uint32_t ofStep = 0; //!< tasks of the step that it runs
    bool isLastChoice = false; //!< in doubt, or kept for others
};

//! Tasks of this size that fit into some room.
std::int64_t slotsIn(const core::Resources& room, const core::Resources& need);

//! Chooses a worker for each task, as far as there is room; for all of them or none where that is asked for.
//!
//! Each choice lowers the room of its candidate.
std::vector<core::VmId> place(
    const Demand& demand, std::vector<Candidate>& candidates, const placement::IStrategy& strategy);

} // namespace sardinerun::scheduling

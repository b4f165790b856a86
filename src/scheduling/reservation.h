#pragma once

#include "core/types.h"
#include "scheduling/placer.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace sardinerun::scheduling {

//! Room of a worker that is expected to become free.
struct RoomEvent {
    core::Duration freeIn {}; //!< time from now until the room is free
    core::Resources freed;
};

//! A worker that a gang may use, with its current and expected free room.
struct FutureWorker {
    Candidate candidate; //!< with its current free room
    std::span<const RoomEvent> events; //!< earliest first
};

//! Room reserved on workers until a gang can start as a whole.
struct Reservation {
    std::map<core::VmId, core::Resources> reserved;
    core::Duration completeIn {}; //!< time from now until all of the reserved room is free
};

//! Reserves room for all tasks where it becomes free earliest; returns nothing if the workers can't provide enough.
//!
//! Without a reservation, steps whose tasks start one by one take all room as it becomes free, and a gang starves.
std::optional<Reservation> reserve(const Demand& demand, const std::vector<FutureWorker>& workers);

} // namespace sardinerun::scheduling

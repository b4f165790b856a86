#pragma once

#include "core/types.h"
#include "scheduling/placer.h"

#include <vector>

namespace sardinerun::scheduling {

//! A worker that may be named in an advice request.
struct AdviceCandidate {
    core::VmId worker;
    std::int64_t slots = 0; //!< tasks of the step that fit into its free or reserved room
    bool isReserved = false; //!< room is reserved there for the step
    bool isAllowed = false; //!< allowed by earlier advice, which stays true for the step
    double fit = 0; //!< score of the placement strategy for a task there; the placer prefers higher ones
};

//! Selects the workers to name in an advice request for a step: as few as suffice, but at least `minWorkers` if there
//! are that many.
//!
//! For a gang these are the workers with the most room, for other steps those on which a task fits best.
//! Returns none if the step could not start on the room of the candidates, as its tickets would expire unused.
//! `allowedShare` is the average share of the named workers that advice allows; `isReservationSoon` is true if the
//! reserved room becomes free by about the time the advice arrives.
std::vector<core::VmId> selectAdviceCandidates(const Demand& demand, const std::vector<AdviceCandidate>& candidates,
    double allowedShare, std::size_t minWorkers, bool isReservationSoon);

} // namespace sardinerun::scheduling

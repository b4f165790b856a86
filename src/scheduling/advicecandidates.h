#pragma once

#include "core/types.h"
#include "scheduling/placer.h"

#include <vector>

namespace sardinerun::scheduling {

//! A worker about which the advice service may be asked.
struct AdviceCandidate {
    core::VmId worker;
    std::int64_t slots = 0; //!< tasks of the step for which it has room, or has room kept
    bool isKept = false; //!< room is kept there for the step
    bool isAllowed = false; //!< advice has allowed it before, which does not change
};

//! Whom to name to the advice service for a step: as few as will do, but at least `least` if there are so many.
//!
//! Nobody when the step could not start with what they have: a ticket would lapse before there is room. `goodShare` is
//! the share of workers that advice allows; `isSoon` says that kept room will be there in time.
std::vector<core::VmId> selectAdviceCandidates(
    const Demand& demand, std::vector<AdviceCandidate> candidates, double goodShare, std::size_t least, bool isSoon);

} // namespace sardinerun::scheduling

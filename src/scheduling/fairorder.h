#pragma once

#include "teams/usageledger.h"

#include <vector>

namespace sardinerun::scheduling {

//! Work of a team that waits for room.
struct WaitingWork {
    core::TeamId team;
    core::Resources need; //!< of all tasks that may start now
    core::TimePoint startBy {}; //!< latest start that is in time
};

//! Returns the order in which work of equal priority is placed while the fleet is full, as indexes into `work`.
//!
//! Teams below their share of the fleet come first, among them the earliest latest start. A team above its share comes
//! after them, the one that uses least of its share first. Shares follow the weights of the teams that run or wait, so
//! what a team does not use is lent to the others. Work ahead in the order counts as if it had started.
std::vector<std::size_t> fairOrder(const std::vector<WaitingWork>& work, const teams::UsageLedger& usage);

} // namespace sardinerun::scheduling

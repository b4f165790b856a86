#pragma once

#include "core/types.h"

#include <map>
#include <unordered_map>

namespace sardinerun::teams {

//! Tells the refused callers of a team when to come back, one after the other at the team's rate, so that they don't
//! return as a wave. More urgent callers get the earlier times.
class RetrySchedule {
public:
    //! Returns when a refused caller may come back. `rate` is that of the team in jobs per second, above 0; smaller
    //! `priority` is more urgent.
    core::Duration next(const core::TeamId& team, double rate, int priority, core::TimePoint now);

private:
    //! Time that is given to the next caller, by priority.
    using NextTimes = std::map<int, core::TimePoint>;
    std::unordered_map<core::TeamId, NextTimes> m_teams;
};

} // namespace sardinerun::teams

#include "teams/retryschedule.h"

#include <algorithm>

namespace sardinerun::teams {

namespace {

constexpr core::Duration minDelay = std::chrono::milliseconds(300);
//! Callers give up after some seconds, so a later time would be no answer to most of them.
constexpr core::Duration maxDelay = std::chrono::seconds(10);

} // namespace

core::Duration RetrySchedule::next(const core::TeamId& team, double rate, int priority, core::TimePoint now)
{
    const auto spacing = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(1 / rate));
    NextTimes& times = m_teams[team];
    // Less urgent callers come after all times that more urgent ones have got.
    core::TimePoint at = now;
    for (const auto& [level, time] : times) {
        if (level <= priority)
            at = std::max(at, time);
    }
    times[priority] = std::min(at + spacing, now + maxDelay);
    return std::clamp(at + spacing - now, minDelay, maxDelay);
}

} // namespace sardinerun::teams

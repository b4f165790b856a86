#include "dispatch/lagmeter.h"

#include <algorithm>

namespace sardinerun::dispatch {

namespace {

//! Urgent work can afford a few hundred milliseconds of delay in all, and a decision takes several turns of the loop.
constexpr core::Duration overloadLateness = std::chrono::milliseconds(25);
//! Upper bound for one timer's lateness: a pause of the whole VM delays one timer only and is no overload.
constexpr core::Duration maxTimerLateness = std::chrono::milliseconds(150);
//! Number of timers over which the lateness is averaged, about half a second.
constexpr int smoothingTimers = 8;

} // namespace

void LagMeter::onTimer(core::TimePoint now)
{
    const bool isFirst = m_lastAt == core::TimePoint();
    const core::Duration late = isFirst ? core::Duration(0) : now - m_lastAt - m_period;
    m_lastAt = now;
    m_lateness += (std::clamp(late, core::Duration(0), maxTimerLateness) - m_lateness) / smoothingTimers;
}

bool LagMeter::isOverloaded() const
{
    return m_lateness >= overloadLateness;
}

} // namespace sardinerun::dispatch

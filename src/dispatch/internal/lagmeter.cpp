#include "dispatch/lagmeter.h"

#include <algorithm>

namespace sardinerun::dispatch {

namespace {

//! Urgent work has a few hundred milliseconds to spare in all; a leader that is this late uses a good part of it.
constexpr core::Duration lateTimer = std::chrono::milliseconds(60);
//! A pause of the whole VM makes one timer late, however long.
constexpr int neededTimers = 4;
constexpr int smoothing = 4;

} // namespace

void LagMeter::onTimer(core::TimePoint now)
{
    const bool isFirst = m_lastAt == core::TimePoint();
    const core::Duration late = isFirst ? core::Duration(0) : std::max(now - m_lastAt - m_period, core::Duration(0));
    m_lastAt = now;
    m_lateness += (late - m_lateness) / smoothing;
    m_lateTimers = late >= lateTimer ? m_lateTimers + 1 : 0;
}

bool LagMeter::isOverloaded() const
{
    return m_lateTimers >= neededTimers;
}

} // namespace sardinerun::dispatch

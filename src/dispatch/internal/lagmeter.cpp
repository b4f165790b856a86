#include "dispatch/lagmeter.h"

#include <algorithm>

namespace sardinerun::dispatch {

namespace {

//! Urgent work has a few hundred milliseconds to spare in all, and a decision takes several turns of the loop.
constexpr core::Duration mostLateness = std::chrono::milliseconds(25);
//! A pause of the whole VM makes one timer late, which counts as no more than this.
constexpr core::Duration mostOfOneTimer = std::chrono::milliseconds(150);
//! Timers over which the lateness is smoothed: about half a second of them.
constexpr int smoothing = 8;

} // namespace

void LagMeter::onTimer(core::TimePoint now)
{
    const bool isFirst = m_lastAt == core::TimePoint();
    const core::Duration late = isFirst ? core::Duration(0) : now - m_lastAt - m_period;
    m_lastAt = now;
    m_lateness += (std::clamp(late, core::Duration(0), mostOfOneTimer) - m_lateness) / smoothing;
}

bool LagMeter::isOverloaded() const
{
    return m_lateness >= mostLateness;
}

} // namespace sardinerun::dispatch

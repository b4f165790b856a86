#include "scheduling/cpulimiter.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

//! Ratio of tail latency to target from which the share is halved, and ratio below which it rises again.
constexpr double reduceLevel = 0.8;
constexpr double raiseLevel = 0.6;
constexpr int minShare = 10; //!< in percent; with less, the progress does not justify the interference
constexpr int riseStep = 15; //!< percent
//! The tail latency covers half a second, so the effect of a change is visible only after that.
constexpr core::Duration settleTime = std::chrono::milliseconds(1200);

double levelOf(const std::vector<ServingLoad>& serving)
{
    double worst = 0;
    for (const ServingLoad& it : serving)
        worst = std::max(worst, double(it.tailLatency.count()) / double(std::max<std::int64_t>(it.target.count(), 1)));
    return worst;
}

} // namespace

int CpuLimiter::updateShare(const std::vector<ServingLoad>& serving, core::TimePoint now)
{
    const double level = levelOf(serving);
    int share = m_share;
    if (level >= 1)
        share = 0;
    else if (now - m_changedAt < settleTime)
        return m_share;
    else if (level >= reduceLevel)
        share = m_share / 2 < minShare ? 0 : m_share / 2;
    else if (level < raiseLevel)
        share = std::min(100, m_share + riseStep);
    if (share != m_share)
        m_changedAt = now;
    m_share = share;
    return m_share;
}

} // namespace sardinerun::scheduling

#include "scheduling/cpulimiter.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

//! Of a target: beyond the first the share is halved, below the second it may rise again.
constexpr double tightLevel = 0.8;
constexpr double calmLevel = 0.6;
constexpr int lowestShare = 10; //!< below it the work is not worth the disturbance
constexpr int riseStep = 15; //!< percent
//! Tails are taken over half a second, so the effect of a change shows only after that.
constexpr core::Duration settleTime = std::chrono::milliseconds(1200);

double levelOf(const std::vector<ServingLoad>& serving)
{
    double worst = 0;
    for (const ServingLoad& it : serving)
        worst = std::max(worst, double(it.tail.count()) / double(std::max<std::int64_t>(it.target.count(), 1)));
    return worst;
}

} // namespace

int CpuLimiter::shareAfter(const std::vector<ServingLoad>& serving, core::TimePoint now)
{
    const double level = levelOf(serving);
    int share = m_share;
    if (level >= 1)
        share = 0;
    else if (now - m_changedAt < settleTime)
        return m_share;
    else if (level >= tightLevel)
        share = m_share / 2 < lowestShare ? 0 : m_share / 2;
    else if (level < calmLevel)
        share = std::min(100, m_share + riseStep);
    if (share != m_share)
        m_changedAt = now;
    m_share = share;
    return m_share;
}

} // namespace sardinerun::scheduling

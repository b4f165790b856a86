#include "scheduling/headroom.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

constexpr double smoothingFactor = 0.1;
//! Gangs differ in size, so the headroom is somewhat larger than the average gang.
constexpr double margin = 1.5;
//! Maximum share of the cores that is left free for future gangs.
constexpr double maxShare = 0.12;
//! Maximum share of the cores that is left free for waiting gangs.
constexpr double maxWaitingShare = 0.45;
//! Work with less slack than this leaves nothing free, since a delay could make it late.
constexpr core::Duration minSlack = std::chrono::milliseconds(2500);

} // namespace

std::size_t Headroom::indexOf(int priority)
{
    return std::min<std::size_t>(static_cast<std::size_t>(std::max(priority, 0)), priorities - 1);
}

void Headroom::onGangArrival(int priority, double cores)
{
    double& mean = m_gangCores[indexOf(priority)];
    mean = mean == 0 ? cores : mean + smoothingFactor * (cores - mean);
}

double Headroom::coresToLeaveFree(int priority, core::Duration slack, bool isLate, double allCores) const
{
    if (!isLate && slack < minSlack)
        return 0;
    double largestGang = 0;
    double waiting = 0;
    const std::size_t end = isLate ? priorities : indexOf(priority);
    for (std::size_t n = 0; n < end; ++n) {
        largestGang = std::max(largestGang, m_gangCores[n]);
        waiting += m_waitingCores[n];
    }
    return std::max(std::min(largestGang * margin, allCores * maxShare), std::min(waiting, allCores * maxWaitingShare));
}

} // namespace sardinerun::scheduling

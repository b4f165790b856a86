#include "scheduling/advicecandidates.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace sardinerun::scheduling {

namespace {

//! Maximum number of workers that the advice service accepts in one request.
constexpr std::size_t maxWorkers = 100;
//! The number of allowed workers varies around its mean, so this many standard deviations are added to the target.
constexpr double spreadFactor = 2;

} // namespace

std::vector<core::VmId> selectAdviceCandidates(const Demand& demand, std::vector<AdviceCandidate> candidates,
    double allowedShare, std::size_t minWorkers, bool isReservationSoon)
{
    const auto expectedOf
        = [allowedShare](const AdviceCandidate& it) { return double(it.slots) * (it.isAllowed ? 1 : allowedShare); };
    double expectedSlots = 0;
    for (const AdviceCandidate& it : candidates)
        expectedSlots += expectedOf(it);
    const double minExpectedSlots = demand.isAllOrNothing ? double(demand.count) : allowedShare;
    if (expectedSlots < minExpectedSlots && !isReservationSoon)
        return {};
    const auto gangRank
        = [&expectedOf](const AdviceCandidate& it) { return std::make_tuple(it.isReserved, expectedOf(it), 0.0); };
    // Advice decides where tasks can go, so it has to prefer the same workers as the placer. Naming the ones with the
    // most room would spread small steps over the room that gangs need.
    const auto stepRank = [](const AdviceCandidate& it) {
        const bool hasRoom = it.slots > 0;
        const double preference = (it.isReserved ? 2 : 0) + (it.isAllowed ? 1 : 0);
        return std::make_tuple(hasRoom, preference, it.fit);
    };
    std::stable_sort(candidates.begin(), candidates.end(), [&](const AdviceCandidate& a, const AdviceCandidate& b) {
        return demand.isAllOrNothing ? gangRank(a) > gangRank(b) : stepRank(a) > stepRank(b);
    });
    const double targetSlots = double(demand.count) + spreadFactor * std::sqrt(double(demand.count));
    std::vector<core::VmId> selected;
    double sum = 0;
    for (const AdviceCandidate& it : candidates) {
        const bool isEnough = sum >= targetSlots && selected.size() >= minWorkers;
        if (isEnough || selected.size() >= maxWorkers)
            break;
        selected.push_back(it.worker);
        sum += expectedOf(it);
    }
    return selected;
}

} // namespace sardinerun::scheduling

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

using Rank = std::tuple<double, double, double>; //!< higher comes first

struct RankedCandidate {
    Rank rank;
    const AdviceCandidate* candidate = nullptr;

    bool operator<(const RankedCandidate& other) const
    {
        return rank != other.rank ? rank > other.rank : candidate < other.candidate;
    }
};

} // namespace

std::vector<core::VmId> selectAdviceCandidates(const Demand& demand, const std::vector<AdviceCandidate>& candidates,
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
    const auto gangRank = [&expectedOf](const AdviceCandidate& it) {
        return Rank { it.isReserved ? 1.0 : 0.0, expectedOf(it), 0.0 };
    };
    // Advice decides where tasks can go, so it has to prefer the same workers as the placer. Naming the ones with the
    // most room would spread small steps over the room that gangs need.
    const auto stepRank = [](const AdviceCandidate& it) {
        const bool hasRoom = it.slots > 0;
        const double preference = (it.isReserved ? 2 : 0) + (it.isAllowed ? 1 : 0);
        return Rank { hasRoom ? 1.0 : 0.0, preference, it.fit };
    };
    std::vector<RankedCandidate> ranked;
    ranked.reserve(candidates.size());
    for (const AdviceCandidate& it : candidates)
        ranked.push_back({ demand.isAllOrNothing ? gangRank(it) : stepRank(it), &it });
    // Only the first ones are needed. Equal ranks keep the order of the candidates, which lie in one array.
    const std::size_t needed = std::min(maxWorkers, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + std::ptrdiff_t(needed), ranked.end());
    ranked.resize(needed);
    const double targetSlots = double(demand.count) + spreadFactor * std::sqrt(double(demand.count));
    std::vector<core::VmId> selected;
    double sum = 0;
    for (const RankedCandidate& it : ranked) {
        if (sum >= targetSlots && selected.size() >= minWorkers)
            break;
        selected.push_back(it.candidate->worker);
        sum += expectedOf(*it.candidate);
    }
    return selected;
}

} // namespace sardinerun::scheduling

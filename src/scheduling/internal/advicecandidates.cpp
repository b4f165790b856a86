#include "scheduling/advicecandidates.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace sardinerun::scheduling {

namespace {

//! The advice service takes at most so many workers in one question.
constexpr std::size_t mostNamed = 100;
//! Advice varies about its mean: so many standard deviations more are named than are needed.
constexpr double spreadFactor = 2;

} // namespace

std::vector<core::VmId> selectAdviceCandidates(
    const Demand& demand, std::vector<AdviceCandidate> candidates, double goodShare, std::size_t least, bool isSoon)
{
    const auto expectedOf
        = [goodShare](const AdviceCandidate& it) { return double(it.slots) * (it.isAllowed ? 1 : goodShare); };
    double all = 0;
    for (const AdviceCandidate& it : candidates)
        all += expectedOf(it);
    const double needed = demand.isAllOrNothing ? double(demand.count) : goodShare;
    if (all < needed && !isSoon)
        return {};
    std::stable_sort(candidates.begin(), candidates.end(), [&](const AdviceCandidate& a, const AdviceCandidate& b) {
        return std::make_tuple(a.isKept, expectedOf(a)) > std::make_tuple(b.isKept, expectedOf(b));
    });
    const double wanted = double(demand.count) + spreadFactor * std::sqrt(double(demand.count));
    std::vector<core::VmId> named;
    double sum = 0;
    for (const AdviceCandidate& it : candidates) {
        const bool isEnough = sum >= wanted && named.size() >= least;
        if (isEnough || named.size() >= mostNamed)
            break;
        named.push_back(it.worker);
        sum += expectedOf(it);
    }
    return named;
}

} // namespace sardinerun::scheduling

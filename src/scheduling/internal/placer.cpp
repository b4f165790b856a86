#include "scheduling/placer.h"

#include <algorithm>
#include <limits>
#include <map>
#include <queue>

namespace sardinerun::scheduling {

namespace {

//! Scores of a strategy lie between -3 and 1, so these penalties outweigh any score.
constexpr double lastResortPenalty = 100;
constexpr double otherRackPenalty = 10;

bool isEligible(const Demand& demand, const Candidate& it)
{
    return demand.need.fitsIn(it.room) && (demand.maxPerWorker == 0 || it.tasksOfStep < demand.maxPerWorker);
}

//! A candidate with its score for the next task.
struct Ranked {
    double score = 0;
    std::size_t index = 0; //!< among the candidates; the first one wins a tie

    bool operator<(const Ranked& it) const { return score != it.score ? score < it.score : index > it.index; }
};

std::vector<core::VmId> placeAnywhere(
    const Demand& demand, std::vector<Candidate>& candidates, const placement::IStrategy& strategy)
{
    // A task changes the score of its own worker only, so each candidate is scored once and then again for each task.
    std::vector<Ranked> ranked;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        if (isEligible(demand, candidates[n]))
            ranked.push_back({ scoreOf(demand, candidates[n], strategy), n });
    }
    std::priority_queue<Ranked> queue(std::less<Ranked>(), std::move(ranked));
    std::vector<core::VmId> chosen;
    while (chosen.size() < demand.count && !queue.empty()) {
        const std::size_t best = queue.top().index;
        queue.pop();
        Candidate& it = candidates[best];
        it.room = it.room - demand.need;
        ++it.tasksOfStep;
        chosen.push_back(it.worker);
        if (isEligible(demand, it))
            queue.push({ scoreOf(demand, it, strategy), best });
    }
    if (demand.isAllOrNothing && chosen.size() < demand.count)
        chosen.clear();
    return chosen;
}

//! Places all tasks on one rack; returns none if no rack has room for all.
std::vector<core::VmId> placeOnOneRack(
    const Demand& demand, const std::vector<Candidate>& candidates, const placement::IStrategy& strategy)
{
    std::map<std::string, std::vector<Candidate>> byRack;
    for (const Candidate& it : candidates)
        byRack[it.rack].push_back(it);
    Demand oneRack = demand;
    oneRack.isAllOrNothing = true;
    for (auto& it : byRack) {
        std::vector<core::VmId> chosen = placeAnywhere(oneRack, it.second, strategy);
        if (!chosen.empty())
            return chosen;
    }
    return {};
}

} // namespace

std::int64_t slotsIn(const core::Resources& room, const core::Resources& need)
{
    std::int64_t n = std::numeric_limits<std::int32_t>::max();
    if (need.cpu.value() > 0)
        n = std::min(n, room.cpu.value() / need.cpu.value());
    if (need.memory.value() > 0)
        n = std::min(n, room.memory.value() / need.memory.value());
    if (need.accelerators.value() > 0)
        n = std::min(n, room.accelerators.value() / need.accelerators.value());
    return std::max<std::int64_t>(n, 0);
}

double scoreOf(const Demand& demand, const Spot& spot, const placement::IStrategy& strategy)
{
    double score = strategy.score(spot.room - demand.need, spot.capacity);
    score += demand.speedWeight * spot.speed.value();
    if (spot.isLastResort)
        score -= lastResortPenalty;
    if (!demand.dataRack.empty() && demand.dataRack != spot.rack)
        score -= otherRackPenalty;
    return score;
}

double scoreOf(const Demand& demand, const Candidate& candidate, const placement::IStrategy& strategy)
{
    return scoreOf(demand,
        Spot { candidate.room, candidate.capacity, candidate.rack, candidate.isLastResort, candidate.speed }, strategy);
}

std::vector<core::VmId> place(
    const Demand& demand, std::vector<Candidate>& candidates, const placement::IStrategy& strategy)
{
    if (demand.mustShareRack) {
        std::vector<core::VmId> chosen = placeOnOneRack(demand, candidates, strategy);
        if (!chosen.empty())
            return chosen;
    }
    return placeAnywhere(demand, candidates, strategy);
}

} // namespace sardinerun::scheduling

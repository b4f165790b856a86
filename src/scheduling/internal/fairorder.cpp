#include "scheduling/fairorder.h"

#include <algorithm>
#include <numeric>

namespace sardinerun::scheduling {

FairOrder::FairOrder(const std::vector<WaitingWork>& work, const teams::UsageLedger& usage)
    : m_work(work)
    , m_usage(usage)
{
    const auto isBefore = [&work](std::size_t a, std::size_t b) { return work[a].startBy < work[b].startBy; };
    std::vector<std::size_t> byStart(work.size());
    std::iota(byStart.begin(), byStart.end(), 0);
    if (!std::is_sorted(byStart.begin(), byStart.end(), isBefore))
        std::stable_sort(byStart.begin(), byStart.end(), isBefore);
    for (const std::size_t it : byStart) {
        const auto [entry, isNew] = m_indexes.try_emplace(work[it].team, m_queues.size());
        if (isNew)
            m_queues.push_back({ work[it].team, {}, 0, usage.usedBy(work[it].team) });
        m_queues[entry->second].work.push_back(it);
    }
    // Of teams whose next work has the same latest start, the first by name comes first.
    std::sort(m_queues.begin(), m_queues.end(), [](const TeamQueue& a, const TeamQueue& b) { return a.team < b.team; });
    double weights = 0;
    for (TeamIndex n = 0; n < m_queues.size(); ++n) {
        m_indexes[m_queues[n].team] = n;
        weights += usage.weightOf(m_queues[n].team);
    }
    m_entitlement = weights > 0 ? 1 / weights : 0;
    for (TeamIndex n = 0; n < m_queues.size(); ++n)
        insert(n);
}

std::optional<std::size_t> FairOrder::next()
{
    if (m_belowShare.empty() && m_aboveShare.isEmpty())
        return std::nullopt;
    const TeamIndex index = m_belowShare.empty() ? m_indexes.at(*m_aboveShare.first()) : m_belowShare.begin()->second;
    erase(index);
    TeamQueue& queue = m_queues[index];
    const std::size_t first = queue.work[queue.next++];
    queue.used = queue.used + m_work[first].need;
    insert(index);
    return first;
}

void FairOrder::insert(TeamIndex index)
{
    const TeamQueue& queue = m_queues[index];
    if (queue.isEmpty())
        return;
    const double share = m_usage.weightedShareOf(queue.team, queue.used);
    if (share < m_entitlement)
        m_belowShare.emplace(m_work[queue.work[queue.next]].startBy, index);
    else
        m_aboveShare.set(queue.team, share);
}

void FairOrder::erase(TeamIndex index)
{
    const TeamQueue& queue = m_queues[index];
    m_belowShare.erase({ m_work[queue.work[queue.next]].startBy, index });
    m_aboveShare.remove(queue.team);
}

std::vector<std::size_t> fairOrder(const std::vector<WaitingWork>& work, const teams::UsageLedger& usage)
{
    FairOrder order(work, usage);
    std::vector<std::size_t> indexes;
    indexes.reserve(work.size());
    while (const auto it = order.next())
        indexes.push_back(*it);
    return indexes;
}

} // namespace sardinerun::scheduling

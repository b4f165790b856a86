#include "scheduling/fairorder.h"

#include "admission/teamorder.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace sardinerun::scheduling {

namespace {

//! Waiting work of one team, earliest latest start first.
struct TeamQueue {
    std::vector<std::size_t> work; //!< indexes
    std::size_t next = 0;
    core::Resources used; //!< with the work that is ahead in the order

    bool isEmpty() const { return next == work.size(); }
};

class Order {
public:
    Order(const std::vector<WaitingWork>& work, const teams::UsageLedger& usage)
        : m_work(work)
        , m_usage(usage)
    {
        std::vector<std::size_t> byStart(work.size());
        std::iota(byStart.begin(), byStart.end(), 0);
        std::stable_sort(byStart.begin(), byStart.end(),
            [&work](std::size_t a, std::size_t b) { return work[a].startBy < work[b].startBy; });
        for (const std::size_t it : byStart)
            m_teams[work[it].team].work.push_back(it);
        double weights = 0;
        for (auto& [team, queue] : m_teams) {
            queue.used = usage.usedBy(team);
            weights += usage.weightOf(team);
        }
        m_entitlement = weights > 0 ? 1 / weights : 0;
        for (auto& [team, queue] : m_teams)
            insert(team, queue);
    }

    std::vector<std::size_t> take()
    {
        std::vector<std::size_t> order;
        order.reserve(m_work.size());
        while (!m_belowShare.empty() || !m_aboveShare.isEmpty()) {
            const core::TeamId team = m_belowShare.empty() ? *m_aboveShare.first() : m_belowShare.begin()->second;
            TeamQueue& queue = m_teams[team];
            erase(team, queue);
            const std::size_t index = queue.work[queue.next++];
            order.push_back(index);
            queue.used = queue.used + m_work[index].need;
            insert(team, queue);
        }
        return order;
    }

private:
    using BelowShare = std::set<std::pair<core::TimePoint, core::TeamId>>;

    void insert(const core::TeamId& team, const TeamQueue& queue)
    {
        if (queue.isEmpty())
            return;
        const double share = m_usage.weightedShareOf(team, queue.used);
        if (share < m_entitlement)
            m_belowShare.emplace(m_work[queue.work[queue.next]].startBy, team);
        else
            m_aboveShare.set(team, share);
    }
    void erase(const core::TeamId& team, const TeamQueue& queue)
    {
        m_belowShare.erase({ m_work[queue.work[queue.next]].startBy, team });
        m_aboveShare.remove(team);
    }

    const std::vector<WaitingWork>& m_work;
    const teams::UsageLedger& m_usage;
    std::map<core::TeamId, TeamQueue> m_teams;
    double m_entitlement = 0; //!< weighted share up to which a team comes first
    BelowShare m_belowShare; //!< by the latest start of their next work
    admission::TeamOrder m_aboveShare;
};

} // namespace

std::vector<std::size_t> fairOrder(const std::vector<WaitingWork>& work, const teams::UsageLedger& usage)
{
    return Order(work, usage).take();
}

} // namespace sardinerun::scheduling

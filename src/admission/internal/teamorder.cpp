#include "admission/teamorder.h"

namespace sardinerun::admission {

void TeamOrder::set(const core::TeamId& team, double weightedShare)
{
    const auto [it, isNew] = m_shares.try_emplace(team, weightedShare);
    if (!isNew) {
        m_order.erase({ it->second, team });
        it->second = weightedShare;
    }
    m_order.emplace(weightedShare, team);
}

void TeamOrder::remove(const core::TeamId& team)
{
    const auto it = m_shares.find(team);
    if (it == m_shares.end())
        return;
    m_order.erase({ it->second, team });
    m_shares.erase(it);
}

} // namespace sardinerun::admission

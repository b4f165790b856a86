#pragma once

#include "core/types.h"

#include <set>
#include <unordered_map>

namespace sardinerun::admission {

//! Teams with waiting work, in the order of their weighted shares: the team that uses least of its share comes first.
//!
//! Dominant Resource Fairness (Ghodsi et al., NSDI 2011): serving the lowest weighted dominant share first leads to
//! shares in proportion to the weights, and lends what a team does not use. All operations cost the logarithm of the
//! number of teams.
class TeamOrder {
public:
    //! Adds a team, or moves it to its new place.
    void set(const core::TeamId& team, double weightedShare);
    void remove(const core::TeamId& team);
    //! Returns the team with the lowest share, among equal ones the first by name; null if there is none.
    const core::TeamId* first() const { return m_order.empty() ? nullptr : &m_order.begin()->second; }
    bool isEmpty() const { return m_order.empty(); }

private:
    std::set<std::pair<double, core::TeamId>> m_order;
    std::unordered_map<core::TeamId, double> m_shares;
};

} // namespace sardinerun::admission

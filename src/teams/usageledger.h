#pragma once

#include "teams/teamtypes.h"

#include <unordered_map>

namespace sardinerun::teams {

//! Resources that the tasks of each team occupy, and the caps and shares that limit them.
//!
//! A task counts from its start order until its end is certain. Work without a team has neither cap nor share.
class UsageLedger {
public:
    //! Replaces the teams. A team that is no longer listed keeps its last cap, as its accepted jobs still run.
    void setTeams(const std::vector<Team>& teams);
    //! Sets the last known cap of a team, unless it is or was listed.
    void recallCap(const core::TeamId& team, const core::Resources& cap);
    //! Sets the capacity of the fleet, of which shares are computed.
    void setCapacity(const core::Resources& total) { m_capacity = total; }

    void add(const core::TeamId& team, const core::Resources& amount);
    void remove(const core::TeamId& team, const core::Resources& amount);
    //! Sets what tasks that this leader has not seen yet may occupy besides.
    void setPossible(const core::TeamId& team, const core::Resources& amount) { m_entries[team].possible = amount; }
    void clearPossible();

    core::Resources usedBy(const core::TeamId& team) const;
    //! Returns how many more tasks with this need may start within the team's cap, at most `count`.
    std::uint32_t tasksWithinCap(const core::TeamId& team, const core::Resources& need, std::uint32_t count) const;
    //! Returns whether a demand could ever run within the team's cap.
    bool canEverRun(const core::TeamId& team, const core::Resources& need) const;
    //! Returns the cap; 0: no limit.
    core::Resources capOf(const core::TeamId& team) const;
    //! Returns the team's weight; 1 for a team that was never listed.
    int weightOf(const core::TeamId& team) const;
    //! Returns the dominant share of an amount in the fleet, divided by the team's weight.
    double weightedShareOf(const core::TeamId& team, const core::Resources& amount) const;
    const core::Resources& capacity() const { return m_capacity; }

private:
    struct Entry {
        int weight = 1;
        bool isListed = false; //!< now or before
        core::Resources cap;
        core::Resources used;
        core::Resources possible;
    };
    const Entry* find(const core::TeamId& team) const;

    std::unordered_map<core::TeamId, Entry> m_entries;
    core::Resources m_capacity;
};

} // namespace sardinerun::teams

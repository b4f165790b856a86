#pragma once

#include "admission/teamorder.h"
#include "teams/usageledger.h"

#include <optional>
#include <set>
#include <vector>

namespace sardinerun::scheduling {

//! Work of a team that waits for room.
struct WaitingWork {
    core::TeamId team;
    core::Resources need; //!< of all tasks that may start now
    core::TimePoint startBy {}; //!< latest start that is in time
};

//! The order in which work of equal priority is placed while the fleet is full.
//!
//! Teams below their share of the fleet come first, among them the earliest latest start. A team above its share comes
//! after them, the one that uses least of its share first. Shares follow the weights of the teams that run or wait, so
//! what a team does not use is lent to the others. Work ahead in the order counts as if it had started.
//!
//! The order is computed as far as it is asked for. Each step costs the logarithm of the number of teams.
class FairOrder {
public:
    //! `work` and `usage` must outlive the object and not change.
    FairOrder(const std::vector<WaitingWork>& work, const teams::UsageLedger& usage);

    //! Returns the index of the next work, or nothing after the last.
    std::optional<std::size_t> next();

private:
    //! Waiting work of one team, earliest latest start first.
    struct TeamQueue {
        core::TeamId team;
        std::vector<std::size_t> work; //!< indexes
        std::size_t next = 0;
        core::Resources used; //!< with the work that is ahead in the order

        bool isEmpty() const { return next == work.size(); }
    };
    using TeamIndex = std::size_t;
    using BelowShare = std::set<std::pair<core::TimePoint, TeamIndex>>;

    void insert(TeamIndex index);
    void erase(TeamIndex index);

    const std::vector<WaitingWork>& m_work;
    const teams::UsageLedger& m_usage;
    std::vector<TeamQueue> m_queues; //!< by name of the team
    std::unordered_map<core::TeamId, TeamIndex> m_indexes;
    double m_entitlement = 0; //!< weighted share up to which a team comes first
    BelowShare m_belowShare; //!< by the latest start of their next work
    admission::TeamOrder m_aboveShare;
};

//! Returns the whole order, as indexes into `work`.
std::vector<std::size_t> fairOrder(const std::vector<WaitingWork>& work, const teams::UsageLedger& usage);

} // namespace sardinerun::scheduling

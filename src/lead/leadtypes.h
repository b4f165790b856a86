#pragma once

#include "core/types.h"
#include "store/storetypes.h"

#include <optional>
#include <string>
#include <string_view>

//! Election of the node that schedules workflows: a lease in one row of the store, fenced by the row's version.
//!
//! Exactly one row names the leader. Every write of a leader has that row's version as a condition, so a former leader
//! cannot write. The leader's term is the fence of its orders to workers, so workers reject a former leader, too.
namespace sardinerun::lead {

//! Value of the row that names the leader.
struct LeaderRow {
    core::NodeId node;
    core::HostPort address; //!< where it accepts messages from other nodes
    core::Epoch term; //!< grows by one with each leader; 1 is the first
    std::uint64_t heartbeat = 0; //!< incremented by each renewal of the lease
    bool isReleased = false; //!< the leader has stopped; another node may claim the leadership immediately
    bool wasOverloaded = false; //!< the leader stepped down because its VM had too little CPU
    //! No earlier leader gives orders any more, or none that this leader does not notice, so their authority does not
    //! matter.
    bool isSettled = false;
};

std::string encodeLeaderRow(const LeaderRow& it);
//! Returns nothing if the value cannot be decoded.
std::optional<LeaderRow> decodeLeaderRow(std::string_view text);

store::RowKey leaderKey();
//! Key of the row that changes with every write of a leader, so that a delayed write fails its version condition and
//! has no effect.
store::RowKey headKey();

extern const char* const leaderTable;

//! Timing of leases and elections, measured with the runtime's clock.
struct LeaderTimes {
    core::Duration heartbeat = std::chrono::milliseconds(800); //!< interval between heartbeats
    core::Duration leaderTimeout = std::chrono::milliseconds(2400); //!< three heartbeats; other nodes may claim then
    core::Duration suspectedLeaderTimeout
        = std::chrono::milliseconds(1200); //!< replaces leaderTimeout while this node cannot reach the leader directly
    core::Duration spread = std::chrono::milliseconds(300); //!< range over which candidacies are spread
    //! A leader that has not reached the store for this long sends no more orders.
    core::Duration authorityTimeout = std::chrono::seconds(12);
    //! How often a leader without authority asks the other nodes whether one of them leads.
    core::Duration replacementCheckPeriod = std::chrono::milliseconds(500);
    //! How long an answer that none of them leads counts, from the question on.
    core::Duration replacementCheckValidity = std::chrono::milliseconds(1500);
    core::Duration rejectionTimeout
        = std::chrono::milliseconds(350); //!< how long the store must reject the leader before it invites others
    core::Duration groupInterval = std::chrono::milliseconds(12); //!< minimum interval between two writes
    core::Duration retryPause = std::chrono::milliseconds(120); //!< delay after a failed write
};

} // namespace sardinerun::lead

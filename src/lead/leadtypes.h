#pragma once

#include "core/types.h"
#include "store/storetypes.h"

#include <optional>
#include <string>
#include <string_view>

//! Which node decides: a lease in one row of the store, fenced by the row's version.
//!
//! Exactly one row names the leader. Every write of a leader has that row's version as a condition, so a former leader
//! cannot write; its term is the fence of the orders to workers, so they refuse a former leader too.
namespace sardinerun::lead {

//! Value of the row that names the leader.
struct LeaderRow {
    core::NodeId node;
    core::HostPort address; //!< where it takes messages of other nodes
    core::Epoch term; //!< grows by one with each leader; 1 is the first
    std::uint64_t heartbeat = 0; //!< grows while the leader lives
    bool isReleased = false; //!< the leader has stopped; the next may follow at once
    bool wasOverloaded = false; //!< it has stopped because its VM had too little processor for it
};

std::string encodeLeaderRow(const LeaderRow& it);
//! Nothing when the value cannot be read.
std::optional<LeaderRow> decodeLeaderRow(std::string_view text);

store::RowKey leaderKey();
//! Changes with every write of a leader, so that a write that comes late meets another version and has no effect.
store::RowKey headKey();

extern const char* const leaderTable;

//! Times of a leadership. All are of the runtime's clock.
struct LeaderTimes {
    core::Duration heartbeat = std::chrono::milliseconds(800); //!< between two heartbeats
    core::Duration leaderTimeout = std::chrono::milliseconds(2400); //!< three heartbeats: then others may follow
    core::Duration suspectedLeaderTimeout
        = std::chrono::milliseconds(1200); //!< for a leader that other nodes cannot reach either
    core::Duration spread = std::chrono::milliseconds(300); //!< over which candidates are spread
    //! A leader that has not reached the store for so long gives no more orders.
    core::Duration authorityTimeout = std::chrono::seconds(12);
    core::Duration rejectedByStore = std::chrono::milliseconds(350); //!< by the store, until others are asked to lead
    core::Duration groupInterval = std::chrono::milliseconds(12); //!< between two writes
    core::Duration retryPause = std::chrono::milliseconds(120); //!< after a write that failed
};

} // namespace sardinerun::lead

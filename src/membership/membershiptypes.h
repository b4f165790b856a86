#pragma once

#include "core/types.h"
#include "services/servicestypes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

//! Membership: which nodes live, who owns which partition, who holds which share of the runners' slots, and which
//! configuration is in force. All of it lies in a few rows of the platform's table.
namespace sardinerun::membership {

//! One run of a node's process.
struct NodeIncarnation {
    core::NodeId node;
    core::Incarnation incarnation;
    auto operator<=>(const NodeIncarnation&) const = default;
    bool isNone() const { return node.value().empty(); }
};

struct Member {
    NodeIncarnation run;
    core::HostPort address; //!< for other nodes
    core::FailureDomainId failureDomain;
    core::ConfigVersion confirmed; //!< newest configuration for which it has stopped acting under older ones
    bool isLeaving = false;
    core::RowVersion row;
    core::WriteId writeId;
};

struct PartitionRow {
    NodeIncarnation owner; //!< nobody when it was handed over
    core::Epoch epoch;
    std::vector<NodeIncarnation> formerOwners; //!< earlier owners that may still speak with workers, as far as known
    core::RowVersion row;
};

//! Who may use a partition's share of every runner's slots. Moves more slowly than the partition, since runners
//! know no epochs.
struct SlotsRow {
    NodeIncarnation holder; //!< nobody when it was released
    core::HostPort address; //!< where the holder can be asked whether it still runs
    core::RowVersion row;
};

//! The newest accepted configuration.
struct ConfigRow {
    core::ConfigVersion version;
    core::PresetName preset;
    std::string document; //!< YAML
    core::RowVersion row;
    core::WriteId writeId;
};

//! The configuration that is in force.
struct ActiveRow {
    core::ConfigVersion version;
    core::RowVersion row;
};

//! All rows of the cell as of one moment.
struct CellView {
    std::uint32_t partitionCount = 0; //!< 0 until the first node has joined
    std::vector<Member> members;
    std::map<core::PartitionId, PartitionRow> partitions;
    std::map<core::PartitionId, SlotsRow> slots;
    ConfigRow config;
    ActiveRow active;

    const Member* find(const NodeIncarnation& run) const;
    const Member* find(const core::NodeId& node) const;
    std::map<core::PartitionId, core::Epoch> epochs() const;
};

struct MembershipTimes {
    core::Duration look = std::chrono::milliseconds(500); //!< between two readings of the rows
    core::Duration renew = std::chrono::milliseconds(500);
    core::Duration lease = std::chrono::seconds(2); //!< of a member
    core::Duration margin = std::chrono::milliseconds(500); //!< for clocks that run at different rates
    core::Duration slotsLease = std::chrono::hours(2); //!< how long shares of slots are used without the store
    core::Duration longestRequest = std::chrono::seconds(30); //!< to a runner; it may go on after its node has ended
};

} // namespace sardinerun::membership

#pragma once

#include "core/types.h"
#include "services/servicestypes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

//! Membership: the live nodes, the owners of partitions, the holders of shares of the runners' slots, and the
//! configuration in force. All of it is stored in a few rows of the platform's table.
namespace sardinerun::membership {

//! One incarnation of a node: a run of its process until it ends or loses its membership.
struct NodeIncarnation {
    core::NodeId node;
    core::Incarnation incarnation;
    auto operator<=>(const NodeIncarnation&) const = default;
    bool isNone() const { return node.value().empty(); }
};

struct Member {
    NodeIncarnation identity;
    core::HostPort address; //!< for other nodes
    core::FailureDomainId failureDomain;
    core::ConfigVersion confirmed; //!< newest configuration for which all older ones are drained
    bool isLeaving = false;
    core::RowVersion row;
    core::WriteId writeId;
};

struct PartitionRow {
    NodeIncarnation owner; //!< none after a hand-over
    core::Epoch epoch;
    std::vector<NodeIncarnation> formerOwners; //!< not known to have ended; may still communicate with workers
    core::RowVersion row;
};

//! The holder of a partition's share of every runner's slots. The share moves later than the partition, since runners
//! do not check epochs.
struct SlotsRow {
    NodeIncarnation holder; //!< none after a release
    core::HostPort address; //!< address for probing whether the holder still runs
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

//! All rows of the cell, as read by one refresh.
struct CellView {
    std::uint32_t partitionCount = 0; //!< 0 until the first node has joined
    std::vector<Member> members;
    std::map<core::PartitionId, PartitionRow> partitions;
    std::map<core::PartitionId, SlotsRow> slots;
    ConfigRow config;
    ActiveRow active;

    const Member* find(const NodeIncarnation& identity) const;
    const Member* find(const core::NodeId& node) const;
    std::map<core::PartitionId, core::Epoch> epochs() const;
};

struct MembershipTimes {
    core::Duration refreshInterval = std::chrono::milliseconds(500); //!< time between two refreshes
    core::Duration renewInterval = std::chrono::milliseconds(500); //!< time between two lease renewals
    core::Duration lease = std::chrono::seconds(2); //!< time from a renewal to the expiry of a membership
    core::Duration margin = std::chrono::milliseconds(500); //!< allowance for clocks that run at different rates
    core::Duration slotsLease = std::chrono::hours(2); //!< time for which shares of slots may be used without the store
    core::Duration maxRequestTime = std::chrono::seconds(30); //!< of a runner request; it may outlive its node
};

} // namespace sardinerun::membership

#pragma once

#include "configuration/configuration.h"
#include "membership/membership.h"
#include "membership/membershiptypes.h"
#include "partition/partition.h"
#include "protocol/messages.h"
#include "runtime/task.h"

#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

//! A node: the tasks that run the decisions, and the messages between them.
//!
//! The cell task keeps the membership and tells all others the news. The partitions task owns the partitions' machines.
//! The peers task owns the links to other nodes and knows where each message goes.
namespace sardinerun::node {

//! All that the cell task knows, as told to the other tasks. The parts are shared and never change.
struct CellUpdate {
    membership::MemberState memberState;
    std::shared_ptr<const membership::CellView> view;
    std::shared_ptr<const configuration::Configuration> configuration; //!< in force, or the last that was
    configuration::Preset acting; //!< in force until memberState.leaseValidUntil, if memberState.activeConfig is not 0
    configuration::Preset between;
    std::shared_ptr<const std::vector<services::VmInfo>> vms; //!< null until the list was read
    std::set<core::PartitionId> handingOver;
    std::set<core::PartitionId> releasing;
    std::set<core::PartitionId> formerOwnersGone; //!< owned partitions whose former owners have all ended
    bool isStoreUp = false;
};
using CellUpdatePtr = std::shared_ptr<const CellUpdate>;

//! The tasks that act under a preset, and must have stopped before a newer one is confirmed.
enum class ConfigUser { Partitions, Router };

enum class ConfigureOutcome {
    Accepted,
    Conflict, //!< another version than expected; nothing was changed
    Invalid, //!< the document or the preset's name is wrong; nothing was changed
    StoreDown, //!< nothing was changed
    Unknown //!< it may have been accepted
};

struct ConfigureResult {
    ConfigureOutcome outcome = ConfigureOutcome::Unknown;
    core::ConfigVersion version; //!< accepted, or the one that won
    std::string detail;
};

//! An operator changes the configuration or the preset.
struct Configure {
    std::optional<core::ConfigVersion> expected; //!< nothing: whatever is there
    std::optional<core::PresetName> preset;
    std::optional<std::string> document;
    runtime::Reply<ConfigureResult> reply;
};

struct OlderConfigsDrained {
    ConfigUser task;
    core::ConfigVersion under; //!< it acts under no version older than this
};

struct PartitionQuiescent {
    core::PartitionId id;
    bool isRecovered = false;
};

struct SlotsIdle {
    core::PartitionId id;
};

//! An operator vouches that a run of a node has ended.
struct ForgetNode {
    core::NodeId node;
};

struct RefreshNow { };
struct Leave { };

using CellMessage
    = std::variant<Configure, OlderConfigsDrained, PartitionQuiescent, SlotsIdle, ForgetNode, RefreshNow, Leave>;

//! A message for a partition of this node.
struct MessageToPartition {
    core::PartitionId id;
    protocol::Message message;
};

struct ReadPartitions {
    runtime::Reply<std::vector<partition::PartitionView>> reply;
};

using PartitionsMessage = std::variant<MessageToPartition, CellUpdatePtr, ReadPartitions, protocol::RoomHint>;

//! A message on its way to a partition or node, from this node.
struct Outgoing {
    protocol::Envelope envelope;
};

//! A batch of messages from another node.
struct Incoming {
    membership::NodeIncarnation from;
    std::uint64_t firstSequence = 0;
    std::vector<protocol::Envelope> envelopes;
};

using PeersMessage = std::variant<Outgoing, Incoming, CellUpdatePtr>;

//! An answer for a task of this node that asked a partition.
using AnswerMessage = protocol::Message;

} // namespace sardinerun::node

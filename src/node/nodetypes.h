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

//! The tasks of a node and the messages between them.
//!
//! The cell task maintains the membership and publishes updates to the other tasks. The partitions task owns the state
//! machines of the partitions. The peers task owns the links to other nodes and routes messages.
namespace sardinerun::node {

//! Snapshot of the cell's state that the cell task publishes to the other tasks. The shared parts are immutable.
struct CellUpdate {
    membership::MemberState memberState;
    std::shared_ptr<const membership::CellView> view;
    std::shared_ptr<const configuration::Configuration> configuration; //!< in force now, or most recently
    //! In force until memberState.leaseValidUntil, if memberState.activeConfig is not 0.
    configuration::Preset activePreset;
    configuration::Preset transitionPreset; //!< applies while activePreset is not in force
    std::shared_ptr<const std::vector<services::VmInfo>> vms; //!< null until the list has been read
    std::set<core::PartitionId> handingOver;
    std::set<core::PartitionId> releasing;
    std::set<core::PartitionId> formerOwnersGone; //!< owned partitions all of whose former owners have ended
    bool isStoreUp = false;
};
using CellUpdatePtr = std::shared_ptr<const CellUpdate>;

//! The tasks that apply a preset. Each must have stopped applying older presets before a newer one is confirmed.
enum class ConfigUser { Partitions, Router };

enum class ConfigureOutcome {
    Accepted,
    Conflict, //!< the current version is not the expected one; nothing was changed
    Invalid, //!< the document or the preset name is invalid; nothing was changed
    StoreDown, //!< the store did not answer or its rows were unreadable; nothing was changed
    Unknown //!< the change may have been accepted
};

struct ConfigureResult {
    ConfigureOutcome outcome = ConfigureOutcome::Unknown;
    core::ConfigVersion version; //!< the accepted version, or the current one after a conflict
    std::string detail;
};

//! An operator's request to change the configuration document or the preset.
struct Configure {
    std::optional<core::ConfigVersion> expected; //!< empty: any version
    std::optional<core::PresetName> preset;
    std::optional<std::string> document;
    runtime::Reply<ConfigureResult> reply;
};

//! Reports that a task no longer applies configurations older than a version.
struct OlderConfigsDrained {
    ConfigUser task;
    core::ConfigVersion oldestInUse;
};

//! The state machine of a partition is quiescent, so the partition can be handed over.
struct PartitionQuiescent {
    core::PartitionId id;
    bool isRecovered = false;
};

//! No request needs this share of the runners' slots any more, so the share can be released.
struct SlotsIdle {
    core::PartitionId id;
};

//! An operator confirms that the former incarnations of a node have ended.
struct ForgetNode {
    core::NodeId node;
};

//! Reads the rows of the cell again without waiting for the next refresh.
struct RefreshNow { };
//! Starts to leave the cell.
struct Leave { };

using CellMessage
    = std::variant<Configure, OlderConfigsDrained, PartitionQuiescent, SlotsIdle, ForgetNode, RefreshNow, Leave>;

//! A message for a partition that this node owns.
struct MessageToPartition {
    core::PartitionId id;
    protocol::Message message;
};

struct ReadPartitions {
    runtime::Reply<std::vector<partition::PartitionView>> reply;
};

using PartitionsMessage = std::variant<MessageToPartition, CellUpdatePtr, ReadPartitions, protocol::RoomHint>;

//! A message from this node to a partition or a node.
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

//! The answer of a partition to a request of this node.
using AnswerMessage = protocol::Message;

} // namespace sardinerun::node

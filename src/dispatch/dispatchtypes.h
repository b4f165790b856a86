#pragma once

#include "lead/leadtypes.h"
#include "protocol/workcodec.h"
#include "runtime/task.h"
#include "workflow/workflowtypes.h"

#include <optional>
#include <variant>

//! The tasks of a node that dispatches workflows, and the messages between them.
//!
//! The leader task takes part in the election and runs the engine while this node leads. The call forwarder sends
//! callers' requests to the leader, on this node or another one. The advice proxy sends the leader's advice requests to
//! the advice service.
namespace sardinerun::dispatch {

//! The leader that this node has recorded; nothing if none is known.
struct LeaderUpdate {
    std::optional<lead::LeaderRow> leader;
    bool isSelf = false;
};

//! A caller's request to the leader.
struct LeaderCall {
    workflow::WorkflowCall call;
    runtime::Reply<workflow::WorkflowResult> reply;
};

//! Returns a reply to a call. If the leadership ends before the answer, the call's outcome is uncertain.
runtime::Reply<workflow::WorkflowResult> callReply(
    const runtime::ILoopPtr& loop, std::function<void(workflow::WorkflowResult)> function);

//! A node asks the leader for an advice request to carry out, and may bring the result of the last one.
struct PollAdvice {
    protocol::AdvicePoll poll;
    runtime::Reply<protocol::AdviceAssignment> reply;
};

//! Releases the leadership if this node has it, and stops taking part in elections.
struct StepDown {
    runtime::Reply<bool> reply;
};

//! Another node asks which leader this node has recorded. If the requester leads in a later term, this node's
//! leadership ends.
struct LeaderQuery {
    std::optional<lead::LeaderRow> requester; //!< set if the requester leads
    bool isRejectedByStore = false; //!< the requester invites others to take over
    runtime::Reply<protocol::LeaderHint> reply;
};

//! Nodes that may know the leader while the store cannot be read.
struct KnownNodes {
    std::vector<core::HostPort> nodes;
    core::MilliCpu largestVmCpu; //!< of the VMs of these nodes without the leader; 0: unknown
};

//! The known leader does not answer or no longer leads; or, with `isSuspected` false, it answers again.
struct LeaderSuspected {
    core::Epoch term;
    bool isSuspected = true;
};

//! Another node asks for the newest configuration.
struct ConfigRequest {
    protocol::ConfigQuery query;
    runtime::Reply<protocol::ConfigAnswer> reply;
};

using LeaderMessage = std::variant<LeaderCall, PollAdvice, workflow::QueueConfigPtr, StepDown, LeaderQuery, KnownNodes,
    LeaderSuspected>;
using ForwarderMessage = std::variant<LeaderCall, LeaderUpdate>;
using ConfigMessage = std::variant<LeaderUpdate, KnownNodes, ConfigRequest>;

} // namespace sardinerun::dispatch

#pragma once

#include "lead/leadtypes.h"
#include "protocol/workcodec.h"
#include "runtime/task.h"
#include "workflow/workflowtypes.h"

#include <optional>
#include <variant>

//! The tasks of a node that dispatches workflows, and the messages between them.
//!
//! The leader task takes part in the election and runs the engine while this node leads. The call forwarder brings
//! callers' questions to the leader, here or on another node. The advice proxy carries questions to the advice service
//! for it.
namespace sardinerun::dispatch {

//! Who leads, as far as this node knows.
struct LeaderUpdate {
    std::optional<lead::LeaderRow> leader;
    bool isSelf = false;
};

//! A caller's question for the leader.
struct LeaderCall {
    workflow::WorkflowCall call;
    runtime::Reply<workflow::WorkflowResult> reply;
};

//! A node offers its turn at the advice service.
struct PollAdvice {
    protocol::AdvicePoll turn;
    runtime::Reply<protocol::AdviceAssignment> reply;
};

//! Gives a leadership of this node back, and takes none any more.
struct StepDown {
    runtime::Reply<bool> reply;
};

//! Another node asks what this one knows of the leadership. When it says that it has won a later term, a leadership of
//! this node is over.
struct LeaderQuery {
    std::optional<lead::LeaderRow> requester; //!< when the requester leads
    bool isRejectedByStore = false; //!< the requester wants to be followed
    runtime::Reply<protocol::LeaderHint> reply;
};

//! Nodes that may know the leader when the store does not tell.
struct KnownNodes {
    std::vector<core::HostPort> nodes;
};

//! The known leader does not answer, or says that it does not lead; or it answers again.
struct LeaderSuspected {
    core::Epoch term;
    bool isSuspected = true;
};

using LeaderMessage = std::variant<LeaderCall, PollAdvice, workflow::QueueConfigPtr, StepDown, LeaderQuery, KnownNodes,
    LeaderSuspected>;
using ForwarderMessage = std::variant<LeaderCall, LeaderUpdate>;

} // namespace sardinerun::dispatch

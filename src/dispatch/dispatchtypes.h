#pragma once

#include "lead/leadtypes.h"
#include "protocol/workcodec.h"
#include "runtime/task.h"
#include "workflow/workflowtypes.h"

#include <optional>
#include <variant>

//! The tasks of a node that dispatches workflows, and the messages between them.
//!
//! The lead task takes part in the election and runs the engine while this node leads. The work desk brings callers'
//! questions to the leader, here or on another node. The lender carries questions to the advice service for it.
namespace sardinerun::dispatch {

//! Who leads, as far as this node knows.
struct LeaderNews {
    std::optional<lead::LeaderRow> leader;
    bool isSelf = false;
};

//! A caller's question for the leader.
struct AskWork {
    workflow::WorkCall call;
    runtime::Reply<workflow::WorkAnswer> reply;
};

//! A node offers its turn at the advice service.
struct OfferTurn {
    protocol::LendTurn turn;
    runtime::Reply<protocol::LentTurn> reply;
};

//! Gives a leadership of this node back, and takes none any more.
struct Retire {
    runtime::Reply<bool> reply;
};

//! Another node asks what this one knows of the leadership. When it says that it has won a later term, a leadership of
//! this node is over.
struct AskLeader {
    std::optional<lead::LeaderRow> asker; //!< when the asker leads
    bool isTurnedAway = false; //!< the asker wants to be followed
    runtime::Reply<protocol::LeaderHint> reply;
};

//! Nodes that may know the leader when the store does not tell.
struct NodesSeen {
    std::vector<core::HostPort> nodes;
};

//! The known leader does not answer, or says that it does not lead; or it answers again.
struct LeaderDoubted {
    core::Epoch term;
    bool isDoubted = true;
};

using LeadMessage
    = std::variant<AskWork, OfferTurn, workflow::QueueConfigPtr, Retire, AskLeader, NodesSeen, LeaderDoubted>;
using DeskMessage = std::variant<AskWork, LeaderNews>;

} // namespace sardinerun::dispatch

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

//! Another node has won a term; a leadership of an earlier one is over.
struct TermSeen {
    core::Epoch term;
    runtime::Reply<bool> leads; //!< whether this node still leads
};

using LeadMessage = std::variant<AskWork, OfferTurn, workflow::QueueConfigPtr, Retire, TermSeen>;
using DeskMessage = std::variant<AskWork, LeaderNews>;

} // namespace sardinerun::dispatch

#pragma once

#include "fleet/fleettypes.h"
#include "lead/leadtypes.h"
#include "workflow/workflowtypes.h"

#include <optional>
#include <string>
#include <string_view>

//! What nodes ask the leader: calls about workflows, and turns at the advice service. Decoders throw
//! codec::DecodeError.
namespace sardinerun::protocol {

extern const char* const workCallPath; //!< a call about a workflow
extern const char* const lendPath; //!< a node offers its turn at the advice service
extern const char* const leadingPath; //!< whether this node leads, and whom it knows to lead

//! What a node knows of the leadership, for others that cannot read it from the store.
struct LeaderHint {
    bool isLeading = false;
    bool isTurnedAway = false; //!< the sender leads, and asks to be followed, since the store does not serve it
    std::optional<lead::LeaderRow> leader;
};

//! A node brings the answer to the question that it carried, and offers to carry the next one.
struct LendTurn {
    core::NodeId node;
    core::HostPort address; //!< of the node, for others
    core::Epoch term; //!< of the leader that the node knows
    std::uint64_t question = 0; //!< answered by `result`; 0: none
    std::optional<fleet::AdviceResult> result;
};

//! A question to carry; number 0 when there is none for now.
struct LentTurn {
    std::uint64_t question = 0;
    fleet::AdviceQuestion asked;
    std::vector<core::HostPort> nodes; //!< that have lately lent a turn; told with some answers only
};

std::string encodeCall(const workflow::WorkCall& it);
workflow::WorkCall decodeCall(std::string_view text);
std::string encodeAnswer(const workflow::WorkAnswer& it);
workflow::WorkAnswer decodeAnswer(std::string_view text);
std::string encodeLend(const LendTurn& it);
LendTurn decodeLend(std::string_view text);
std::string encodeLent(const LentTurn& it);
LentTurn decodeLent(std::string_view text);
std::string encodeHint(const LeaderHint& it);
LeaderHint decodeHint(std::string_view text);

} // namespace sardinerun::protocol

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

extern const char* const workflowCallPath; //!< a call about a workflow
extern const char* const advicePollPath; //!< a node offers its turn at the advice service
extern const char* const leaderQueryPath; //!< whether this node leads, and whom it knows to lead

//! What a node knows of the leadership, for others that cannot read it from the store.
struct LeaderHint {
    bool isLeading = false;
    bool isRejectedByStore = false; //!< the sender leads, and asks to be followed, since the store does not serve it
    std::optional<lead::LeaderRow> leader;
};

//! A node brings the answer to the question that it carried, and offers to carry the next one.
struct AdvicePoll {
    core::NodeId node;
    core::HostPort address; //!< of the node, for others
    core::Epoch term; //!< of the leader that the node knows
    std::uint64_t question = 0; //!< answered by `result`; 0: none
    std::optional<fleet::AdviceResult> result;
};

//! A question to carry; number 0 when there is none for now.
struct AdviceAssignment {
    std::uint64_t question = 0;
    fleet::AdviceRequest asked;
    std::vector<core::HostPort> nodes; //!< that have lately lent a turn; told with some answers only
};

std::string encodeCall(const workflow::WorkflowCall& it);
workflow::WorkflowCall decodeCall(std::string_view text);
std::string encodeAnswer(const workflow::WorkflowResult& it);
workflow::WorkflowResult decodeAnswer(std::string_view text);
std::string encodeAdvicePoll(const AdvicePoll& it);
AdvicePoll decodeAdvicePoll(std::string_view text);
std::string encodeAdviceAssignment(const AdviceAssignment& it);
AdviceAssignment decodeAdviceAssignment(std::string_view text);
std::string encodeLeaderHint(const LeaderHint& it);
LeaderHint decodeLeaderHint(std::string_view text);

} // namespace sardinerun::protocol

#pragma once

#include "fleet/fleettypes.h"
#include "lead/leadtypes.h"
#include "workflow/workflowtypes.h"

#include <optional>
#include <string>
#include <string_view>

//! Messages between nodes and the leader: workflow calls, advice requests that nodes send to the advice service for the
//! leader, and leadership queries. Decoders throw codec::DecodeError.
namespace sardinerun::protocol {

extern const char* const workflowCallPath; //!< carries a WorkflowCall
extern const char* const advicePollPath; //!< carries an AdvicePoll
extern const char* const configQueryPath; //!< carries a ConfigQuery, returns a ConfigAnswer
extern const char* const leaderQueryPath; //!< returns the LeaderHint of a node

//! The leader that a node has recorded, for nodes that cannot read it from the store.
struct LeaderHint {
    bool isLeading = false;
    bool isRejectedByStore = false; //!< the sender leads but the store rejects it, so it asks others to follow it
    std::optional<lead::LeaderRow> leader;
};

//! Returns the result of a node's last advice request to the leader and asks for the next request.
struct AdvicePoll {
    core::NodeId node;
    core::HostPort address; //!< of the node, as other nodes reach it
    core::Epoch term; //!< of the leader that the node follows
    std::uint64_t requestId = 0; //!< the request that `result` answers; 0 for none
    std::optional<fleet::AdviceResult> result;
    core::MilliCpu vmCpu; //!< of the node's VM; 0: unknown
};

//! An advice request for the node to send to the advice service; `requestId` is 0 if there is none for now.
struct AdviceAssignment {
    std::uint64_t requestId = 0;
    fleet::AdviceRequest request;
    std::vector<core::HostPort> nodes; //!< nodes that have polled recently; only filled in some answers
    core::MilliCpu largestVmCpu; //!< of the VMs of these nodes without the leader; 0: unknown
};

//! A node that cannot read the configuration from its source asks another node for it.
struct ConfigQuery {
    core::ConfigVersion knownVersion; //!< newest one that the asking node knows
};

//! The newest configuration that a node knows.
struct ConfigAnswer {
    core::ConfigVersion version;
    std::string document; //!< empty unless it is newer than the version that the asking node knows
    //! Time since the answering node knew this version to be the newest one; nothing: it never did.
    std::optional<core::Duration> confirmedAge;
};

std::string encodeCall(const workflow::WorkflowCall& it);
workflow::WorkflowCall decodeCall(std::string_view text);
std::string encodeResult(const workflow::WorkflowResult& it);
workflow::WorkflowResult decodeResult(std::string_view text);
std::string encodeAdvicePoll(const AdvicePoll& it);
AdvicePoll decodeAdvicePoll(std::string_view text);
std::string encodeAdviceAssignment(const AdviceAssignment& it);
AdviceAssignment decodeAdviceAssignment(std::string_view text);
std::string encodeConfigQuery(const ConfigQuery& it);
ConfigQuery decodeConfigQuery(std::string_view text);
std::string encodeConfigAnswer(const ConfigAnswer& it);
ConfigAnswer decodeConfigAnswer(std::string_view text);
std::string encodeLeaderHint(const LeaderHint& it);
LeaderHint decodeLeaderHint(std::string_view text);

} // namespace sardinerun::protocol

#pragma once

#include "node/nodetypes.h"
#include "routing/irouter.h"
#include "telemetry/metrics.h"

#include <functional>
#include <map>
#include <optional>

namespace sardinerun::node {

class PartitionClient;
using PartitionClientPtr = std::shared_ptr<PartitionClient>;

//! Sends requests to partitions on behalf of callers and matches each answer with its request.
//!
//! A task of the loop that serves callers. An answer that matches no pending request is dropped and counted.
class PartitionClient : public runtime::Task<AnswerMessage> {
public:
    using Send = std::function<void(protocol::Envelope)>;
    //! Receives the answer, or nothing after a timeout.
    using Answered = std::function<void(std::optional<protocol::Message>)>;
    using MakeMessage = std::function<protocol::Message(const protocol::Requester&)>;

    static PartitionClientPtr create(
        runtime::ILoopPtr loop, core::NodeId self, telemetry::MetricsPtr metrics, Send send);
    PartitionClient(runtime::ILoopPtr loop, core::NodeId self, telemetry::MetricsPtr metrics, Send send);

    //! Sends the request once. The callback runs exactly once.
    void ask(core::PartitionId to, const MakeMessage& make, core::Duration timeout, Answered callback);
    //! Sends the request repeatedly until an answer arrives or the timeout expires. The callback runs exactly once.
    void askUntilAnswered(core::PartitionId to, const MakeMessage& make, core::Duration timeout, Answered callback);
    void receive(AnswerMessage message) override;

private:
    struct PendingRequest {
        Answered callback;
        protocol::Envelope requestEnvelope; //!< resent if isRepeated
        bool isRepeated = false;
        core::TimePoint deadline;
    };
    protocol::Token startRequest(
        core::PartitionId to, const MakeMessage& make, core::Duration timeout, bool isRepeated, Answered callback);
    void checkDeadlines();

    core::NodeId m_self;
    telemetry::MetricsPtr m_metrics;
    Send m_send;
    std::map<protocol::Token, PendingRequest> m_pendingRequests;
    std::uint64_t m_lastToken;
    int m_checks = 0;
};

//! Creates a client that sends claims through a partition client on the same loop. `partitionCount` is called for each
//! claim and returns 0 while the number is unknown.
routing::IClaimClientPtr createClaimClient(
    runtime::ILoopPtr loop, PartitionClientPtr client, std::function<std::uint32_t()> partitionCount);

} // namespace sardinerun::node

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

//! Asks partitions on behalf of callers, and matches each answer with its question.
//!
//! A task of the loop that serves callers. An answer to no open question is dropped and counted.
class PartitionClient : public runtime::Task<AnswerMessage> {
public:
    using Send = std::function<void(protocol::Envelope)>;
    //! Nothing when no answer came in time.
    using Answered = std::function<void(std::optional<protocol::Message>)>;
    using MakeMessage = std::function<protocol::Message(const protocol::Requester&)>;

    static PartitionClientPtr create(
        runtime::ILoopPtr loop, core::NodeId self, telemetry::MetricsPtr metrics, Send send);
    PartitionClient(runtime::ILoopPtr loop, core::NodeId self, telemetry::MetricsPtr metrics, Send send);

    //! Asks once; the callback comes once.
    void ask(core::PartitionId to, const MakeMessage& make, core::Duration timeout, Answered callback);
    //! Asks again and again until an answer has come or the time is over.
    void askUntilAnswered(core::PartitionId to, const MakeMessage& make, core::Duration timeout, Answered callback);
    void receive(AnswerMessage message) override;

private:
    struct Open {
        Answered callback;
        protocol::Envelope again; //!< sent again when it has a message
        bool isRepeated = false;
        core::TimePoint until;
    };
    protocol::Token open(
        core::PartitionId to, const MakeMessage& make, core::Duration timeout, bool isRepeated, Answered callback);
    void checkTimes();

    core::NodeId m_self;
    telemetry::MetricsPtr m_metrics;
    Send m_send;
    std::map<protocol::Token, Open> m_open;
    std::uint64_t m_lastToken;
    int m_checks = 0;
};

//! Claims through a partition client on the same loop. `partitionCount` is asked for at each claim; 0 while unknown.
routing::IClaimClientPtr createClaimClient(
    runtime::ILoopPtr loop, PartitionClientPtr client, std::function<std::uint32_t()> partitionCount);

} // namespace sardinerun::node

#pragma once

#include "node/tasks.h"

#include <deque>

namespace sardinerun::node {

//! Routes messages to partitions and nodes. Owns the links to other nodes.
//!
//! A link sends one batch at a time and resends it until it is received, so messages arrive in order and at most once
//! while both ends run. Messages queued for an incarnation that is gone are dropped; their senders resend them.
class PeersTask : public runtime::Task<PeersMessage>, public ITask<PeersMessage> {
public:
    PeersTask(runtime::ILoopPtr loop, http::IHttpClientPtr client, std::string secret, telemetry::MetricsPtr metrics,
        PeersHooks hooks);
    void start() override;
    runtime::Address<PeersMessage> taskAddress() override { return address(); }
    void receive(PeersMessage message) override;

private:
    struct Link {
        membership::NodeIncarnation to;
        core::HostPort address;
        std::deque<protocol::Envelope> queue;
        std::uint64_t firstSequence = 1; //!< sequence number of the queue's front
        std::size_t inFlight = 0; //!< number of messages in the unanswered batch
        core::TimePoint notBefore {}; //!< earliest time of the next batch
    };

    void on(Outgoing& message);
    void on(Incoming& message);
    void on(CellUpdatePtr& update);
    void deliver(protocol::Envelope& envelope);
    void deliverToNode(protocol::Message& message);
    void sendTo(const membership::NodeIncarnation& peer, protocol::Envelope envelope);
    void sendNextBatch(Link& link);
    void onBatchDone(const core::NodeId& node, const membership::NodeIncarnation& to, bool isReceived);

    http::IHttpClientPtr m_client;
    std::string m_secret;
    telemetry::MetricsPtr m_metrics;
    PeersHooks m_hooks;
    CellUpdatePtr m_update;
    std::map<core::NodeId, Link> m_links;
    //! Newest sequence number received from each incarnation.
    std::map<membership::NodeIncarnation, std::uint64_t> m_received;
};

} // namespace sardinerun::node

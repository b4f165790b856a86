#pragma once

#include "node/tasks.h"

#include <deque>

namespace sardinerun::node {

//! Knows where each message goes. Owns the links to other nodes.
//!
//! A link sends one batch at a time and sends it again until it is taken, so messages arrive in order and at most
//! once while both ends live. What waits for a run that is gone is dropped; its sender asks again.
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
        std::uint64_t firstSequence = 1; //!< of the queue's front
        std::size_t inFlight = 0; //!< messages of the batch that has no answer yet
        core::TimePoint notBefore {};
    };

    void on(Outgoing& message);
    void on(Incoming& message);
    void on(CellUpdatePtr& news);
    void deliver(protocol::Envelope& envelope);
    void deliverToNode(protocol::Message& message);
    void sendTo(const membership::NodeIncarnation& run, protocol::Envelope envelope);
    void pump(Link& link);
    void onBatchDone(const core::NodeId& node, const membership::NodeIncarnation& to, bool isTaken);

    http::IHttpClientPtr m_client;
    std::string m_secret;
    telemetry::MetricsPtr m_metrics;
    PeersHooks m_hooks;
    CellUpdatePtr m_news;
    std::map<core::NodeId, Link> m_links;
    std::map<membership::NodeIncarnation, std::uint64_t> m_received; //!< newest sequence taken from each run
};

} // namespace sardinerun::node

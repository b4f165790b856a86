#include "node/internal/peerstask.h"

#include "codec/json.h"
#include "core/numbers.h"
#include "protocol/messagecodec.h"
#include "protocol/rpccodec.h"
#include "telemetry/log.h"

#include <algorithm>
#include <openssl/crypto.h>

namespace sardinerun::node {

namespace {

// Headers of a batch request.
constexpr const char* fromNodeHeader = "x-sardinerun-node";
constexpr const char* fromIncarnationHeader = "x-sardinerun-incarnation";
constexpr const char* sequenceHeader = "x-sardinerun-sequence";

constexpr std::size_t maxBatch = 500;
constexpr std::uint64_t maxSequence = INT64_MAX;
constexpr std::size_t maxQueue = 50'000;
constexpr std::size_t maxKnownIncarnations = 1000;
constexpr core::Duration sendTimeout = std::chrono::seconds(2);
constexpr core::Duration retryDelay = std::chrono::milliseconds(100);
constexpr core::Duration sendCheckPeriod = std::chrono::milliseconds(50);

bool isAuthorized(std::string_view presented, const std::string& secret)
{
    const std::string expected = "Bearer " + secret;
    return presented.size() == expected.size()
        && CRYPTO_memcmp(presented.data(), expected.data(), expected.size()) == 0;
}

std::string headerOr(const http::Request& request, const char* name)
{
    return std::string(http::findHeader(request.headers, name).value_or(""));
}

} // namespace

PeersTask::PeersTask(runtime::ILoopPtr loop, http::IHttpClientPtr client, std::string secret,
    telemetry::MetricsPtr metrics, PeersHooks hooks)
    : Task(std::move(loop))
    , m_client(std::move(client))
    , m_secret(std::move(secret))
    , m_metrics(std::move(metrics))
    , m_hooks(std::move(hooks))
    , m_update(std::make_shared<CellUpdate>())
{
}

void PeersTask::start()
{
    every(sendCheckPeriod, [this] {
        for (auto& [node, link] : m_links)
            sendNextBatch(link);
    });
}

void PeersTask::receive(PeersMessage message)
{
    std::visit([this](auto& it) { on(it); }, message);
}

void PeersTask::on(CellUpdatePtr& update)
{
    m_update = update;
    if (!m_update->view)
        return;
    if (m_received.size() > maxKnownIncarnations)
        std::erase_if(m_received, [this](const auto& it) { return !m_update->view->find(it.first); });
    std::erase_if(m_links, [this](const auto& it) { return !m_update->view->find(it.second.to); });
    for (const membership::Member& it : m_update->view->members) {
        Link& link = m_links[it.identity.node];
        if (link.to != it.identity)
            link = Link { it.identity, it.address };
    }
}

void PeersTask::on(Outgoing& message)
{
    protocol::Envelope& envelope = message.envelope;
    if (!m_update->view)
        return;
    if (const auto* node = std::get_if<core::NodeId>(&envelope.to)) {
        if (*node == m_update->memberState.self.node)
            deliverToNode(envelope.message);
        else if (const membership::Member* member = m_update->view->find(*node))
            sendTo(member->identity, std::move(envelope));
        return;
    }
    const auto row = m_update->view->partitions.find(std::get<core::PartitionId>(envelope.to));
    if (row == m_update->view->partitions.end() || row->second.owner.isNone())
        return;
    if (row->second.owner == m_update->memberState.self)
        m_hooks.toPartition(row->first, std::move(envelope.message));
    else
        sendTo(row->second.owner, std::move(envelope));
}

void PeersTask::on(Incoming& message)
{
    std::uint64_t& newest = m_received[message.from];
    std::uint64_t sequence = message.firstSequence;
    for (protocol::Envelope& it : message.envelopes) {
        // Skips messages that were already received: the sender resends a batch when the answer was lost.
        if (sequence > newest) {
            newest = sequence;
            deliver(it);
        }
        ++sequence;
    }
}

void PeersTask::deliver(protocol::Envelope& envelope)
{
    if (const auto* partition = std::get_if<core::PartitionId>(&envelope.to))
        m_hooks.toPartition(*partition, std::move(envelope.message));
    else if (std::get<core::NodeId>(envelope.to) == m_update->memberState.self.node)
        deliverToNode(envelope.message);
}

void PeersTask::deliverToNode(protocol::Message& message)
{
    if (auto* hint = std::get_if<protocol::RoomHint>(&message))
        m_hooks.toHints(*hint);
    else if (std::holds_alternative<protocol::RefreshNow>(message))
        m_hooks.refreshNow();
    else
        m_hooks.toRequester(std::move(message));
}

void PeersTask::sendTo(const membership::NodeIncarnation& peer, protocol::Envelope envelope)
{
    const auto it = m_links.find(peer.node);
    if (it == m_links.end() || it->second.to != peer || it->second.queue.size() >= maxQueue)
        return;
    it->second.queue.push_back(std::move(envelope));
    sendNextBatch(it->second);
}

void PeersTask::sendNextBatch(Link& link)
{
    if (link.inFlight > 0 || link.queue.empty() || now() < link.notBefore)
        return;
    link.inFlight = std::min(link.queue.size(), maxBatch);
    std::vector<protocol::RpcCall> calls;
    for (std::size_t n = 0; n < link.inFlight; ++n)
        calls.push_back({ protocol::methodOf(link.queue[n].message), protocol::encodeParams(link.queue[n]) });
    http::ClientRequest request;
    request.to = link.address;
    request.method = "POST";
    request.target = "/inner/messages";
    request.headers
        = { { "authorization", "Bearer " + m_secret }, { fromNodeHeader, m_update->memberState.self.node.value() },
              { fromIncarnationHeader, m_update->memberState.self.incarnation.value() },
              { sequenceHeader, std::to_string(link.firstSequence) } };
    request.body = protocol::encodeBatch(calls);
    request.timeout = sendTimeout;
    m_metrics->add(telemetry::Metric::InnerMessages, { { "direction", "out" } }, double(link.inFlight));
    m_metrics->add(telemetry::Metric::InnerBytes, { { "direction", "out" } }, double(request.body.size()));
    auto self = weak_from_this();
    m_client->send(std::move(request), [this, self, to = link.to](const http::ClientResult& result) {
        // A batch that the receiver cannot read (400) is dropped: resending it would block all later messages.
        const bool isReceived = result && (result.value().status == 200 || result.value().status == 400);
        if (auto task = self.lock())
            onBatchDone(to.node, to, isReceived);
    });
}

void PeersTask::onBatchDone(const core::NodeId& node, const membership::NodeIncarnation& to, bool isReceived)
{
    const auto it = m_links.find(node);
    if (it == m_links.end() || it->second.to != to)
        return;
    Link& link = it->second;
    if (isReceived) {
        link.queue.erase(link.queue.begin(), link.queue.begin() + static_cast<std::ptrdiff_t>(link.inFlight));
        link.firstSequence += link.inFlight;
    } else {
        link.notBefore = now() + retryDelay;
    }
    link.inFlight = 0;
    sendNextBatch(link);
}

BatchRead readBatch(const http::Request& request, const std::string& secret)
{
    if (!isAuthorized(headerOr(request, "authorization"), secret))
        return { 401, std::nullopt };
    Incoming incoming;
    incoming.from = { core::NodeId(headerOr(request, fromNodeHeader)),
        core::Incarnation(headerOr(request, fromIncarnationHeader)) };
    const auto sequence = core::parseUnsigned(headerOr(request, sequenceHeader), maxSequence);
    if (!sequence || incoming.from.isNone())
        return { 400, std::nullopt };
    incoming.firstSequence = *sequence;
    try {
        for (const protocol::RpcCall& it : protocol::decodeBatch(request.body, protocol::allMethods()))
            incoming.envelopes.push_back(protocol::decodeParams(it.method, it.params));
    } catch (const protocol::RpcError& it) {
        telemetry::LogLine(telemetry::Severity::Error, "innerMessageRefused").with("detail", it.what());
        return { 400, std::nullopt };
    } catch (const codec::DecodeError& it) {
        telemetry::LogLine(telemetry::Severity::Error, "innerMessageRefused").with("detail", it.what());
        return { 400, std::nullopt };
    }
    return { 200, std::move(incoming) };
}

IPeersTaskPtr createPeersTask(runtime::ILoopPtr loop, http::IHttpClientPtr client, std::string secret,
    telemetry::MetricsPtr metrics, PeersHooks hooks)
{
    return std::make_shared<PeersTask>(
        std::move(loop), std::move(client), std::move(secret), std::move(metrics), std::move(hooks));
}

} // namespace sardinerun::node

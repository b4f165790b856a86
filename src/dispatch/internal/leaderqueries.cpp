//! Queries to other nodes about who leads.

#include "dispatch/leadertask.h"

#include "codec/json.h"
#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::dispatch {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

constexpr core::Duration formerLeaderRetryDelay = std::chrono::milliseconds(400);
constexpr core::Duration nodeQueryTimeout = std::chrono::milliseconds(500);

} // namespace

void LeaderTask::queryNode(const core::HostPort& node, bool isRejectedByStore,
    std::function<void(const std::optional<protocol::LeaderHint>&)> callback)
{
    http::ClientRequest request;
    request.to = node;
    request.method = "POST";
    request.target = protocol::leaderQueryPath;
    request.body = protocol::encodeLeaderHint(
        { m_engine != nullptr, isRejectedByStore, m_engine ? m_publishedLeader : std::nullopt });
    request.timeout = nodeQueryTimeout;
    m_dependencies.client->send(std::move(request), [callback = std::move(callback)](const http::ClientResult& result) {
        if (!result || result.value().status != 200) {
            callback(std::nullopt);
            return;
        }
        try {
            callback(protocol::decodeLeaderHint(result.value().body));
        } catch (const codec::DecodeError& error) {
            LogLine(Severity::Warning, "hint-unreadable").with("why", error.what());
            callback(std::nullopt);
        }
    });
}

void LeaderTask::inviteOthers()
{
    LogLine(Severity::Warning, "followers-invited")
        .with("term", std::int64_t(m_term.value()))
        .with("nodes", std::int64_t(m_adviceProxies.size()));
    for (const auto& [address, node] : m_adviceProxies) {
        if (address != m_dependencies.address)
            queryNode(address, true, [](const std::optional<protocol::LeaderHint>&) {});
    }
}

void LeaderTask::checkReplacement()
{
    if (!m_engine || now() < m_engine->authorityUntil()) {
        m_notLeadingAt.clear();
        return;
    }
    const std::weak_ptr weak = std::static_pointer_cast<LeaderTask>(shared_from_this());
    for (const core::HostPort& address : m_possibleLeaders) {
        m_notLeadingAt.emplace(address, core::TimePoint());
        queryNode(address, false,
            [weak, term = m_term, address, askedAt = now()](const std::optional<protocol::LeaderHint>& hint) {
                const auto it = weak.lock();
                if (it && it->m_engine && it->m_term == term)
                    it->onReplacementAnswer(address, askedAt, hint);
            });
    }
}

void LeaderTask::onReplacementAnswer(
    const core::HostPort& node, core::TimePoint askedAt, const std::optional<protocol::LeaderHint>& hint)
{
    if (!hint || !m_notLeadingAt.contains(node))
        return;
    if (hint->leader && hint->leader->term > m_term) {
        onLeadershipLost("another node knows the leader of a later term");
        return;
    }
    m_notLeadingAt[node] = askedAt;
    // One node that does not answer may lead.
    core::TimePoint oldest = askedAt;
    for (const auto& [address, at] : m_notLeadingAt)
        oldest = std::min(oldest, at);
    if (oldest > core::TimePoint())
        m_engine->setUnreplacedUntil(oldest + m_dependencies.leaderTimes.replacementCheckValidity);
}

void LeaderTask::queryNextNode()
{
    if (m_engine || (m_publishedLeader && !m_isSuspected) || m_nodes.empty())
        return;
    const core::HostPort node = m_nodes[m_nextNode++ % m_nodes.size()];
    const std::weak_ptr weak = std::static_pointer_cast<LeaderTask>(shared_from_this());
    queryNode(node, false, [weak](const std::optional<protocol::LeaderHint>& hint) {
        const auto it = weak.lock();
        const bool isNewer = it && hint && hint->leader && !it->m_engine
            && (!it->m_publishedLeader || hint->leader->term > it->m_publishedLeader->term)
            && (!it->m_leader || hint->leader->term > it->m_leader->term);
        if (!isNewer || hint->leader->isReleased)
            return;
        LogLine(Severity::Info, "leader-hinted")
            .with("node", hint->leader->node.value())
            .with("term", std::int64_t(hint->leader->term.value()));
        it->publishLeader(hint->leader);
    });
}

void LeaderTask::queryFormerLeader(const core::HostPort& former, core::Epoch term)
{
    if (former == m_dependencies.address) {
        LogLine(Severity::Info, "former-leader-gone").with("address", former.text()).with("why", "this node");
        m_engine->setFormerLeaderGone();
        return;
    }
    const std::weak_ptr weak = std::static_pointer_cast<LeaderTask>(shared_from_this());
    queryNode(former, false, [weak, former, term](const std::optional<protocol::LeaderHint>& hint) {
        const auto it = weak.lock();
        if (!it || !it->m_engine || it->m_term != term)
            return;
        if (hint && !hint->isLeading) {
            LogLine(Severity::Info, "former-leader-gone")
                .with("address", former.text())
                .with("why", "it does not lead");
            it->m_engine->setFormerLeaderGone();
            return;
        }
        it->loop()->callAfter(formerLeaderRetryDelay, [weak, former, term] {
            const auto it = weak.lock();
            if (it && it->m_engine && it->m_term == term)
                it->queryFormerLeader(former, term);
        });
    });
}

} // namespace sardinerun::dispatch

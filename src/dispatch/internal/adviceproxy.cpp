#include "dispatch/adviceproxy.h"

#include "telemetry/log.h"

namespace sardinerun::dispatch {

namespace {

constexpr core::Duration retryPause = std::chrono::milliseconds(250);
//! A leader waits longer than this before it says that it has no question; who answers sooner does not lead.
constexpr core::Duration quickAnswer = std::chrono::milliseconds(100);

} // namespace

AdviceProxyPtr AdviceProxy::create(const runtime::ILoopPtr& loop, http::IHttpClientPtr client,
    runtime::Address<LeaderMessage> local, fleet::IAdviceClientPtr advice, core::NodeId self, core::HostPort address)
{
    return std::make_shared<AdviceProxy>(
        loop, std::move(client), std::move(local), std::move(advice), std::move(self), std::move(address));
}

AdviceProxy::AdviceProxy(const runtime::ILoopPtr& loop, http::IHttpClientPtr client,
    runtime::Address<LeaderMessage> local, fleet::IAdviceClientPtr advice, core::NodeId self, core::HostPort address)
    : Task(loop)
    , m_link(loop, std::move(client), local)
    , m_advice(std::move(advice))
    , m_self(std::move(self))
    , m_address(std::move(address))
    , m_local(std::move(local))
{
}

void AdviceProxy::receive(LeaderUpdate news)
{
    const auto& known = m_link.leader().leader;
    const bool isNew = news.leader && (!known || known->term != news.leader->term);
    m_link.setLeader(news);
    if (!isNew)
        return;
    ++m_round;
    m_isSuspected = false;
    offer(0, std::nullopt);
}

void AdviceProxy::offer(std::uint64_t requestId, std::optional<fleet::AdviceResult> result)
{
    if (!m_link.leader().leader)
        return; // the news of the next leader begins anew
    protocol::AdvicePoll turn { m_self, m_address, m_link.leader().leader->term, requestId, std::move(result) };
    m_link.lend(turn,
        [weak = weak_from_this(), round = m_round, sentAt = now()](
            const std::optional<protocol::AdviceAssignment>& lent) {
            const auto it = std::static_pointer_cast<AdviceProxy>(weak.lock());
            if (it && it->m_round == round)
                it->onLent(lent, sentAt);
        });
}

void AdviceProxy::tellDoubt(bool isSuspected)
{
    if (m_isSuspected == isSuspected || !m_link.leader().leader)
        return;
    m_isSuspected = isSuspected;
    m_local.send(LeaderSuspected { m_link.leader().leader->term, isSuspected });
}

void AdviceProxy::onLent(const std::optional<protocol::AdviceAssignment>& turn, core::TimePoint sentAt)
{
    if (turn && !turn->nodes.empty())
        m_local.send(KnownNodes { turn->nodes });
    if (!turn || turn->requestId == 0) {
        const bool isLost = !turn || now() - sentAt < quickAnswer;
        tellDoubt(isLost);
        loop()->callAfter(isLost ? retryPause : core::Duration(0), [weak = weak_from_this(), round = m_round] {
            const auto it = std::static_pointer_cast<AdviceProxy>(weak.lock());
            if (it && it->m_round == round)
                it->offer(0, std::nullopt);
        });
        return;
    }
    tellDoubt(false);
    m_advice->ask(turn->request,
        [weak = weak_from_this(), round = m_round, requestId = turn->requestId](const fleet::AdviceResult& result) {
            const auto it = std::static_pointer_cast<AdviceProxy>(weak.lock());
            if (it && it->m_round == round)
                it->offer(requestId, result);
        });
}

} // namespace sardinerun::dispatch

#include "dispatch/adviceproxy.h"

#include "telemetry/log.h"

namespace sardinerun::dispatch {

namespace {

constexpr core::Duration retryPause = std::chrono::milliseconds(250);
//! A leader waits longer than this before it answers that it has no advice request; a node that answers sooner does not
//! lead.
constexpr core::Duration minIdleAnswerTime = std::chrono::milliseconds(100);

} // namespace

AdviceProxyPtr AdviceProxy::create(const runtime::ILoopPtr& loop, http::IHttpClientPtr client,
    runtime::Address<LeaderMessage> local, fleet::IAdviceClientPtr advice, core::NodeId self, core::HostPort address,
    core::MilliCpu vmCpu)
{
    return std::make_shared<AdviceProxy>(
        loop, std::move(client), std::move(local), std::move(advice), std::move(self), std::move(address), vmCpu);
}

AdviceProxy::AdviceProxy(const runtime::ILoopPtr& loop, http::IHttpClientPtr client,
    runtime::Address<LeaderMessage> local, fleet::IAdviceClientPtr advice, core::NodeId self, core::HostPort address,
    core::MilliCpu vmCpu)
    : Task(loop)
    , m_leaderClient(loop, std::move(client), local)
    , m_advice(std::move(advice))
    , m_self(std::move(self))
    , m_address(std::move(address))
    , m_vmCpu(vmCpu)
    , m_local(std::move(local))
{
}

void AdviceProxy::receive(LeaderUpdate update)
{
    const auto& known = m_leaderClient.leader().leader;
    const bool isNew = update.leader && (!known || known->term != update.leader->term);
    m_leaderClient.setLeader(update);
    if (!isNew)
        return;
    ++m_pollSeries;
    m_isSuspected = false;
    pollLeader(0, std::nullopt);
}

void AdviceProxy::pollLeader(std::uint64_t requestId, std::optional<fleet::AdviceResult> result)
{
    if (!m_leaderClient.leader().leader)
        return; // the update that names the next leader starts a new series
    protocol::AdvicePoll poll { m_self, m_address, m_leaderClient.leader().leader->term, requestId, std::move(result),
        m_vmCpu };
    m_leaderClient.pollAdvice(poll,
        [weak = weak_from_this(), series = m_pollSeries, sentAt = now()](
            const std::optional<protocol::AdviceAssignment>& assignment) {
            const auto it = std::static_pointer_cast<AdviceProxy>(weak.lock());
            if (it && it->m_pollSeries == series)
                it->onAssignment(assignment, sentAt);
        });
}

void AdviceProxy::reportSuspicion(bool isSuspected)
{
    if (m_isSuspected == isSuspected || !m_leaderClient.leader().leader)
        return;
    m_isSuspected = isSuspected;
    m_local.send(LeaderSuspected { m_leaderClient.leader().leader->term, isSuspected });
}

void AdviceProxy::onAssignment(const std::optional<protocol::AdviceAssignment>& assignment, core::TimePoint sentAt)
{
    if (assignment && !assignment->nodes.empty())
        m_local.send(KnownNodes { assignment->nodes, assignment->largestVmCpu });
    if (!assignment || assignment->requestId == 0) {
        const bool isLost = !assignment || now() - sentAt < minIdleAnswerTime;
        reportSuspicion(isLost);
        loop()->callAfter(isLost ? retryPause : core::Duration(0), [weak = weak_from_this(), series = m_pollSeries] {
            const auto it = std::static_pointer_cast<AdviceProxy>(weak.lock());
            if (it && it->m_pollSeries == series)
                it->pollLeader(0, std::nullopt);
        });
        return;
    }
    reportSuspicion(false);
    m_advice->requestAdvice(assignment->request,
        [weak = weak_from_this(), series = m_pollSeries, requestId = assignment->requestId](
            const fleet::AdviceResult& result) {
            const auto it = std::static_pointer_cast<AdviceProxy>(weak.lock());
            if (it && it->m_pollSeries == series)
                it->pollLeader(requestId, result);
        });
}

} // namespace sardinerun::dispatch

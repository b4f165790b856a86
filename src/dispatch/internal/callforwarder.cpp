#include "dispatch/callforwarder.h"

#include "telemetry/log.h"

#include <algorithm>
#include <array>

namespace sardinerun::dispatch {

namespace {

//! A running leader answers within a few tens of milliseconds. After this time the caller can retry at another node.
constexpr core::Duration maxTimeout = std::chrono::milliseconds(1300);
//! The leader's answer must be back this long before the caller's own timeout.
constexpr core::Duration answerMargin = std::chrono::milliseconds(100);
//! A planned hand-over between leaders takes a few hundred milliseconds. Submitters get an answer sooner and retry
//! themselves.
constexpr core::Duration maxRetryTime = std::chrono::milliseconds(900);
constexpr core::Duration maxSubmitRetryTime = std::chrono::milliseconds(250);
constexpr core::Duration retryPause = std::chrono::milliseconds(60);
//! A leader that has answered no call for this long is silent. A failing store also delays its answers.
constexpr core::Duration silentLeaderTimeout = std::chrono::milliseconds(600);
//! Pause between the last call to a silent leader and a probe of it.
constexpr core::Duration probeInterval = silentLeaderTimeout * 2;
constexpr core::Duration silentLeaderRetryAfter = std::chrono::milliseconds(1000);

workflow::WorkflowResult leaderIsSilent()
{
    workflow::WorkflowResult it;
    it.outcome = workflow::WorkflowOutcome::NotNow;
    it.retryAfter = silentLeaderRetryAfter;
    it.reason = "the leader is silent";
    return it;
}

} // namespace

CallForwarderPtr CallForwarder::create(
    const runtime::ILoopPtr& loop, http::IHttpClientPtr client, runtime::Address<LeaderMessage> local)
{
    return std::make_shared<CallForwarder>(loop, std::move(client), std::move(local));
}

CallForwarder::CallForwarder(
    const runtime::ILoopPtr& loop, http::IHttpClientPtr client, runtime::Address<LeaderMessage> local)
    : Task(loop)
    , m_leaderClient(loop, std::move(client), std::move(local))
{
}

void CallForwarder::receive(ForwarderMessage message)
{
    std::visit([this](auto& it) { handle(std::move(it)); }, message);
}

void CallForwarder::handle(const LeaderUpdate& update)
{
    m_leaderClient.setLeader(update);
    ++m_leaderNumber;
    m_unansweredCalls = 0;
    m_lastAnswerAt = now();
}

bool CallForwarder::isLeaderSilent() const
{
    return m_unansweredCalls > 0 && !m_leaderClient.leader().isSelf && now() - m_lastAnswerAt >= silentLeaderTimeout;
}

void CallForwarder::handle(LeaderCall message)
{
    const core::Duration requestedTimeout = message.call.timeout;
    const core::Duration timeout
        = requestedTimeout > core::Duration(0) ? std::min(requestedTimeout, maxTimeout) : maxTimeout;
    const auto pending = std::make_shared<PendingCall>();
    pending->request = std::move(message);
    pending->receivedAt = now();
    pending->deadline = now() + std::max(timeout - answerMargin, answerMargin);
    const bool isSubmit = pending->request.call.kind == workflow::CallKind::Submit;
    pending->retryUntil
        = std::min(now() + (isSubmit ? maxSubmitRetryTime : maxRetryTime), pending->deadline - answerMargin);
    if (isSubmit && isLeaderSilent()) {
        probeLeader(pending->request.call);
        finish(pending, leaderIsSilent());
    } else {
        send(pending);
    }
}

void CallForwarder::probeLeader(const workflow::WorkflowCall& submission)
{
    if (now() - m_lastCallAt < probeInterval)
        return;
    workflow::WorkflowCall call;
    call.kind = workflow::CallKind::CountPending;
    call.host = submission.host;
    call.path = submission.path;
    call.timeout = probeInterval;
    sendToLeader(call, probeInterval, [](const workflow::WorkflowResult&) {});
}

void CallForwarder::sendToLeader(const workflow::WorkflowCall& call, core::Duration timeout,
    std::function<void(const workflow::WorkflowResult&)> callback)
{
    m_lastCallAt = now();
    if (m_unansweredCalls++ == 0)
        m_lastAnswerAt = now();
    m_leaderClient.sendCall(call, timeout,
        [weak = weak_from_this(), callback = std::move(callback), leaderNumber = m_leaderNumber](
            const workflow::WorkflowResult& answer, bool hasLeaderAnswered) {
            const auto it = std::static_pointer_cast<CallForwarder>(weak.lock());
            if (!it)
                return;
            if (it->m_leaderNumber == leaderNumber) {
                --it->m_unansweredCalls;
                it->m_lastAnswerAt = hasLeaderAnswered ? it->now() : it->m_lastAnswerAt;
            }
            callback(answer);
        });
}

void CallForwarder::send(const PendingCallPtr& pending)
{
    workflow::WorkflowCall call = pending->request.call;
    const core::Duration left = std::max(pending->deadline - now(), answerMargin);
    call.timeout = left;
    sendToLeader(call, left, [this, pending](const workflow::WorkflowResult& answer) { onAnswer(pending, answer); });
}

void CallForwarder::onAnswer(const PendingCallPtr& pending, const workflow::WorkflowResult& answer)
{
    const bool isNotDone = answer.outcome == workflow::WorkflowOutcome::NotNow;
    if (isNotDone && now() < pending->retryUntil) {
        loop()->callAfter(retryPause, [weak = weak_from_this(), pending] {
            if (const auto it = std::static_pointer_cast<CallForwarder>(weak.lock()))
                it->send(pending);
        });
        return;
    }
    finish(pending, answer);
}

void CallForwarder::finish(const PendingCallPtr& pending, const workflow::WorkflowResult& answer)
{
    const bool isNotDone = answer.outcome == workflow::WorkflowOutcome::NotNow;
    const workflow::WorkflowCall& call = pending->request.call;
    if (call.kind != workflow::CallKind::Read || isNotDone || answer.outcome == workflow::WorkflowOutcome::Uncertain) {
        static constexpr std::array<const char*, 4> kinds { "submit", "read", "cancel", "count" };
        telemetry::LogLine(telemetry::Severity::Info, "call")
            .with("kind", kinds[static_cast<std::size_t>(call.kind)])
            .with("job", call.spec.id.value())
            .with("path", call.path)
            .with("config", std::int64_t(call.knownConfig.value()))
            .with("outcome", workflow::nameOf(answer.outcome))
            .with("why", answer.reason)
            .with("tookMs", core::toMs(now() - pending->receivedAt));
    }
    pending->request.reply.send(answer);
}

} // namespace sardinerun::dispatch

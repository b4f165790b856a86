#include "dispatch/callforwarder.h"

#include "telemetry/log.h"

#include <algorithm>
#include <array>

namespace sardinerun::dispatch {

namespace {

//! A leader that lives answers within a few tens of milliseconds. Whoever asked can ask again, at another node.
constexpr core::Duration longestPatience = std::chrono::milliseconds(1300);
//! The leader's answer must come back before the caller leaves.
constexpr core::Duration wayBack = std::chrono::milliseconds(100);
//! A planned hand-over between leaders takes a few hundred milliseconds; who submits is told sooner, and comes again.
constexpr core::Duration longestRetry = std::chrono::milliseconds(900);
constexpr core::Duration longestSubmitRetry = std::chrono::milliseconds(250);
constexpr core::Duration retryPause = std::chrono::milliseconds(60);
//! A leader that has answered none of its questions for so long is silent. A store in trouble makes it answer late too.
constexpr core::Duration leaderSilence = std::chrono::milliseconds(600);
constexpr core::Duration silentRetry = std::chrono::milliseconds(1000);

workflow::WorkflowResult leaderIsSilent()
{
    workflow::WorkflowResult it;
    it.outcome = workflow::WorkflowOutcome::NotNow;
    it.retryAfter = silentRetry;
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
    , m_link(loop, std::move(client), std::move(local))
{
}

void CallForwarder::receive(ForwarderMessage message)
{
    std::visit([this](auto& it) { take(std::move(it)); }, message);
}

void CallForwarder::take(const LeaderUpdate& news)
{
    m_link.setLeader(news);
    m_heardAt = now();
}

bool CallForwarder::isLeaderSilent() const
{
    return m_unanswered > 0 && !m_link.leader().isSelf && now() - m_heardAt >= leaderSilence;
}

void CallForwarder::take(LeaderCall message)
{
    const core::Duration named = message.call.timeout;
    const core::Duration timeout = named > core::Duration(0) ? std::min(named, longestPatience) : longestPatience;
    const auto open = std::make_shared<Open>();
    open->question = std::move(message);
    open->askedAt = now();
    open->until = now() + std::max(timeout - wayBack, wayBack);
    const bool isSubmit = open->question.call.kind == workflow::CallKind::Submit;
    open->retryUntil = std::min(now() + (isSubmit ? longestSubmitRetry : longestRetry), open->until - wayBack);
    if (isSubmit && isLeaderSilent())
        finish(open, leaderIsSilent());
    else
        send(open);
}

void CallForwarder::send(const OpenPtr& open)
{
    workflow::WorkflowCall call = open->question.call;
    const core::Duration left = std::max(open->until - now(), wayBack);
    call.timeout = left;
    if (m_unanswered++ == 0)
        m_heardAt = now();
    m_link.ask(call, left, [weak = weak_from_this(), open](const workflow::WorkflowResult& answer, bool isHeard) {
        const auto it = std::static_pointer_cast<CallForwarder>(weak.lock());
        if (!it)
            return;
        --it->m_unanswered;
        if (isHeard)
            it->m_heardAt = it->now();
        it->onAnswer(open, answer);
    });
}

void CallForwarder::onAnswer(const OpenPtr& open, const workflow::WorkflowResult& answer)
{
    const bool isUntried = answer.outcome == workflow::WorkflowOutcome::NotNow;
    if (isUntried && now() < open->retryUntil) {
        loop()->callAfter(retryPause, [weak = weak_from_this(), open] {
            if (const auto it = std::static_pointer_cast<CallForwarder>(weak.lock()))
                it->send(open);
        });
        return;
    }
    finish(open, answer);
}

void CallForwarder::finish(const OpenPtr& open, const workflow::WorkflowResult& answer)
{
    const bool isUntried = answer.outcome == workflow::WorkflowOutcome::NotNow;
    const workflow::WorkflowCall& call = open->question.call;
    if (call.kind != workflow::CallKind::Read || isUntried || answer.outcome == workflow::WorkflowOutcome::Uncertain) {
        static constexpr std::array<const char*, 4> kinds { "submit", "read", "cancel", "count" };
        telemetry::LogLine(telemetry::Severity::Info, "call")
            .with("kind", kinds[static_cast<std::size_t>(call.kind)])
            .with("job", call.spec.id.value())
            .with("path", call.path)
            .with("config", std::int64_t(call.seen.value()))
            .with("outcome", workflow::nameOf(answer.outcome))
            .with("why", answer.reason)
            .with("tookMs", core::toMs(now() - open->askedAt));
    }
    open->question.reply.send(answer);
}

} // namespace sardinerun::dispatch

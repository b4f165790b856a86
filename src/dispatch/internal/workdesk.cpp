#include "dispatch/workdesk.h"

#include "telemetry/log.h"

#include <algorithm>
#include <array>

namespace sardinerun::dispatch {

namespace {

//! Callers that name no time get this long.
constexpr core::Duration defaultPatience = std::chrono::milliseconds(2500);
//! The leader's answer must come back before the caller leaves.
constexpr core::Duration wayBack = std::chrono::milliseconds(100);
//! A hand-over between leaders takes a few hundred milliseconds.
constexpr core::Duration longestRetry = std::chrono::milliseconds(900);
constexpr core::Duration retryPause = std::chrono::milliseconds(100);

std::int64_t ms(core::Duration it)
{
    return it / std::chrono::milliseconds(1);
}

} // namespace

WorkDeskPtr WorkDesk::create(runtime::ILoopPtr loop, http::IHttpClientPtr client, runtime::Address<LeadMessage> local)
{
    return std::make_shared<WorkDesk>(std::move(loop), std::move(client), std::move(local));
}

WorkDesk::WorkDesk(runtime::ILoopPtr loop, http::IHttpClientPtr client, runtime::Address<LeadMessage> local)
    : Task(loop)
    , m_link(loop, std::move(client), std::move(local))
{
}

void WorkDesk::receive(DeskMessage message)
{
    std::visit([this](auto& it) { take(std::move(it)); }, message);
}

void WorkDesk::take(AskWork message)
{
    const core::Duration named = message.call.patience;
    const core::Duration patience = named > core::Duration(0) ? std::min(named, defaultPatience) : defaultPatience;
    const auto open = std::make_shared<Open>();
    open->question = std::move(message);
    open->askedAt = now();
    open->until = now() + std::max(patience - wayBack, wayBack);
    open->retryUntil = std::min(now() + longestRetry, open->until - wayBack);
    send(open);
}

void WorkDesk::send(const OpenPtr& open)
{
    workflow::WorkCall call = open->question.call;
    const core::Duration left = std::max(open->until - now(), wayBack);
    call.patience = left;
    m_link.ask(call, left, [weak = weak_from_this(), open](const workflow::WorkAnswer& answer) {
        if (const auto it = std::static_pointer_cast<WorkDesk>(weak.lock()))
            it->onAnswer(open, answer);
    });
}

void WorkDesk::onAnswer(const OpenPtr& open, const workflow::WorkAnswer& answer)
{
    const bool isUntried = answer.outcome == workflow::WorkOutcome::NotNow;
    if (isUntried && now() < open->retryUntil) {
        loop()->callAfter(retryPause, [weak = weak_from_this(), open] {
            if (const auto it = std::static_pointer_cast<WorkDesk>(weak.lock()))
                it->send(open);
        });
        return;
    }
    const workflow::WorkCall& call = open->question.call;
    if (call.kind != workflow::CallKind::Read || isUntried || answer.outcome == workflow::WorkOutcome::Uncertain) {
        static constexpr std::array<const char*, 4> kinds { "submit", "read", "cancel", "count" };
        telemetry::LogLine(telemetry::Severity::Info, "call")
            .with("kind", kinds[static_cast<std::size_t>(call.kind)])
            .with("job", call.spec.id.value())
            .with("path", call.path)
            .with("config", std::int64_t(call.seen.value()))
            .with("outcome", workflow::nameOf(answer.outcome))
            .with("why", answer.reason)
            .with("tookMs", ms(now() - open->askedAt));
    }
    open->question.reply.send(answer);
}

} // namespace sardinerun::dispatch

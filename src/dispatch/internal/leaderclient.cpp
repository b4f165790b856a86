#include "dispatch/leaderclient.h"

#include "codec/json.h"

namespace sardinerun::dispatch {

namespace {

//! The leader answers a poll within a second, also when it has no advice request.
constexpr core::Duration advicePollTimeout = std::chrono::milliseconds(1300);

workflow::WorkflowResult noLeaderKnown()
{
    workflow::WorkflowResult it;
    it.reason = "no leader is known";
    return it;
}

workflow::WorkflowResult resultOf(const http::ClientResult& result)
{
    workflow::WorkflowResult it;
    it.outcome = workflow::WorkflowOutcome::Uncertain;
    if (!result) {
        it.reason = result.error().detail;
        if (!result.error().maybeSent)
            it.outcome = workflow::WorkflowOutcome::NotNow;
        return it;
    }
    try {
        return protocol::decodeResult(result.value().body);
    } catch (const codec::DecodeError& error) {
        it.reason = error.what();
        return it;
    }
}

http::ClientRequest requestFor(const core::HostPort& to, const char* target, std::string body, core::Duration timeout)
{
    http::ClientRequest request;
    request.to = to;
    request.method = "POST";
    request.target = target;
    request.headers = { { "content-type", "application/json" } };
    request.body = std::move(body);
    request.timeout = timeout;
    return request;
}

} // namespace

runtime::Reply<workflow::WorkflowResult> callReply(
    const runtime::ILoopPtr& loop, std::function<void(workflow::WorkflowResult)> function)
{
    const auto onDropped = [] {
        workflow::WorkflowResult it;
        it.outcome = workflow::WorkflowOutcome::Uncertain;
        it.reason = "the leadership ended before the answer";
        return it;
    };
    return { loop, std::move(function), onDropped };
}

void LeaderClient::sendCall(const workflow::WorkflowCall& call, core::Duration timeout, CallCallback callback) const
{
    if (!m_update.leader) {
        m_loop->post([callback = std::move(callback)] { callback(noLeaderKnown(), false); });
        return;
    }
    if (m_update.isSelf) {
        auto reply = [callback = std::move(callback)](const workflow::WorkflowResult& it) { callback(it, true); };
        m_local.send(LeaderCall { call, callReply(m_loop, std::move(reply)) });
        return;
    }
    m_client->send(
        requestFor(m_update.leader->address, protocol::workflowCallPath, protocol::encodeCall(call), timeout),
        [callback = std::move(callback)](
            const http::ClientResult& result) { callback(resultOf(result), bool(result)); });
}

void LeaderClient::pollAdvice(const protocol::AdvicePoll& poll, PollCallback callback) const
{
    if (m_update.isSelf) {
        m_local.send(PollAdvice { poll,
            runtime::Reply<protocol::AdviceAssignment>(
                m_loop, [callback = std::move(callback)](const protocol::AdviceAssignment& it) { callback(it); }) });
        return;
    }
    if (!m_update.leader) {
        m_loop->post([callback = std::move(callback)] { callback(std::nullopt); });
        return;
    }
    m_client->send(requestFor(m_update.leader->address, protocol::advicePollPath, protocol::encodeAdvicePoll(poll),
                       advicePollTimeout),
        [callback = std::move(callback)](const http::ClientResult& result) {
            if (!result || result.value().status != 200) {
                callback(std::nullopt);
                return;
            }
            try {
                callback(protocol::decodeAdviceAssignment(result.value().body));
            } catch (const codec::DecodeError&) {
                callback(std::nullopt); // the advice proxy then reports the leader as suspected
            }
        });
}

} // namespace sardinerun::dispatch

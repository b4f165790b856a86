#include "dispatch/leaderclient.h"

#include "codec/json.h"

namespace sardinerun::dispatch {

namespace {

//! The leader answers an offer within a second when it has no question.
constexpr core::Duration lendPatience = std::chrono::milliseconds(1300);

workflow::WorkflowResult notLeading()
{
    workflow::WorkflowResult it;
    it.reason = "no leader is known";
    return it;
}

workflow::WorkflowResult answerOf(const http::ClientResult& result)
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
        return protocol::decodeAnswer(result.value().body);
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

void LeaderClient::ask(const workflow::WorkflowCall& call, core::Duration timeout, Answered answered) const
{
    if (!m_news.leader) {
        m_loop->post([answered = std::move(answered)] { answered(notLeading(), false); });
        return;
    }
    if (m_news.isSelf) {
        auto reply = [answered = std::move(answered)](const workflow::WorkflowResult& it) { answered(it, true); };
        m_local.send(LeaderCall { call, runtime::Reply<workflow::WorkflowResult>(m_loop, std::move(reply)) });
        return;
    }
    m_client->send(requestFor(m_news.leader->address, protocol::workflowCallPath, protocol::encodeCall(call), timeout),
        [answered = std::move(answered)](
            const http::ClientResult& result) { answered(answerOf(result), bool(result)); });
}

void LeaderClient::lend(const protocol::AdvicePoll& turn, Lent lent) const
{
    if (m_news.isSelf) {
        m_local.send(PollAdvice { turn,
            runtime::Reply<protocol::AdviceAssignment>(
                m_loop, [lent = std::move(lent)](const protocol::AdviceAssignment& it) { lent(it); }) });
        return;
    }
    if (!m_news.leader) {
        m_loop->post([lent = std::move(lent)] { lent(std::nullopt); });
        return;
    }
    m_client->send(
        requestFor(m_news.leader->address, protocol::advicePollPath, protocol::encodeAdvicePoll(turn), lendPatience),
        [lent = std::move(lent)](const http::ClientResult& result) {
            if (!result || result.value().status != 200) {
                lent(std::nullopt);
                return;
            }
            try {
                lent(protocol::decodeAdviceAssignment(result.value().body));
            } catch (const codec::DecodeError&) {
                lent(std::nullopt); // the advice proxy logs that it lost the leader
            }
        });
}

} // namespace sardinerun::dispatch

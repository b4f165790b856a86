#pragma once

#include "dispatch/leaderclient.h"

namespace sardinerun::dispatch {

//! Forwards callers' requests to the leader. While the leader changes, it retries for a short time, but never a request
//! that the leader may have accepted. While the leader is silent, submissions are rejected immediately, since holding
//! them back would not get them accepted sooner.
class CallForwarder : public runtime::Task<ForwarderMessage> {
public:
    static std::shared_ptr<CallForwarder> create(
        const runtime::ILoopPtr& loop, http::IHttpClientPtr client, runtime::Address<LeaderMessage> local);
    CallForwarder(const runtime::ILoopPtr& loop, http::IHttpClientPtr client, runtime::Address<LeaderMessage> local);

    void receive(ForwarderMessage message) override;
    bool hasLeader() const { return m_leaderClient.leader().leader.has_value(); }

private:
    struct PendingCall {
        LeaderCall request;
        core::TimePoint receivedAt {};
        core::TimePoint retryUntil {};
        core::TimePoint deadline {};
    };
    using PendingCallPtr = std::shared_ptr<PendingCall>;

    void handle(LeaderCall message);
    void handle(const LeaderUpdate& update);
    bool isLeaderSilent() const;
    //! Asks a silent leader again, without a caller that would have to wait for the answer.
    void probeLeader(const workflow::WorkflowCall& submission);
    void sendToLeader(const workflow::WorkflowCall& call, core::Duration timeout,
        std::function<void(const workflow::WorkflowResult&)> callback);
    void send(const PendingCallPtr& pending);
    void onAnswer(const PendingCallPtr& pending, const workflow::WorkflowResult& answer);
    void finish(const PendingCallPtr& pending, const workflow::WorkflowResult& answer);

    LeaderClient m_leaderClient;
    std::uint64_t m_leaderNumber = 0; //!< counts the leaders; answers of earlier ones say nothing about the current one
    std::size_t m_unansweredCalls = 0; //!< calls that the current leader has not answered yet
    core::TimePoint m_lastAnswerAt {}; //!< when it last answered, or when the first unanswered call was sent
    core::TimePoint m_lastCallAt {}; //!< when the last call was sent to it
};

using CallForwarderPtr = std::shared_ptr<CallForwarder>;

} // namespace sardinerun::dispatch

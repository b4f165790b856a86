#pragma once

#include "dispatch/leaderclient.h"

namespace sardinerun::dispatch {

//! Brings callers' questions to the leader. When the leader changes, it tries again for a moment, but never a question
//! that may have been taken. While the leader is silent, new work is turned away at once: holding it would not help it.
class CallForwarder : public runtime::Task<ForwarderMessage> {
public:
    static std::shared_ptr<CallForwarder> create(
        const runtime::ILoopPtr& loop, http::IHttpClientPtr client, runtime::Address<LeaderMessage> local);
    CallForwarder(const runtime::ILoopPtr& loop, http::IHttpClientPtr client, runtime::Address<LeaderMessage> local);

    void receive(ForwarderMessage message) override;
    bool knowsLeader() const { return m_link.leader().leader.has_value(); }

private:
    struct Open {
        LeaderCall question;
        core::TimePoint askedAt {};
        core::TimePoint retryUntil {};
        core::TimePoint until {};
    };
    using OpenPtr = std::shared_ptr<Open>;

    void take(LeaderCall message);
    void take(const LeaderUpdate& news);
    bool isLeaderSilent() const;
    void send(const OpenPtr& open);
    void onAnswer(const OpenPtr& open, const workflow::WorkflowResult& answer);
    void finish(const OpenPtr& open, const workflow::WorkflowResult& answer);

    LeaderClient m_link;
    std::size_t m_unanswered = 0; //!< questions that are with the leader
    core::TimePoint m_heardAt {}; //!< when the leader last answered, or the first of these questions was sent
};

using CallForwarderPtr = std::shared_ptr<CallForwarder>;

} // namespace sardinerun::dispatch

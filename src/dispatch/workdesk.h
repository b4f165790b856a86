#pragma once

#include "dispatch/leadlink.h"

namespace sardinerun::dispatch {

//! Brings callers' questions to the leader. When the leader changes, it tries again for a moment, but never a question
//! that may have been taken.
class WorkDesk : public runtime::Task<DeskMessage> {
public:
    static std::shared_ptr<WorkDesk> create(
        const runtime::ILoopPtr& loop, http::IHttpClientPtr client, runtime::Address<LeadMessage> local);
    WorkDesk(const runtime::ILoopPtr& loop, http::IHttpClientPtr client, runtime::Address<LeadMessage> local);

    void receive(DeskMessage message) override;
    bool knowsLeader() const { return m_link.leader().leader.has_value(); }

private:
    struct Open {
        AskWork question;
        core::TimePoint askedAt {};
        core::TimePoint retryUntil {};
        core::TimePoint until {};
    };
    using OpenPtr = std::shared_ptr<Open>;

    void take(AskWork message);
    void take(const LeaderNews& news) { m_link.setLeader(news); }
    void send(const OpenPtr& open);
    void onAnswer(const OpenPtr& open, const workflow::WorkAnswer& answer);

    LeadLink m_link;
};

using WorkDeskPtr = std::shared_ptr<WorkDesk>;

} // namespace sardinerun::dispatch

#pragma once

#include "dispatch/dispatchtypes.h"
#include "http/ihttpclient.h"

#include <functional>
#include <memory>

namespace sardinerun::dispatch {

//! Reaches the leader, whether it is this node or another one.
class LeaderClient {
public:
    //! `isHeard`: the leader itself has answered.
    using Answered = std::function<void(const workflow::WorkflowResult&, bool isHeard)>;
    using Lent
        = std::function<void(std::optional<protocol::AdviceAssignment>)>; //!< nothing: the leader was not reached

    LeaderClient(runtime::ILoopPtr loop, http::IHttpClientPtr client, runtime::Address<LeaderMessage> local)
        : m_loop(std::move(loop))
        , m_client(std::move(client))
        , m_local(std::move(local))
    {
    }

    void setLeader(const LeaderUpdate& news) { m_news = news; }
    const LeaderUpdate& leader() const { return m_news; }

    void ask(const workflow::WorkflowCall& call, core::Duration timeout, Answered answered) const;
    void lend(const protocol::AdvicePoll& turn, Lent lent) const;

private:
    runtime::ILoopPtr m_loop;
    http::IHttpClientPtr m_client;
    runtime::Address<LeaderMessage> m_local;
    LeaderUpdate m_news;
};

} // namespace sardinerun::dispatch

#pragma once

#include "dispatch/dispatchtypes.h"
#include "http/ihttpclient.h"

#include <functional>
#include <memory>

namespace sardinerun::dispatch {

//! Sends calls and polls to the leader, whether it is this node or another one.
class LeaderClient {
public:
    //! `hasLeaderAnswered` is false if this node produced the result because the leader did not answer.
    using CallCallback = std::function<void(const workflow::WorkflowResult&, bool hasLeaderAnswered)>;
    using PollCallback
        = std::function<void(std::optional<protocol::AdviceAssignment>)>; //!< nothing if the leader was not reached

    LeaderClient(runtime::ILoopPtr loop, http::IHttpClientPtr client, runtime::Address<LeaderMessage> local)
        : m_loop(std::move(loop))
        , m_client(std::move(client))
        , m_local(std::move(local))
    {
    }

    void setLeader(const LeaderUpdate& update) { m_update = update; }
    const LeaderUpdate& leader() const { return m_update; }

    void sendCall(const workflow::WorkflowCall& call, core::Duration timeout, CallCallback callback) const;
    void pollAdvice(const protocol::AdvicePoll& poll, PollCallback callback) const;

private:
    runtime::ILoopPtr m_loop;
    http::IHttpClientPtr m_client;
    runtime::Address<LeaderMessage> m_local;
    LeaderUpdate m_update;
};

} // namespace sardinerun::dispatch

#pragma once

#include "dispatch/leaderclient.h"
#include "fleet/iworkerorders.h"

namespace sardinerun::dispatch {

//! Lends this machine's turn at the advice service to the leader: carries one question after the other.
class AdviceProxy : public runtime::Task<LeaderUpdate> {
public:
    static std::shared_ptr<AdviceProxy> create(const runtime::ILoopPtr& loop, http::IHttpClientPtr client,
        runtime::Address<LeaderMessage> local, fleet::IAdviceClientPtr advice, core::NodeId self,
        core::HostPort address);
    AdviceProxy(const runtime::ILoopPtr& loop, http::IHttpClientPtr client, runtime::Address<LeaderMessage> local,
        fleet::IAdviceClientPtr advice, core::NodeId self, core::HostPort address);

    void receive(LeaderUpdate news) override;

private:
    void offer(std::uint64_t requestId, std::optional<fleet::AdviceResult> result);
    void tellDoubt(bool isSuspected);
    void onLent(const std::optional<protocol::AdviceAssignment>& turn, core::TimePoint sentAt);

    LeaderClient m_link;
    fleet::IAdviceClientPtr m_advice;
    core::NodeId m_self;
    core::HostPort m_address;
    runtime::Address<LeaderMessage> m_local;
    bool m_isSuspected = false; //!< as last told
    std::uint64_t m_round = 0; //!< of offers under one leader
};

using AdviceProxyPtr = std::shared_ptr<AdviceProxy>;

} // namespace sardinerun::dispatch

#pragma once

#include "dispatch/leaderclient.h"
#include "fleet/iworkerorders.h"

namespace sardinerun::dispatch {

//! Sends advice requests to the advice service on behalf of the leader, one at a time.
class AdviceProxy : public runtime::Task<LeaderUpdate> {
public:
    static std::shared_ptr<AdviceProxy> create(const runtime::ILoopPtr& loop, http::IHttpClientPtr client,
        runtime::Address<LeaderMessage> local, fleet::IAdviceClientPtr advice, core::NodeId self,
        core::HostPort address, core::MilliCpu vmCpu = {});
    AdviceProxy(const runtime::ILoopPtr& loop, http::IHttpClientPtr client, runtime::Address<LeaderMessage> local,
        fleet::IAdviceClientPtr advice, core::NodeId self, core::HostPort address, core::MilliCpu vmCpu);

    void receive(LeaderUpdate update) override;

private:
    void pollLeader(std::uint64_t requestId, std::optional<fleet::AdviceResult> result);
    void reportSuspicion(bool isSuspected);
    void onAssignment(const std::optional<protocol::AdviceAssignment>& assignment, core::TimePoint sentAt);

    LeaderClient m_leaderClient;
    fleet::IAdviceClientPtr m_advice;
    core::NodeId m_self;
    core::HostPort m_address;
    core::MilliCpu m_vmCpu; //!< of this VM; 0: unknown
    runtime::Address<LeaderMessage> m_local;
    bool m_isSuspected = false; //!< as last reported to the leader task
    std::uint64_t m_pollSeries = 0; //!< number of the current series of polls; a new leader starts a new series
};

using AdviceProxyPtr = std::shared_ptr<AdviceProxy>;

} // namespace sardinerun::dispatch

#pragma once

#include "dispatch/leadlink.h"
#include "fleet/iworkerorders.h"

namespace sardinerun::dispatch {

//! Lends this machine's turn at the advice service to the leader: carries one question after the other.
class Lender : public runtime::Task<LeaderNews> {
public:
    static std::shared_ptr<Lender> create(const runtime::ILoopPtr& loop, http::IHttpClientPtr client,
        runtime::Address<LeadMessage> local, fleet::IAdvicePortPtr advice, core::NodeId self, core::HostPort address);
    Lender(const runtime::ILoopPtr& loop, http::IHttpClientPtr client, runtime::Address<LeadMessage> local,
        fleet::IAdvicePortPtr advice, core::NodeId self, core::HostPort address);

    void receive(LeaderNews news) override;

private:
    void offer(std::uint64_t question, std::optional<fleet::AdviceResult> result);
    void tellDoubt(bool isDoubted);
    void onLent(const std::optional<protocol::LentTurn>& turn, core::TimePoint sentAt);

    LeadLink m_link;
    fleet::IAdvicePortPtr m_advice;
    core::NodeId m_self;
    core::HostPort m_address;
    runtime::Address<LeadMessage> m_local;
    bool m_isDoubted = false; //!< as last told
    std::uint64_t m_round = 0; //!< of offers under one leader
};

using LenderPtr = std::shared_ptr<Lender>;

} // namespace sardinerun::dispatch

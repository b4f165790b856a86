#pragma once

#include "dispatch/leadlink.h"
#include "fleet/iworkerorders.h"

namespace sardinerun::dispatch {

//! Lends this machine's turn at the advice service to the leader: carries one question after the other.
class Lender : public runtime::Task<LeaderNews> {
public:
    static std::shared_ptr<Lender> create(runtime::ILoopPtr loop, http::IHttpClientPtr client,
        runtime::Address<LeadMessage> local, fleet::IAdvicePortPtr advice, core::NodeId self);
    Lender(runtime::ILoopPtr loop, http::IHttpClientPtr client, runtime::Address<LeadMessage> local,
        fleet::IAdvicePortPtr advice, core::NodeId self);

    void receive(LeaderNews news) override;

private:
    void offer(core::Epoch term, std::uint64_t question, std::optional<fleet::AdviceResult> result);
    void onLent(core::Epoch term, const std::optional<protocol::LentTurn>& turn, core::TimePoint sentAt);
    bool isCurrent(core::Epoch term) const;

    LeadLink m_link;
    fleet::IAdvicePortPtr m_advice;
    core::NodeId m_self;
};

using LenderPtr = std::shared_ptr<Lender>;

} // namespace sardinerun::dispatch

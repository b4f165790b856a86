#include "dispatch/lender.h"

#include "telemetry/log.h"

namespace sardinerun::dispatch {

namespace {

constexpr core::Duration retryPause = std::chrono::milliseconds(250);
//! A leader waits longer than this before it says that it has no question; who answers sooner does not lead.
constexpr core::Duration quickAnswer = std::chrono::milliseconds(100);

} // namespace

LenderPtr Lender::create(runtime::ILoopPtr loop, http::IHttpClientPtr client, runtime::Address<LeadMessage> local,
    fleet::IAdvicePortPtr advice, core::NodeId self)
{
    return std::make_shared<Lender>(
        std::move(loop), std::move(client), std::move(local), std::move(advice), std::move(self));
}

Lender::Lender(runtime::ILoopPtr loop, http::IHttpClientPtr client, runtime::Address<LeadMessage> local,
    fleet::IAdvicePortPtr advice, core::NodeId self)
    : Task(loop)
    , m_link(loop, std::move(client), std::move(local))
    , m_advice(std::move(advice))
    , m_self(std::move(self))
{
}

void Lender::receive(LeaderNews news)
{
    const bool wasCurrent = news.leader && isCurrent(news.leader->term);
    m_link.setLeader(news);
    if (news.leader && !wasCurrent)
        offer(news.leader->term, 0, std::nullopt);
}

bool Lender::isCurrent(core::Epoch term) const
{
    return m_link.leader().leader && m_link.leader().leader->term == term;
}

void Lender::offer(core::Epoch term, std::uint64_t question, std::optional<fleet::AdviceResult> result)
{
    if (!isCurrent(term))
        return; // the news of the next leader begins anew
    protocol::LendTurn turn { m_self, term, question, std::move(result) };
    m_link.lend(turn, [weak = weak_from_this(), term, sentAt = now()](const std::optional<protocol::LentTurn>& lent) {
        if (const auto it = std::static_pointer_cast<Lender>(weak.lock()))
            it->onLent(term, lent, sentAt);
    });
}

void Lender::onLent(core::Epoch term, const std::optional<protocol::LentTurn>& turn, core::TimePoint sentAt)
{
    if (!turn || turn->question == 0) {
        const bool isLost = !turn || now() - sentAt < quickAnswer;
        loop()->callAfter(isLost ? retryPause : core::Duration(0), [weak = weak_from_this(), term] {
            if (const auto it = std::static_pointer_cast<Lender>(weak.lock()))
                it->offer(term, 0, std::nullopt);
        });
        return;
    }
    m_advice->ask(turn->asked,
        [weak = weak_from_this(), term, question = turn->question](const fleet::AdviceResult& result) {
            if (const auto it = std::static_pointer_cast<Lender>(weak.lock()))
                it->offer(term, question, result);
        });
}

} // namespace sardinerun::dispatch

#include "scheduling/advicequeue.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

//! From here on a question is long, and must leave nodes free for short ones.
constexpr core::Duration longCost = std::chrono::milliseconds(150);
//! Share of the nodes that long questions leave free, at least.
constexpr std::size_t reservedDivisor = 3;
constexpr core::Duration offerTime = std::chrono::milliseconds(900);
//! Beyond its expected cost, until the answer to a question is given up; its node may have gone.
constexpr core::Duration answerPatience = std::chrono::milliseconds(500);
//! A question may take so many times its expected cost, since a node's own work delays it.
constexpr double costMargin = 1.25;
constexpr core::Duration checkPeriod = std::chrono::milliseconds(100);

bool isBefore(const AdviceRank& a, const AdviceRank& b)
{
    return a.priority != b.priority ? a.priority < b.priority : a.startBy < b.startBy;
}

} // namespace

AdviceQueuePtr AdviceQueue::create(runtime::ILoopPtr loop)
{
    return AdviceQueuePtr(new AdviceQueue(std::move(loop)));
}

void AdviceQueue::ask(fleet::AdviceRequest question, AdviceRank rank, Answered answered)
{
    const auto at = std::find_if(
        m_waiting.begin(), m_waiting.end(), [&rank](const Question& it) { return isBefore(rank, it.rank); });
    m_waiting.insert(at, { ++m_lastId, std::move(question), rank, std::move(answered) });
    match();
}

void AdviceQueue::lend(const core::NodeId& node, Lent lent)
{
    std::erase_if(m_offers, [&node](const Offer& it) { return it.node == node; });
    m_offers.push_back({ node, std::move(lent), m_loop->now() + offerTime });
    match();
    if (!std::exchange(m_isCheckSet, true))
        check();
}

bool AdviceQueue::mayCarry(core::Duration cost) const
{
    if (m_offers.empty())
        return false;
    if (cost < longCost)
        return true;
    const std::size_t nodes = m_offers.size() + m_carried.size();
    return m_offers.size() > nodes / reservedDivisor || nodes == 1;
}

std::size_t AdviceQueue::freeNodes(core::Duration cost) const
{
    return mayCarry(cost) && m_waiting.size() < m_offers.size() ? m_offers.size() - m_waiting.size() : 0;
}

void AdviceQueue::match()
{
    for (auto it = m_waiting.begin(); it != m_waiting.end() && !m_offers.empty();) {
        if (!mayCarry(it->rank.cost)) {
            ++it;
            continue;
        }
        Offer offer = std::move(m_offers.front());
        m_offers.pop_front();
        Question question = std::move(*it);
        it = m_waiting.erase(it);
        const QuestionId id = question.id;
        const fleet::AdviceRequest asked = question.question;
        const core::Duration expected(std::int64_t(double(question.rank.cost.count()) * costMargin));
        const core::TimePoint until = m_loop->now() + expected + answerPatience;
        m_carried.emplace(id, Carried { std::move(question), until });
        offer.lent(id, asked);
    }
}

void AdviceQueue::answer(QuestionId id, const fleet::AdviceResult& result)
{
    const auto it = m_carried.find(id);
    if (it == m_carried.end())
        return; // given up before
    const Answered answered = std::move(it->second.question.answered);
    m_carried.erase(it);
    answered(result);
}

void AdviceQueue::check()
{
    const core::TimePoint now = m_loop->now();
    std::vector<QuestionId> late;
    for (const auto& [id, carried] : m_carried) {
        if (now >= carried.until)
            late.push_back(id);
    }
    for (const QuestionId id : late)
        answer(id, core::Failure { fleet::AdviceFailure::Unreachable });
    std::vector<Lent> idle;
    for (auto it = m_offers.begin(); it != m_offers.end();) {
        if (now < it->until) {
            ++it;
            continue;
        }
        idle.push_back(std::move(it->lent));
        it = m_offers.erase(it);
    }
    for (const Lent& it : idle)
        it(0, {});
    m_loop->callAfter(checkPeriod, [self = weak_from_this()] {
        if (const auto it = self.lock())
            it->check();
    });
}

} // namespace sardinerun::scheduling

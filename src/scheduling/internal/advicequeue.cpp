#include "scheduling/advicequeue.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

//! Requests with at least this cost are long and must leave nodes free for short ones.
constexpr core::Duration longCost = std::chrono::milliseconds(150);
//! Long requests leave one in this many nodes free.
constexpr std::size_t reservedDivisor = 3;
//! With fewer nodes none is spare, even if most are free at the moment.
constexpr std::size_t minNodesForSpare = 16;
constexpr core::Duration pollTimeout = std::chrono::milliseconds(900);
//! Time beyond the expected duration after which a request counts as failed, as its node may have failed.
constexpr core::Duration answerTimeoutSlack = std::chrono::milliseconds(500);
//! Factor on the expected cost, since other work on the node delays the request.
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

void AdviceQueue::enqueue(fleet::AdviceRequest request, AdviceRank rank, AnswerCallback callback)
{
    const auto at = std::find_if(
        m_waiting.begin(), m_waiting.end(), [&rank](const QueuedRequest& it) { return isBefore(rank, it.rank); });
    m_waiting.insert(at, { ++m_lastId, std::move(request), rank, std::move(callback) });
    assignRequests();
}

void AdviceQueue::poll(const core::NodeId& node, AssignCallback assign)
{
    std::erase_if(m_polls, [&node](const Poll& it) { return it.node == node; });
    m_polls.push_back({ node, std::move(assign), m_loop->now() + pollTimeout });
    assignRequests();
    if (!std::exchange(m_isCheckScheduled, true))
        checkTimeouts();
}

bool AdviceQueue::canAssign(core::Duration cost) const
{
    if (m_polls.empty())
        return false;
    if (cost < longCost)
        return true;
    const std::size_t nodes = m_polls.size() + m_inFlight.size();
    return m_polls.size() > nodes / reservedDivisor || nodes == 1;
}

std::size_t AdviceQueue::freeNodes(core::Duration cost) const
{
    return canAssign(cost) && m_waiting.size() < m_polls.size() ? m_polls.size() - m_waiting.size() : 0;
}

bool AdviceQueue::hasSpareNodes() const
{
    const std::size_t nodes = m_polls.size() + m_inFlight.size();
    return nodes >= minNodesForSpare && m_waiting.empty() && m_polls.size() * 2 >= nodes;
}

void AdviceQueue::assignRequests()
{
    for (auto it = m_waiting.begin(); it != m_waiting.end() && !m_polls.empty();) {
        if (!canAssign(it->rank.cost)) {
            ++it;
            continue;
        }
        Poll nextPoll = std::move(m_polls.front());
        m_polls.pop_front();
        QueuedRequest request = std::move(*it);
        it = m_waiting.erase(it);
        const RequestId id = request.id;
        const fleet::AdviceRequest sent = request.request;
        const core::Duration expected(std::int64_t(double(request.rank.cost.count()) * costMargin));
        const core::TimePoint deadline = m_loop->now() + expected + answerTimeoutSlack;
        m_inFlight.emplace(id, InFlightRequest { std::move(request), deadline });
        nextPoll.assign(id, sent);
    }
}

void AdviceQueue::answer(RequestId id, const fleet::AdviceResult& result)
{
    const auto it = m_inFlight.find(id);
    if (it == m_inFlight.end())
        return; // the request has timed out
    const AnswerCallback callback = std::move(it->second.request.callback);
    m_inFlight.erase(it);
    callback(result);
}

void AdviceQueue::checkTimeouts()
{
    const core::TimePoint now = m_loop->now();
    std::vector<RequestId> timedOut;
    for (const auto& [id, inFlight] : m_inFlight) {
        if (now >= inFlight.deadline)
            timedOut.push_back(id);
    }
    for (const RequestId id : timedOut)
        answer(id, core::Failure { fleet::AdviceFailure::Unreachable });
    std::vector<AssignCallback> expiredPolls;
    for (auto it = m_polls.begin(); it != m_polls.end();) {
        if (now < it->deadline) {
            ++it;
            continue;
        }
        expiredPolls.push_back(std::move(it->assign));
        it = m_polls.erase(it);
    }
    for (const AssignCallback& it : expiredPolls)
        it(0, {});
    m_loop->callAfter(checkPeriod, [self = weak_from_this()] {
        if (const auto it = self.lock())
            it->checkTimeouts();
    });
}

} // namespace sardinerun::scheduling

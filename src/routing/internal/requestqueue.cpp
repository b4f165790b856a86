#include "routing/internal/requestqueue.h"

#include <algorithm>
#include <numeric>

namespace sardinerun::routing {

namespace {

constexpr double meanWeight = 0.05;

} // namespace

void RequestQueue::setPolicy(
    const configuration::RequestPolicy& policy, const placement::GuaranteedShares& shares, bool mayBorrow)
{
    m_policy = policy;
    m_shares = shares;
    m_mayBorrow = mayBorrow;
}

std::int64_t RequestQueue::guaranteedSlots(jobs::Urgency urgency, std::int64_t usableSlots) const
{
    return usableSlots * m_shares.percent[jobs::indexOf(urgency)] / 100;
}

std::int64_t RequestQueue::maxRunning(jobs::Urgency urgency, std::int64_t usableSlots) const
{
    // A borrowed slot becomes free again after one exchange, so with borrowing a class may use all slots that the
    // others leave free. For each other class one of its unused guaranteed slots stays free, so that the first request
    // of an idle class need not wait.
    std::int64_t reserved = 0;
    for (const jobs::Urgency it : jobs::allUrgencies) {
        if (it == urgency)
            continue;
        const std::int64_t unused = guaranteedSlots(it, usableSlots) - m_running[jobs::indexOf(it)];
        reserved += std::max<std::int64_t>(0, m_mayBorrow ? std::min<std::int64_t>(unused, 1) : unused);
    }
    return usableSlots - reserved;
}

bool RequestQueue::mayStart(jobs::Urgency urgency, std::int64_t usableSlots) const
{
    const std::int64_t total = std::accumulate(m_running.begin(), m_running.end(), std::int64_t(0));
    if (total >= usableSlots)
        return false;
    const std::int64_t own = m_running[jobs::indexOf(urgency)];
    return own < guaranteedSlots(urgency, usableSlots) || total < maxRunning(urgency, usableSlots);
}

core::Duration RequestQueue::expectedWait(jobs::Urgency urgency, std::int64_t usableSlots) const
{
    // The class gets at least its guaranteed slots, and only its own queue is ahead of a new request.
    const std::int64_t slots
        = std::max<std::int64_t>(1, std::max(guaranteedSlots(urgency, usableSlots), m_running[jobs::indexOf(urgency)]));
    const double ahead = static_cast<double>(m_waiting[jobs::indexOf(urgency)].size() + 1);
    const double seconds = ahead * m_meanSeconds / static_cast<double>(slots);
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

bool RequestQueue::mayWait(jobs::Urgency urgency, std::int64_t usableSlots) const
{
    return usableSlots > 0 && m_waiting[jobs::indexOf(urgency)].size() < m_policy.queue
        && expectedWait(urgency, usableSlots) <= m_policy.maxWait;
}

void RequestQueue::push(jobs::Urgency urgency, RequestId id, core::TimePoint deadline)
{
    m_waiting[jobs::indexOf(urgency)].push_back({ id, deadline });
}

std::optional<jobs::Urgency> RequestQueue::nextClass(std::int64_t usableSlots) const
{
    std::optional<jobs::Urgency> fallback;
    for (const jobs::Urgency it : jobs::allUrgencies) {
        const std::size_t n = jobs::indexOf(it);
        if (m_waiting[n].empty() || !mayStart(it, usableSlots))
            continue;
        if (m_running[n] < guaranteedSlots(it, usableSlots))
            return it;
        if (!fallback)
            fallback = it;
    }
    return fallback;
}

std::optional<RequestQueue::Next> RequestQueue::pop(std::int64_t usableSlots, core::TimePoint now)
{
    for (auto& queue : m_waiting) {
        if (queue.empty() || queue.front().deadline > now)
            continue;
        const Next next { queue.front().id, true };
        queue.pop_front();
        return next;
    }
    const auto urgency = nextClass(usableSlots);
    if (!urgency)
        return std::nullopt;
    auto& queue = m_waiting[jobs::indexOf(*urgency)];
    const Next next { queue.front().id, false };
    queue.pop_front();
    return next;
}

void RequestQueue::onEnded(jobs::Urgency urgency, core::Duration elapsed)
{
    --m_running[jobs::indexOf(urgency)];
    const double seconds = std::chrono::duration<double>(elapsed).count();
    m_meanSeconds = m_meanSeconds > 0 ? m_meanSeconds + meanWeight * (seconds - m_meanSeconds) : seconds;
}

std::size_t RequestQueue::size() const
{
    std::size_t n = 0;
    for (const auto& it : m_waiting)
        n += it.size();
    return n;
}

} // namespace sardinerun::routing

#include "dispatch/floodguard.h"

#include "core/hashing.h"

#include <algorithm>

namespace sardinerun::dispatch {

namespace {

//! The bucket of a small team gains a job in about this time, so a longer refusal would waste its rate.
constexpr core::Duration maxRefusalTime = std::chrono::milliseconds(300);
//! A team without submissions for this long after its retry time may be within its rate again. Several jobs that it
//! then submits at once are all sent.
constexpr core::Duration refusingRetention = std::chrono::seconds(1);
//! Callers send a job again within some seconds, or give it up.
constexpr core::Duration sentJobRetention = std::chrono::seconds(60);
//! About 3 MB. If there are more, nothing is refused until the oldest would have been forgotten anyway.
constexpr std::size_t maxSentJobs = 20'000;

//! Returns a time between one and two times `base`, so that callers refused together don't come back together.
core::Duration spread(core::Duration base, const core::JobId& job)
{
    return base + base * std::int64_t(core::stableHash(job.value()) % 1000) / 1000;
}

} // namespace

std::optional<core::Duration> FloodGuard::refuse(const core::TeamId& team, const core::JobId& job, core::TimePoint now)
{
    forgetOld(now);
    const auto it = m_refusing.find(team);
    if (it == m_refusing.end() || m_sent.contains(job) || now < m_incompleteUntil)
        return std::nullopt;
    Refusing& refusing = it->second;
    if (now >= std::max(refusing.until, refusing.retryAt) + refusingRetention) {
        m_refusing.erase(it);
        return std::nullopt;
    }
    if (now >= refusing.until) {
        // If its answer is lost, the next one is sent after the same time.
        refusing.question = job;
        refusing.until = now + maxRefusalTime;
        return std::nullopt;
    }
    return spread(std::max(refusing.until, refusing.retryAt) - now, job);
}

void FloodGuard::onSent(const core::JobId& job, core::TimePoint now)
{
    Sendings& sendings = m_sent[job];
    ++sendings.count;
    sendings.lastAt = now;
    m_sentOrder.push_back({ job, now });
    forgetOld(now);
}

void FloodGuard::onOverRate(const core::TeamId& team, core::Duration retryAfter, core::TimePoint now)
{
    if (!team.value().empty())
        m_refusing[team] = { now + std::min(retryAfter, maxRefusalTime), now + retryAfter, {} };
}

void FloodGuard::onOtherAnswer(const core::TeamId& team, const core::JobId& job)
{
    const auto it = m_refusing.find(team);
    if (it != m_refusing.end() && it->second.question == job)
        m_refusing.erase(it);
}

void FloodGuard::onNotDone(const core::JobId& job)
{
    const auto it = m_sent.find(job);
    if (it != m_sent.end() && --it->second.count == 0)
        m_sent.erase(it);
}

void FloodGuard::forgetOld(core::TimePoint now)
{
    while (!m_sentOrder.empty()) {
        const SentJob& oldest = m_sentOrder.front();
        const core::TimePoint until = oldest.sentAt + sentJobRetention;
        if (now < until && m_sentOrder.size() <= maxSentJobs)
            return;
        const auto it = m_sent.find(oldest.job);
        if (it != m_sent.end() && it->second.lastAt == oldest.sentAt) {
            m_incompleteUntil = std::max(m_incompleteUntil, until);
            m_sent.erase(it);
        }
        m_sentOrder.pop_front();
    }
}

} // namespace sardinerun::dispatch

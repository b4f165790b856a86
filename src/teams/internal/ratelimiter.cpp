#include "teams/ratelimiter.h"

#include <algorithm>

namespace sardinerun::teams {

double RateLimiter::capacityOf(double rate) const
{
    return rate * std::chrono::duration<double>(m_policy.window).count() + m_policy.slack;
}

void RateLimiter::setTeams(const std::vector<Team>& teams)
{
    std::unordered_map<core::TeamId, Bucket> buckets;
    for (const Team& it : teams) {
        const auto known = m_buckets.find(it.id);
        Bucket bucket
            = known == m_buckets.end() ? Bucket { 0, capacityOf(it.guaranteedJobsPerSecond), {} } : known->second;
        bucket.rate = it.guaranteedJobsPerSecond;
        bucket.tokens = std::min(bucket.tokens, capacityOf(bucket.rate));
        buckets.emplace(it.id, bucket);
    }
    m_buckets = std::move(buckets);
}

double RateLimiter::tokensAt(const Bucket& it, core::TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - it.at).count();
    return std::min(it.tokens + it.rate * std::max(seconds, 0.0), capacityOf(it.rate));
}

bool RateLimiter::tryTake(const core::TeamId& team, core::TimePoint now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end() || found->second.rate <= 0)
        return true;
    Bucket& bucket = found->second;
    bucket.tokens = tokensAt(bucket, now);
    bucket.at = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

core::Duration RateLimiter::timeToNext(const core::TeamId& team, core::TimePoint now) const
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end() || found->second.rate <= 0)
        return core::Duration(0);
    const double missing = 1 - tokensAt(found->second, now);
    if (missing <= 0)
        return core::Duration(0);
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(missing / found->second.rate));
}

} // namespace sardinerun::teams

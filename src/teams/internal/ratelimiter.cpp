#include "teams/ratelimiter.h"

#include <algorithm>

namespace sardinerun::teams {

namespace {

//! Submissions of a team come in bursts. A bucket holds the jobs of this time, and a few more, so that a small team
//! with one job in some seconds may send several at once.
constexpr double burstSeconds = 2;
constexpr double minBurst = 3;

double capacityOf(double rate)
{
    return rate * burstSeconds + minBurst;
}

} // namespace

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

double RateLimiter::tokensAt(const Bucket& it, core::TimePoint now)
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

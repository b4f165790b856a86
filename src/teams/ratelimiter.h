#pragma once

#include "teams/teamtypes.h"

#include <unordered_map>

namespace sardinerun::teams {

//! How many jobs a team may submit at once, beside the rate that it may rely on.
struct RatePolicy {
    core::Duration window = std::chrono::seconds(2); //!< a bucket holds the jobs of this time
    double slack = 3; //!< and this many more, so that a small team may send several jobs at once
};

//! Token buckets that tell which jobs of a team are within the rate that it may rely on.
class RateLimiter {
public:
    explicit RateLimiter(RatePolicy policy = {})
        : m_policy(policy)
    {
    }

    //! Replaces the teams. A team whose rate is 0 has no limit.
    void setTeams(const std::vector<Team>& teams);
    //! Returns whether one more job is within the team's rate, and if so counts it.
    bool tryTake(const core::TeamId& team, core::TimePoint now);
    //! Returns the time until a job is within the rate if no other one is submitted; zero if one is now.
    core::Duration timeToNext(const core::TeamId& team, core::TimePoint now) const;

private:
    struct Bucket {
        double rate = 0; //!< tokens per second; 0: no limit
        double tokens = 0;
        core::TimePoint at {}; //!< when `tokens` was computed
    };
    double capacityOf(double rate) const;
    double tokensAt(const Bucket& it, core::TimePoint now) const;

    RatePolicy m_policy;
    std::unordered_map<core::TeamId, Bucket> m_buckets;
};

} // namespace sardinerun::teams

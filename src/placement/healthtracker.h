#pragma once

#include "placement/placementtypes.h"

#include <map>
#include <set>

namespace sardinerun::placement {

//! How workers that fail whatever they start are found.
struct HealthPolicy {
    std::size_t distinctJobs = 3; //!< jobs that failed on the worker in a row, without a success between
    int maxQuarantinedPercent = 25; //!< of the workers; a bad job must not quarantine the fleet
    core::Duration quarantineTime = std::chrono::seconds(30); //!< doubles each time, up to the maximum
    core::Duration maxQuarantineTime = std::chrono::minutes(10);
    core::Duration quickFailure = std::chrono::seconds(2); //!< a task that fails later is the job's own fault
};

//! Sets aside workers that fail everything, for a time that grows.
class HealthTracker {
public:
    explicit HealthTracker(HealthPolicy policy)
        : m_policy(policy)
    {
    }

    void onSuccess(const core::VmId& worker);
    //! A start failed, or a task failed soon after it; true when the worker is quarantined by this.
    bool onFailure(const core::VmId& worker, const core::JobId& job, core::Duration ran, std::size_t workerCount,
        core::TimePoint now);
    bool isQuarantined(const core::VmId& worker, core::TimePoint now) const;
    std::size_t quarantinedCount(core::TimePoint now) const;
    void forget(const core::VmId& worker) { m_workers.erase(worker); }

private:
    struct Record {
        std::set<core::JobId> failedJobs;
        int timesQuarantined = 0;
        core::TimePoint until {};
    };
    HealthPolicy m_policy;
    std::map<core::VmId, Record> m_workers;
};

} // namespace sardinerun::placement

#pragma once

#include "placement/placementtypes.h"

#include <map>
#include <set>

namespace sardinerun::placement {

//! Criteria for quarantining workers on which tasks of any job fail.
struct HealthPolicy {
    std::size_t distinctJobs = 3; //!< distinct jobs that failed on the worker without a success in between
    int maxQuarantinedPercent = 25; //!< of all workers; keeps a faulty job from quarantining the fleet
    core::Duration quarantineTime = std::chrono::seconds(30); //!< doubles each time, up to the maximum
    core::Duration maxQuarantineTime = std::chrono::minutes(10);
    core::Duration quickFailure = std::chrono::seconds(2); //!< later failures are attributed to the job
};

//! Quarantines workers on which every task fails, for increasing periods.
class HealthTracker {
public:
    explicit HealthTracker(HealthPolicy policy)
        : m_policy(policy)
    {
    }

    void onSuccess(const core::VmId& worker);
    //! Records a failed start or a failed task that ran for `runTime`. Returns true if this quarantines the worker.
    bool onFailure(const core::VmId& worker, const core::JobId& job, core::Duration runTime, std::size_t workerCount,
        core::TimePoint now);
    bool isQuarantined(const core::VmId& worker, core::TimePoint now) const;
    std::size_t quarantinedCount(core::TimePoint now) const;
    void removeWorker(const core::VmId& worker) { m_workers.erase(worker); }

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

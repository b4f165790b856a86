#pragma once

#include "placement/placementtypes.h"

#include <map>
#include <set>

namespace sardinerun::placement {

//! How workers that fail whatever they start are found.
struct HealthPolicy {
    std::size_t distinctJobs = 3; //!< jobs that failed on the worker in a row, without a success between
    int maxSetAsidePercent = 25; //!< of the workers; a bad job must not set aside the fleet
    core::Duration setAsideFor = std::chrono::seconds(30); //!< doubles each time, up to the maximum
    core::Duration maxSetAside = std::chrono::minutes(10);
    core::Duration quickFailure = std::chrono::seconds(2); //!< a task that fails later is the job's own fault
};

//! Sets aside workers that fail everything, for a time that grows.
class HealthBook {
public:
    explicit HealthBook(HealthPolicy policy)
        : m_policy(policy)
    {
    }

    void onSuccess(const core::VmId& worker);
    //! A start failed, or a task failed soon after it; true when the worker is set aside by this.
    bool onFailure(const core::VmId& worker, const core::JobId& job, core::Duration ran, std::size_t workerCount,
        core::TimePoint now);
    bool isSetAside(const core::VmId& worker, core::TimePoint now) const;
    std::size_t setAsideCount(core::TimePoint now) const;
    void forget(const core::VmId& worker) { m_workers.erase(worker); }

private:
    struct Record {
        std::set<core::JobId> failedJobs;
        int timesSetAside = 0;
        core::TimePoint until {};
    };
    HealthPolicy m_policy;
    std::map<core::VmId, Record> m_workers;
};

} // namespace sardinerun::placement

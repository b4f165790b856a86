#pragma once

#include "core/types.h"
#include "jobs/jobtypes.h"

#include <string>
#include <unordered_map>

namespace sardinerun::admission {

//! Estimates the run time of a workload's tasks from completed ones, since declared run times are inaccurate.
class RunTimeEstimator {
public:
    //! Records the run time of a completed task.
    void report(const std::string& workload, core::Duration declared, core::Duration observed);

    //! Returns the expected run time of a task: the declared one until enough tasks have ended.
    core::Duration expect(const std::string& workload, core::Duration declared) const;

    //! Records that a job of a class was admitted, with the expected run time of its tasks.
    void onAdmitted(jobs::Urgency urgency, core::Duration expected);
    //! Returns the mean expected run time over recently admitted jobs; zero before the first.
    core::Duration meanExpectedRunTime(jobs::Urgency urgency) const { return m_means[jobs::indexOf(urgency)]; }

private:
    struct RunTimeStats {
        double meanSeconds = 0;
        double deviationSeconds = 0;
        std::uint32_t count = 0;
    };
    std::unordered_map<std::string, RunTimeStats> m_workloads;
    jobs::ByUrgency<core::Duration> m_means {};
};

} // namespace sardinerun::admission

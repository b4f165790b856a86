#pragma once

#include "core/types.h"
#include "jobs/jobtypes.h"

#include <string>
#include <unordered_map>

namespace sardinerun::admission {

//! Learns how long tasks of a workload run, since declared run times are far off.
class RunTimeEstimator {
public:
    void report(const std::string& workload, core::Duration declared, core::Duration seen);

    //! Expected run time of a task; the declared one until enough tasks have ended.
    core::Duration expect(const std::string& workload, core::Duration declared) const;

    //! A task of a class was taken in, with its expected run time.
    void onTaken(jobs::Urgency urgency, core::Duration expected);
    //! Mean expected run time of what was taken in lately; zero before the first.
    core::Duration meanOf(jobs::Urgency urgency) const { return m_means[jobs::indexOf(urgency)]; }

private:
    struct Seen {
        double meanSeconds = 0;
        double deviationSeconds = 0;
        std::uint32_t count = 0;
    };
    std::unordered_map<std::string, Seen> m_workloads;
    jobs::ByUrgency<core::Duration> m_means {};
};

} // namespace sardinerun::admission

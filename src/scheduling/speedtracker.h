#pragma once

#include "core/types.h"

#include <map>
#include <string>

namespace sardinerun::scheduling {

//! How far a task got in some time.
struct ProgressSample {
    double share = 0; //!< of its work
    core::Duration took {};
    core::Duration estimate {}; //!< of the whole task
};

//! Finds workers that have turned slow, from how their tasks get on against what was estimated for them.
//!
//! Estimates may be far off, more so in some queues than in others. So a sample counts for as much as the estimates of
//! its queue are worth, and a worker counts as slow only once enough has come together.
class SpeedTracker {
public:
    void onProgress(
        const core::VmId& worker, const std::string& queue, const ProgressSample& sample, core::TimePoint now);
    bool isSlow(const core::VmId& worker, core::TimePoint now) const;
    //! How fast the worker is against the others; 1 while too little is known.
    double speedOf(const core::VmId& worker) const;
    void forget(const core::VmId& worker) { m_workers.erase(worker); }

private:
    //! Logarithms of work done against the estimate.
    struct Queue {
        double mean = 0;
        double variance = 0.5;
    };
    struct Record {
        double sum = 0; //!< of weighted logarithms
        double weight = 0;
        core::TimePoint at {}; //!< of the newest sample
    };
    static double decayOf(const Record& it, core::TimePoint now);

    std::map<std::string, Queue> m_queues;
    std::map<core::VmId, Record> m_workers;
};

} // namespace sardinerun::scheduling

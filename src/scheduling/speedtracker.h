#pragma once

#include "core/types.h"

#include <map>
#include <set>
#include <string>

namespace sardinerun::scheduling {

//! Progress of a task over an interval.
struct ProgressSample {
    double share = 0; //!< of its work, done within the interval
    core::Duration elapsed {}; //!< length of the interval
    core::Duration estimate {}; //!< of the run time of the whole task
};

//! Detects slow workers by comparing the progress of their tasks with the estimates.
//!
//! Estimates may be inaccurate, in some queues more than in others. Samples are therefore weighted by the accuracy of
//! their queue's estimates, and a worker counts as slow only once its samples have enough weight.
class SpeedTracker {
public:
    void onProgress(
        const core::VmId& worker, const std::string& queue, const ProgressSample& sample, core::TimePoint now);
    bool isSlow(const core::VmId& worker, core::TimePoint now) const;
    //! Returns the speed relative to the other workers; 1 while the samples have too little weight.
    double speedOf(const core::VmId& worker) const;
    void removeWorker(const core::VmId& worker);

private:
    //! Statistics of the logarithm of actual over estimated speed in one queue.
    struct QueueStats {
        double mean = 0;
        double variance = 0.5;
    };
    struct Record {
        double sum = 0; //!< of weighted logarithms
        double weight = 0;
        core::TimePoint at {}; //!< of the newest sample
    };
    static double decayOf(const Record& it, core::TimePoint now);
    static double speedOf(const Record& it);

    std::map<std::string, QueueStats> m_queues;
    std::map<core::VmId, Record> m_workers;
    //! Workers that were slow by their newest sample; all others are not slow. Usually there are none.
    std::set<core::VmId> m_slowWorkers;
};

} // namespace sardinerun::scheduling

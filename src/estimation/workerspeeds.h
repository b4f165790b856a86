#pragma once

#include "core/types.h"

#include <string>
#include <unordered_map>
#include <vector>

//! Estimation: what finished runs tell about the speeds of workers and the run times of tasks.
namespace sardinerun::estimation {

//! Logarithm of a speed relative to the mean of the fleet; 0 is as fast as the mean, 0.1 about a tenth faster.
using LogSpeed = core::Strong<struct LogSpeedTag, double>;

//! Run times of the finished tasks of one step, which differ less than those of other tasks.
class StepSample {
public:
    //! Mean of the logarithms of lengths on a worker of mean speed, and how much they differ.
    struct Summary {
        double mean = 0; //!< values far from the median count as nearer ones, as a few tasks take several times as long
        double deviation = 0; //!< from the median absolute deviation
    };

    //! Call only if `count` is not 0.
    Summary summary() const;
    std::size_t count() const { return m_count; }
    //! Returns the logarithm of the longest one. Call only if `count` is not 0.
    double longest() const { return m_longest; }
    void add(double length);

private:
    std::vector<float> m_newest; //!< logarithms of seconds, replaced in turn
    std::size_t m_count = 0;
    double m_longest = 0;
};

//! Learns how fast each worker is, from tasks of the same step that ran on different workers.
//!
//! Comparing only within a step keeps the lengths of tasks out of the speeds of workers. The estimate of a worker
//! shrinks towards the mean of its hardware type while it has few samples (empirical Bayes, Efron and Morris 1975).
class WorkerSpeeds {
public:
    //! Records a run that was completed from its beginning; `step` collects the runs of its step.
    void onCompleted(const core::VmId& worker, const std::string& hardware, core::Duration runTime, StepSample& step,
        core::TimePoint now);
    //! Returns the expected speed; 0 while nothing is known about the worker and its hardware type.
    LogSpeed speedOf(const core::VmId& worker, const std::string& hardware) const;
    void removeWorker(const core::VmId& worker) { m_workers.erase(worker); }

private:
    //! Weighted mean whose old samples lose weight.
    struct Average {
        double sum = 0;
        double weight = 0;
        core::TimePoint at {}; //!< of the newest sample

        void add(double value, double sampleWeight, core::TimePoint now);
        double shrunkTo(double prior, double priorWeight) const
        {
            return (sum + prior * priorWeight) / (weight + priorWeight);
        }
    };

    Average m_fleet; //!< of the deviations of all runs
    std::unordered_map<core::VmId, Average> m_workers;
    std::unordered_map<std::string, Average> m_hardware;
};

} // namespace sardinerun::estimation

#pragma once

#include "admission/admissiontypes.h"
#include "admission/runtimeestimator.h"
#include "admission/workqueue.h"

namespace sardinerun::admission {

//! A worker capacity that occurs in the fleet, and the number of workers that have it.
struct WorkerShape {
    core::Resources capacity;
    std::uint32_t count = 0;
};

//! State of the fleet and of the home partition at the time of a decision.
struct AdmissionContext {
    const std::vector<WorkerShape>* fleet = nullptr; //!< all workers, of all partitions
    core::Resources homeCapacity; //!< total capacity of the home partition's workers
    core::Resources waiting; //!< required by the home partition's waiting jobs of the job's class and more urgent ones
    core::Resources waitingOfClass; //!< required by the home partition's waiting jobs of the job's class
    double shareOfClass = 1; //!< share of the home partition that the class has or could get, 0 to 1
    core::Duration meanRunTimeOfClass {}; //!< mean expected run time of recently admitted tasks of the class
    core::WallTime now;
};

//! Decides on submission whether a job is accepted. A refusal costs no more than an acceptance.
class AdmissionControl {
public:
    explicit AdmissionControl(QueueLimits limits)
        : m_limits(limits)
    {
    }

    void setLimits(const QueueLimits& limits) { m_limits = limits; }

    //! Returns the reason to refuse the job, or nothing if it is accepted.
    std::optional<Refusal> refuse(const jobs::JobSpec& spec, const WorkQueue& queue, const RunTimeEstimator& runTimes,
        const AdmissionContext& context) const;

private:
    std::optional<Refusal> refuseBySize(const jobs::JobSpec& spec, const AdmissionContext& context) const;
    std::optional<Refusal> refuseByQueue(const jobs::JobSpec& spec, const WorkQueue& queue) const;
    std::optional<Refusal> refuseByDeadline(
        const jobs::JobSpec& spec, const RunTimeEstimator& runTimes, const AdmissionContext& context) const;

    std::optional<Refusal> refuseByWait(const jobs::JobSpec& spec, const AdmissionContext& context) const;

    QueueLimits m_limits;
};

} // namespace sardinerun::admission

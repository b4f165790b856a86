#pragma once

#include "admission/admissiontypes.h"
#include "admission/runtimeestimator.h"
#include "admission/workqueue.h"

namespace sardinerun::admission {

//! The largest that one worker can hold, for one shape of worker, and how many workers have it.
struct WorkerShape {
    core::Resources capacity;
    std::uint32_t count = 0;
};

//! What the admission control knows of the fleet and of the moment.
struct AdmissionContext {
    const std::vector<WorkerShape>* fleet = nullptr; //!< all workers, of all partitions
    core::Resources roomOfHome; //!< total of the home partition
    core::Resources waiting; //!< needed by all that waits in the home partition, in its class or a more urgent one
    core::Resources waitingOfClass; //!< needed by all of its class that waits in the home partition
    double shareOfClass = 1; //!< part of the home partition that its class has or could have, 0 to 1
    core::Duration runTimeOfClass {}; //!< of what waits in its class, on the mean
    core::WallTime now;
};

//! Decides at once whether a job is taken in. Costs no more for a job that is refused.
class AdmissionControl {
public:
    explicit AdmissionControl(QueueLimits limits)
        : m_limits(limits)
    {
    }

    void setLimits(const QueueLimits& limits) { m_limits = limits; }

    std::optional<Refusal> refuse(const jobs::JobSpec& spec, const WorkQueue& queue, const RunTimeEstimator& runTimes,
        const AdmissionContext& view) const;

private:
    std::optional<Refusal> refuseBySize(const jobs::JobSpec& spec, const AdmissionContext& view) const;
    std::optional<Refusal> refuseByQueue(const jobs::JobSpec& spec, const WorkQueue& queue) const;
    std::optional<Refusal> refuseByDeadline(
        const jobs::JobSpec& spec, const RunTimeEstimator& runTimes, const AdmissionContext& view) const;

    std::optional<Refusal> refuseByWait(const jobs::JobSpec& spec, const AdmissionContext& view) const;

    QueueLimits m_limits;
};

} // namespace sardinerun::admission

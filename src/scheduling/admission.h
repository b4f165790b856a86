#pragma once

#include "workflow/workflowtypes.h"

#include <optional>
#include <string>

namespace sardinerun::scheduling {

//! The workers that a queue may use.
struct FleetRoom {
    core::Resources largestWorker; //!< component-wise maximum over all of them
    std::int64_t workers = 0;
    double cores = 0; //!< in total, without unresponsive and quarantined workers
    double freeCores = 0; //!< of `cores`, those not in use
};

//! State of the fleet and the queues on which admission of a job depends.
struct AdmissionInputs : FleetRoom {
    std::size_t jobBytes = 0; //!< memory for all jobs that the leader holds
    double coreSecondsAhead = 0; //!< pending work that would start before this job
    double lateCoreSeconds = 0; //!< pending work of jobs that can't meet their objective any more; not ahead
    //! Pending gangs of more urgent queues, which start only when all of their tasks fit.
    double gangCoreSecondsAhead = 0;
    double tasksAhead = 0; //!< pending tasks that would start before this job
    //! Rate at which the leader can order starts, if it is what limits them now.
    std::optional<double> startsPerSecond;
    double higherPriorityStartsPerSecond = 0; //!< average rate at which tasks of more urgent work arrive
    double higherPriorityShare = 0; //!< average share of the cores that more urgent work uses
    core::Duration capWait {}; //!< expected wait for the cap of the job's team
    core::Duration adviceWait {}; //!< expected duration of an advice request of this queue
};

//! What a refused job lacked; the label `reason` of the metrics.
enum class RefusalCause {
    Room, //!< room or time of the fleet or the leader
    Cap, //!< room below the cap of its team
    Rate, //!< it is beyond the rate that its team may rely on
    Never, //!< it can never run
    Overload //!< processor time of the leader
};

const char* nameOf(RefusalCause it);

struct AdmissionRefusal {
    std::string reason;
    std::optional<core::Duration> retryAfter; //!< nothing: the job can never run
    RefusalCause cause = RefusalCause::Room;
};

//! Returns the estimated work of one occurrence in core-seconds.
double coreSecondsOf(const workflow::JobSpec& spec);
//! Returns the time from acceptance within which the job must end to count as in time.
core::Duration objectiveOf(const workflow::JobSpec& spec, const workflow::QueuePolicy& queue);
//! Returns the same for another length of the longest chain of steps than by their estimates.
core::Duration objectiveOf(
    const workflow::JobSpec& spec, const workflow::QueuePolicy& queue, core::Duration expectedChain);

//! Returns a refusal if no worker is large enough for the job or the job could not meet its objective.
std::optional<AdmissionRefusal> refusalOf(
    const workflow::JobSpec& spec, const workflow::QueuePolicy& queue, const AdmissionInputs& inputs);

} // namespace sardinerun::scheduling

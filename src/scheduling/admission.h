#pragma once

#include "workflow/workflowtypes.h"

#include <optional>
#include <string>

namespace sardinerun::scheduling {

//! What decides whether a job can be served in time.
struct AdmissionInputs {
    core::Resources largestWorker; //!< component by component, over the workers that the queue may use
    std::int64_t workers = 0;
    double cores = 0; //!< of those workers
    double freeCores = 0; //!< of those, not in use now
    double coreSecondsAhead = 0; //!< of work that waits and would come before this job
    double gangCoreSecondsAhead = 0; //!< of more urgent gangs that wait until there is room for all of their tasks
    double higherShare = 0; //!< of the cores that more urgent work takes on average
    core::Duration adviceWait {}; //!< until a question of this queue is answered
};

struct AdmissionRefusal {
    std::string reason;
    std::optional<core::Duration> retryAfter; //!< nothing: it can never be served
};

//! Expected work of one occurrence in core-seconds, by its estimates.
double coreSecondsOf(const workflow::JobSpec& spec);
//! When the job must be done to count as in time, from its acceptance.
core::Duration objectiveOf(const workflow::JobSpec& spec, const workflow::QueuePolicy& queue);

//! Refuses what no worker can hold, and what could not be done within its objective.
std::optional<AdmissionRefusal> refusalOf(
    const workflow::JobSpec& spec, const workflow::QueuePolicy& queue, const AdmissionInputs& view);

} // namespace sardinerun::scheduling

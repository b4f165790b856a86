#pragma once

#include "core/types.h"
#include "jobs/jobtypes.h"

#include <optional>
#include <string>

//! Admission: which jobs are accepted, which are refused on submission, and in which order accepted jobs start.
namespace sardinerun::admission {

//! A job with tasks that are waiting for a worker.
struct QueueItem {
    core::JobId job;
    core::TeamId team;
    jobs::Urgency urgency = jobs::Urgency::Normal;
    std::optional<core::WallTime> deadline;
    core::TimePoint since; //!< start of the wait
};

enum class RefusalReason {
    QueueFull, //!< the queue of the job's urgency class is full
    TeamQueueFull, //!< the team has its maximum of waiting jobs
    NeverFits, //!< exceeds the capacity of every worker or, for a gang, of all workers together
    DeadlineMissed, //!< expected to end after its deadline
    WaitTooLong, //!< expected to wait longer than its class allows
    StoreDown, //!< the job cannot be persisted now
    NotOwned, //!< this node does not own the home partition now
    ShuttingDown
};

const char* nameOf(RefusalReason it);

//! A definite refusal: no node has run the job, and none will.
struct Refusal {
    RefusalReason reason = RefusalReason::QueueFull;
    std::string detail;
    std::optional<core::Duration> retryAfter; //!< unset if a retry cannot succeed
};

//! Limits on the waiting jobs of one home partition.
struct QueueLimits {
    jobs::ByUrgency<std::uint32_t> jobs { 20'000, 20'000, 20'000 };
    std::uint32_t jobsPerTeam = 10'000;
    jobs::ByUrgency<core::Duration> maxWait {}; //!< maximum expected wait of a new job; zero for no limit
    bool operator==(const QueueLimits&) const = default;
};

} // namespace sardinerun::admission

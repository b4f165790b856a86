#pragma once

#include "core/types.h"
#include "jobs/jobtypes.h"

#include <optional>
#include <string>

//! Admission: what is taken in, what is refused at once, and in which order the rest starts.
namespace sardinerun::admission {

//! A job with tasks that wait for a worker.
struct QueueItem {
    core::JobId job;
    core::TeamId team;
    jobs::Urgency urgency = jobs::Urgency::Normal;
    std::optional<core::WallTime> deadline;
    core::TimePoint since;
};

enum class RefusalReason {
    QueueFull, //!< too much of this class waits already
    TeamQueueFull, //!< too much of this team waits already
    NeverFits, //!< no worker, or not enough workers, could ever hold it
    DeadlineMissed, //!< it could not end in time
    WaitTooLong, //!< it would wait longer than its class allows
    StoreDown, //!< it cannot be kept now
    NotOwned, //!< this node does not decide about it now
    ShuttingDown
};

const char* nameOf(RefusalReason it);

//! A true refusal: no node has run this work or ever will.
struct Refusal {
    RefusalReason reason = RefusalReason::QueueFull;
    std::string detail;
    std::optional<core::Duration> retryAfter; //!< nothing when trying again is useless
};

//! Bounds on what waits, for one home partition.
struct QueueLimits {
    jobs::ByUrgency<std::uint32_t> jobs { 20'000, 20'000, 20'000 };
    std::uint32_t jobsPerTeam = 10'000;
    jobs::ByUrgency<core::Duration> maxWait {}; //!< longest expected wait of a new job; zero: no limit
    bool operator==(const QueueLimits&) const = default;
};

} // namespace sardinerun::admission

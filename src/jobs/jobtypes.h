#pragma once

#include "core/types.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

//! Jobs as submitted, and the states of their tasks.
namespace sardinerun::jobs {

enum class JobKind {
    Batch, //!< tasks run to completion, independently of each other
    Service, //!< tasks run until the job is cancelled
    Gang //!< tasks start together or not at all
};

enum class Urgency { Urgent, Normal, Low };
constexpr std::size_t urgencyCount = 3;
constexpr std::array<Urgency, urgencyCount> allUrgencies { Urgency::Urgent, Urgency::Normal, Urgency::Low };

constexpr std::size_t indexOf(Urgency it)
{
    return static_cast<std::size_t>(it);
}

//! One value for each urgency, indexed by indexOf().
template <class Value> using ByUrgency = std::array<Value, urgencyCount>;

//! A job as submitted. Immutable once accepted.
struct JobSpec {
    core::JobId id;
    core::TeamId team;
    std::string workload; //!< estimates of run time and resource usage are learned for each workload
    JobKind kind = JobKind::Batch;
    Urgency urgency = Urgency::Normal;
    std::uint32_t taskCount = 1;
    core::Resources taskResources; //!< declared resources of one task
    core::Duration runTime {}; //!< declared run time of a task; zero for a service
    std::optional<core::WallTime> deadline; //!< time by which the last task must have ended
    std::uint32_t maxAttempts = 3;
    bool isRepeatable = true; //!< if false, a task that may have started is never started again

    bool operator==(const JobSpec&) const = default;
};

enum class TaskState {
    Waiting,
    Placing, //!< a partition has been asked to reserve room
    Running, //!< a worker runs it or may run it
    Succeeded,
    Failed,
    Cancelled,
    Unknown //!< it may have run, and is not started again since the job is not repeatable
};

constexpr bool isEnded(TaskState it)
{
    return it >= TaskState::Succeeded;
}

enum class JobState { Waiting, Running, Succeeded, Failed, Cancelled, Unknown };

constexpr bool isEnded(JobState it)
{
    return it >= JobState::Succeeded;
}

//! The state of a job that must survive a change of its owner.
struct JobSnapshot {
    JobSpec spec;
    core::WallTime acceptedAt;
    bool isCancelled = false;
    std::vector<TaskState> ended; //!< end state of each task by task index; Waiting if the task has not ended

    bool operator==(const JobSnapshot&) const = default;
};

//! State of a job as reported to callers, with the number of tasks in each state.
struct JobStatus {
    JobSpec spec;
    JobState state = JobState::Waiting;
    core::WallTime acceptedAt;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
    std::uint32_t cancelled = 0;
    std::uint32_t unknown = 0;
};

const char* nameOf(JobKind it);
const char* nameOf(Urgency it);
const char* nameOf(JobState it);
std::optional<JobKind> jobKindOf(std::string_view name);
std::optional<Urgency> urgencyOf(std::string_view name);

} // namespace sardinerun::jobs

#pragma once

#include "core/types.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

//! Jobs: what operators submit, and what is known of each of their tasks.
namespace sardinerun::jobs {

enum class JobKind {
    Batch, //!< tasks run to their end, each on its own
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

//! A value for each class of urgency.
template <class Value> using ByUrgency = std::array<Value, urgencyCount>;

//! What an operator asks for. Immutable once accepted.
struct JobSpec {
    core::JobId id;
    core::TeamId team;
    std::string workload; //!< name under which run times and sizes are learned
    JobKind kind = JobKind::Batch;
    Urgency urgency = Urgency::Normal;
    std::uint32_t taskCount = 1;
    core::Resources each; //!< declared need of one task
    core::Duration runTime {}; //!< declared; zero for a service
    std::optional<core::WallTime> deadline; //!< for the end of the last task
    std::uint32_t maxAttempts = 3;
    bool isRepeatable = true; //!< false: a task whose start may have happened never starts again

    bool operator==(const JobSpec&) const = default;
};

enum class TaskState {
    Waiting,
    Placing, //!< asked a partition for room
    Running, //!< a worker has it, or may have it
    Succeeded,
    Failed,
    Cancelled,
    Unknown //!< may have run; not repeatable, so it never runs again
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

//! Everything of a job that must outlive its owner.
struct JobSnapshot {
    JobSpec spec;
    core::WallTime acceptedAt;
    bool isCancelled = false;
    std::vector<TaskState> ended; //!< by task; Waiting for a task that has not ended

    bool operator==(const JobSnapshot&) const = default;
};

//! What a caller sees of a job.
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

#pragma once

#include "core/types.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

//! Workflows: jobs of steps that follow one another, the queues that take them, and how far each has come.
namespace sardinerun::workflow {

//! Tasks of one kind that may start once all steps before them are done.
struct StepSpec {
    std::uint32_t count = 1;
    core::Resources need; //!< of each task
    core::Duration estimate {}; //!< of a task's duration; may be far off
    std::vector<std::uint32_t> after; //!< numbers of earlier steps
    bool isGang = false; //!< the tasks work only together, and end together
    bool mustShareRack = false; //!< slower when its tasks lie on several racks
    std::string requiredLabel; //!< that a worker must have; empty: none
    std::string dataRack; //!< rack on which its data lies; slower elsewhere; empty: none
    std::uint32_t maxPerWorker = 0; //!< tasks of the step on one worker; 0: no limit
    bool savesCheckpoints = false;
    bool mayRunTwice = false; //!< copies may race, the first end counts
    bool isLongRunning = false; //!< runs until the job is cancelled
    std::string image; //!< what the tasks run; those of one image behave alike
    core::Duration latencyTarget {}; //!< of a task that serves users; 0: none
    bool usesLeftOverCpu = false; //!< its processors are not counted against a worker's room
    std::uint32_t maxUnavailable = 0; //!< tasks that the scheduler may make unavailable at a time; 0: no promise
};

struct JobSpec {
    core::JobId id;
    std::string payload; //!< handed to each task as it came
    std::vector<StepSpec> steps;
    std::uint32_t occurrences = 0; //!< times that the steps run; 0: once, and at once
    core::WallTime firstDueAt;
    core::Duration interval {}; //!< between the due times of two occurrences
};

//! What the advice service costs, for queues whose tasks may run on certain workers only.
struct AdvicePolicy {
    core::Duration perQuestion {};
    core::Duration perWorker {};
    core::Duration validity {}; //!< of a ticket

    core::Duration costOf(std::size_t workers) const { return perQuestion + perWorker * std::int64_t(workers); }
};

//! Policy of one queue.
struct QueuePolicy {
    std::string name;
    std::string host; //!< lower case
    std::string pathPrefix;
    core::ServiceId service; //!< whose workers run its tasks
    int priority = 0; //!< 0 comes first
    std::uint32_t maxAttempts = 1; //!< runs that end as failed, until the job has failed
    double stretch = 1; //!< objective: this many times the longest chain of work, and `latencyTarget` more
    core::Duration latencyTarget {};
    std::optional<AdvicePolicy> advice;

    bool takes(const std::string& calledHost, const std::string& path) const;
};

//! A service's pool of workers.
struct ServicePolicy {
    core::ServiceId name;
    bool workersEnforceCapacity = false; //!< they refuse what does not fit
    bool isSpare = false; //!< its machines are off
};

//! The operators' configuration of all queues.
struct QueueConfig {
    core::ConfigVersion version;
    std::vector<QueuePolicy> queues;
    std::map<core::ServiceId, ServicePolicy> services;

    //! The queue with the longest prefix of the path, on that host; nothing when there is none.
    const QueuePolicy* find(const std::string& host, const std::string& path) const;
    const QueuePolicy* findByName(const std::string& name) const;
};
using QueueConfigPtr = std::shared_ptr<const QueueConfig>;

enum class JobState { Pending, Running, Completed, Failed, Cancelled };

constexpr bool isFinal(JobState it)
{
    return it == JobState::Completed || it == JobState::Failed || it == JobState::Cancelled;
}

const char* nameOf(JobState it);

//! How far the tasks of one step of one occurrence have come.
struct StageProgress {
    std::vector<bool> done;
    //! Numbers of the runs of each task that have failed; of a gang, all stand with its first task. Their ends come
    //! in any order, and some twice, so a count would not do.
    std::vector<std::set<std::int64_t>> failedRuns;
};

//! What of a job must outlive the process that decides for it.
struct JobRecord {
    JobSpec spec; //!< steps are dropped once the job has ended
    QueuePolicy queue; //!< as it was when the job was accepted
    core::WallTime acceptedAt;
    JobState state = JobState::Pending;
    std::vector<StageProgress> stages; //!< occurrence by occurrence, step by step
};

//! Nothing done, nothing failed.
StageProgress untouchedStage(std::size_t tasks);
//! Steps times occurrences.
std::size_t stageCount(const JobSpec& spec);
//! Tasks of all occurrences.
std::size_t taskCount(const JobSpec& spec);
//! The longest chain of estimates through the steps of one occurrence.
core::Duration longestChain(const JobSpec& spec);

//! What a caller asks about a queue or one of its jobs.
enum class CallKind { Submit, Read, Cancel, CountPending };

struct WorkflowCall {
    CallKind kind = CallKind::Read;
    std::string host;
    std::string path; //!< selects the queue
    JobSpec spec; //!< of a submission; else only its id counts
    core::Duration timeout {}; //!< how long the caller waits
    core::ConfigVersion seen; //!< newest configuration that the asking node knows
};

enum class WorkflowOutcome {
    Accepted, //!< kept, and will run
    Refused, //!< never runs
    NoQueue,
    NoJob,
    Found,
    Cancelled,
    Counted,
    NotNow, //!< nothing was done; another node or a moment later may serve
    Uncertain //!< it may or may not have been done
};

const char* nameOf(WorkflowOutcome it);

struct WorkflowResult {
    WorkflowOutcome outcome = WorkflowOutcome::NotNow;
    JobState state = JobState::Pending;
    std::uint64_t pending = 0;
    core::Duration retryAfter {};
    std::string reason;
};

} // namespace sardinerun::workflow

#pragma once

#include "core/types.h"
#include "teams/keyring.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

//! Workflows: jobs of steps with dependencies, the queues that accept them, and the progress of each job.
namespace sardinerun::workflow {

//! Identical tasks that may start once all steps in `after` are done.
struct StepSpec {
    std::uint32_t count = 1;
    core::Resources need; //!< resources of each task
    core::Duration estimate {}; //!< estimated duration of a task; may be very inaccurate
    std::vector<std::uint32_t> after; //!< indexes of earlier steps that must be done first
    bool isGang = false; //!< the tasks start together or not at all, and end together
    bool mustShareRack = false; //!< the tasks run slower if they are spread over several racks
    std::string requiredLabel; //!< label that a worker must have; empty: none
    std::string dataRack; //!< rack that stores its data; tasks run slower on others; empty: none
    std::uint32_t maxPerWorker = 0; //!< tasks of the step on one worker; 0: no limit
    bool savesCheckpoints = false;
    bool mayRunTwice = false; //!< several copies of a task may run; the first to end counts
    bool isLongRunning = false; //!< runs until the job is cancelled
    std::string image; //!< program that the tasks run; tasks of one image have similar durations and load
    core::Duration latencyTarget {}; //!< latency target of a task that serves users; 0: none
    bool usesSpareCpu = false; //!< its CPU is not deducted from a worker's free capacity
    std::uint32_t maxUnavailable = 0; //!< maximum tasks that the scheduler may make unavailable at a time; 0: no limit
};

struct JobSpec {
    core::JobId id;
    std::string payload; //!< passed unchanged to each task
    std::vector<StepSpec> steps;
    std::uint32_t occurrences = 0; //!< number of times that the steps run; 0: once, immediately
    core::WallTime firstDueAt;
    core::Duration interval {}; //!< between the due times of two occurrences
};

//! Cost of the advice service, for queues whose tasks may run on certain workers only.
struct AdvicePolicy {
    core::Duration perRequest {};
    core::Duration perWorker {};
    core::Duration validity {}; //!< how long a ticket is valid

    core::Duration costOf(std::size_t workers) const { return perRequest + perWorker * std::int64_t(workers); }
};

struct QueuePolicy {
    std::string name;
    std::string host; //!< in lower case
    std::string pathPrefix;
    core::ServiceId service; //!< service whose workers run its tasks
    int priority = 0; //!< 0 is scheduled first
    std::uint32_t maxAttempts = 1; //!< failed runs of one task after which the job fails
    double stretch = 1; //!< the objective is this multiple of the critical path plus `latencyTarget`
    core::Duration latencyTarget {};
    std::optional<AdvicePolicy> advice;
    bool isPublic = true; //!< callers need no key

    bool matches(const std::string& calledHost, const std::string& path) const;
};

//! A service's pool of workers.
struct ServicePolicy {
    core::ServiceId name;
    bool workersEnforceCapacity = false; //!< the workers reject tasks that exceed their capacity
    bool isSpare = false; //!< its machines are powered off
};

//! The operators' configuration of all queues.
struct QueueConfig {
    core::ConfigVersion version;
    std::vector<QueuePolicy> queues;
    std::map<core::ServiceId, ServicePolicy> services;
    std::vector<teams::Team> teams;
    teams::KeyRing keys; //!< of all teams
    std::string document; //!< text from which it was decoded, for other nodes

    //! Returns the queue on that host with the longest matching path prefix; null if there is none.
    const QueuePolicy* find(const std::string& host, const std::string& path) const;
    const QueuePolicy* findByName(const std::string& name) const;
    //! Returns null if there is no such team.
    const teams::Team* findTeam(const core::TeamId& id) const;
};
using QueueConfigPtr = std::shared_ptr<const QueueConfig>;

enum class JobState { Pending, Running, Completed, Failed, Cancelled };

constexpr bool isFinal(JobState it)
{
    return it == JobState::Completed || it == JobState::Failed || it == JobState::Cancelled;
}

const char* nameOf(JobState it);

//! The failed runs of one task. Its size is bounded, whatever the number of failures.
//!
//! Ends arrive in any order and sometimes twice, so the numbers of the newest runs are recorded. Older ones are
//! counted: a run that is older than all recorded ones counts as known.
class FailedRuns {
public:
    static constexpr std::size_t maxRecorded = 16; //!< runs whose numbers are recorded

    //! Records a failed run; returns false if it is known.
    bool insert(std::int64_t run);
    //! Adds older runs whose numbers are no longer recorded.
    void setOlder(std::uint32_t count) { m_older = std::max(m_older, count); }
    std::size_t size() const { return m_older + m_recorded.size(); }
    const std::set<std::int64_t>& recorded() const { return m_recorded; }
    std::uint32_t older() const { return m_older; }
    bool operator==(const FailedRuns&) const = default;

private:
    std::set<std::int64_t> m_recorded;
    std::uint32_t m_older = 0;
};

//! Progress of the tasks of one step in one occurrence.
struct StageProgress {
    std::vector<bool> done;
    std::vector<FailedRuns> failedRuns; //!< of each task; those of a gang are recorded for its first task
};

//! What runs occupy.
struct Occupation {
    core::Resources room; //!< on their workers
    core::MilliCpu spareCpu; //!< beyond the workers' sizes

    core::Resources total() const { return { room.cpu + spareCpu, room.memory, room.accelerators }; }
    Occupation operator+(const Occupation& other) const { return { room + other.room, spareCpu + other.spareCpu }; }
    Occupation operator-(const Occupation& other) const { return { room - other.room, spareCpu - other.spareCpu }; }
    Occupation operator*(std::int64_t n) const { return { room * n, spareCpu * n }; }
};

//! The state of a job that must outlive the leader.
struct JobRecord {
    JobSpec spec; //!< the steps are deleted once the job has ended
    QueuePolicy queue; //!< as it was when the job was accepted
    core::TeamId team; //!< that submitted it; empty: none
    core::Resources cap; //!< of the team when the job was accepted, for a leader whose configuration has no such team
    bool isExcess = false; //!< submitted beyond the rate that the team may rely on
    core::WallTime acceptedAt;
    JobState state = JobState::Pending;
    std::vector<StageProgress> stages; //!< ordered by occurrence, then by step
    Occupation left; //!< by runs that may have gone on when the job ended
};

//! Returns the progress of a stage of which no task is done or has failed.
StageProgress initialProgress(std::size_t tasks);
//! Returns the memory of a step, with what it refers to.
std::size_t bytesOf(const StepSpec& it);
//! Returns the number of steps times the number of occurrences.
std::size_t stageCount(const JobSpec& spec);
//! Returns the number of tasks in all occurrences.
std::size_t taskCount(const JobSpec& spec);
//! Returns the longest sum of estimates along the dependencies of the steps of one occurrence.
core::Duration criticalPath(const JobSpec& spec);
//! Returns the same for other lengths of the steps than their estimates.
core::Duration criticalPath(const JobSpec& spec, const std::vector<core::Duration>& lengths);

//! Kinds of calls about a queue or one of its jobs.
enum class CallKind { Submit, Read, Cancel, CountPending };

struct WorkflowCall {
    CallKind kind = CallKind::Read;
    std::string host;
    std::string path; //!< selects the queue
    JobSpec spec; //!< the submitted job; other calls use only its id
    core::Duration timeout {}; //!< how long the caller waits
    core::TeamId team; //!< of the caller; empty: none
    teams::KeyDigest key; //!< shown by the caller; empty: none
    core::ConfigVersion knownConfig; //!< newest configuration known to the requesting node
};

enum class WorkflowOutcome {
    Accepted, //!< persisted, and will run
    Refused, //!< rejected by admission; `retryAfter` 0: the job can never run
    NoQueue,
    NoJob,
    Found,
    Cancelled,
    Counted,
    NotNow, //!< nothing was done; a retry later or at another node may succeed
    Uncertain, //!< the call may or may not have taken effect
    NoKey, //!< nothing was done, as the caller has shown no valid key
    OtherTeam //!< nothing was done, as the job belongs to another team
};

const char* nameOf(WorkflowOutcome it);

struct WorkflowResult {
    WorkflowOutcome outcome = WorkflowOutcome::NotNow;
    JobState state = JobState::Pending;
    std::uint64_t pending = 0;
    core::Duration retryAfter {};
    std::string reason;
};

//! Returns a result without further details.
WorkflowResult answerOf(WorkflowOutcome outcome, std::string reason = "");

} // namespace sardinerun::workflow

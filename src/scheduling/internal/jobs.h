#pragma once

#include "estimation/workerspeeds.h"
#include "fleet/fleettypes.h"
#include "lead/leaderlog.h"
#include "scheduling/internal/worker.h"
#include "scheduling/reservation.h"
#include "scheduling/workahead.h"
#include "store/storetypes.h"
#include "workflow/workflowcodec.h"
#include "workflow/workflowtypes.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_set>
#include <vector>

namespace sardinerun::scheduling {

//! One task of one occurrence.
struct TaskProgress {
    enum class State { Pending, Live, Done };
    State state = State::Pending;
    fleet::RunNumber run; //!< newest run
    core::VmId worker; //!< of the newest run
    std::string checkpoint; //!< newest one reported
    core::VmId avoidedWorker; //!< worker on which its last run failed, hung or was slow
    int suspicions = 0; //!< how often a run of it was stopped as it seemed to hang
    core::VmId suspectedWorker; //!< on which a run seemed to hang, until this is confirmed or refuted
    core::Duration suspectedAfter {}; //!< time without progress of that run
    std::uint32_t orphanedRuns = 0; //!< runs that were not adopted and have not ended yet

    bool mayStart() const { return state == State::Pending && orphanedRuns == 0; }
};

struct IssuedTicket {
    std::string text;
    core::TimePoint validUntil {};
};

//! Results of the advice requests for one step.
struct AdviceState {
    std::map<core::VmId, IssuedTicket> tickets;
    std::unordered_set<core::VmId> denied; //!< workers on which the step may never run
    std::size_t openRequests = 0;
    std::unordered_set<core::VmId> requested; //!< workers that the open requests name
    core::TimePoint nextRequestAt {};
    core::TimePoint checkMoreAt {}; //!< when to check again whether more requests are needed beside the open ones
};

//! One step of one occurrence.
struct Stage {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<TaskProgress> tasks;
    std::size_t pending = 0;
    std::size_t live = 0;
    std::size_t done = 0;
    //! A run of it was lost without a report of its end, so a later leader may know more about it.
    bool restsOnSilence = false;
    bool isOpen = false; //!< the steps before it are done and its occurrence is due
    core::TimePoint openedAt {};
    core::TimePoint notBefore {}; //!< earliest next start after a failure
    core::TimePoint waitsForCapSince {}; //!< its team's cap leaves too little for the gang; zero if it does not wait
    core::TimePoint tryAgainAt {}; //!< when to evaluate it again after it could not start
    fleet::RunNumber newestRun;
    bool isBeingStopped = false; //!< all members of the gang are being stopped
    AdviceState advice;
    //! Room reserved for the gang in a recent round.
    std::optional<Reservation> reservation;
    core::TimePoint reservedAt {};
    core::Duration reservationCost {}; //!< time that it took to compute
    estimation::StepSample runTimes; //!< of its tasks that are done

    bool isDone() const { return done == tasks.size(); }
    //! Returns whether all live members of the gang have this run number.
    bool isGangRun(fleet::RunNumber run) const;
    //! Returns the number of tasks that may start now.
    std::size_t startable() const;
};

//! Expected run times of the tasks of a step.
struct StepExpectation {
    core::Duration median {};
    core::Duration longest {}; //!< of the tasks of the step, which its chain consists of
    core::Duration mean {}; //!< longer, as a few tasks take several times as long
};

//! A job, from its submission until its retention period has passed.
struct Job {
    workflow::JobRecord record;
    std::vector<Stage> stages;
    std::size_t tasks = 0; //!< of all stages
    std::size_t bytes = 0; //!< memory for it until it ends
    workflow::Occupation occupied; //!< by its runs that count towards its team's cap
    //! Stages that may have something to do lie from `firstUndone` to `openedEnd`. A scheduled job has many others.
    std::size_t firstUndone = 0; //!< all stages before this index are done
    std::size_t openedEnd = 0; //!< no stage from this index on was opened
    core::TimePoint acceptedAt {};
    core::TimePoint objectiveAt {}; //!< a job that ends later counts as late
    std::vector<StepExpectation> expected; //!< by step; the declared estimates until something is learned
    //! State that is reported to callers; final states are reported only once persisted.
    workflow::JobState visibleState = workflow::JobState::Pending;
    bool isPersisted = false; //!< its record is in the store, so the job is accepted
    bool isRecovered = false; //!< from a former term; runs of it may be unknown until all workers have answered
    bool hasStarted = false; //!< the start of a task was confirmed
    core::TimePoint endedAt {};
    lead::LogRevision endRevision; //!< revision that persists its final state
    std::set<workflow::FailureBlock> failureRows; //!< stored rows of failed runs
    //! Callers that wait for its acceptance.
    std::vector<std::function<void(const workflow::WorkflowResult&)>> submitCallbacks;
    //! Callers that have asked for its state just before it ends; null once answered.
    std::vector<std::shared_ptr<std::function<void(const workflow::WorkflowResult&)>>> heldReads;

    std::size_t indexOf(const Stage& it) const { return it.occurrence * record.spec.steps.size() + it.step; }
    //! Records that a task of the job has started.
    void setStarted();
    const workflow::StepSpec& stepOf(const Stage& it) const { return record.spec.steps[it.step]; }
    const StepExpectation& expectationOf(const Stage& it) const { return expected[it.step]; }
    Stage* find(const fleet::TaskId& task);
    bool hasEnded() const { return workflow::isFinal(record.state); }
    void skipDoneStages();
    //! Frees what is not needed any more once the final state is persisted: answers to later calls need only the state.
    void releaseDetails();
    //! Returns the pending work of the occurrences that are due.
    PendingWork pendingWork() const;
    //! Returns the expected work of one occurrence in core-seconds.
    double expectedCoreSeconds() const;
    //! Returns the expected time of the longest chain of steps of one occurrence.
    core::Duration expectedChain() const;
    //! Returns the expected time of the longest chain of steps that are not done.
    core::Duration remainingChain() const;
    //! Returns the latest start of its remaining steps that is expected to meet its objective.
    core::TimePoint startBy() const { return objectiveAt - remainingChain(); }
};

//! Returns whether a late job, from this latest start on, can't end any more while callers still use its result.
bool isOutOfUse(const Job& job, core::TimePoint startBy, core::TimePoint now);

//! Returns whether a job with this objective and this latest start can't meet the objective any more.
bool isTooLate(core::TimePoint startBy, core::TimePoint objectiveAt, core::TimePoint now);

//! Builds the runtime state from a stored record.
Job makeJob(workflow::JobRecord record);

//! Returns the room that a task of this step occupies on a worker.
core::Resources roomOf(const workflow::StepSpec& step);
//! Returns what a task of this step occupies.
workflow::Occupation occupationOf(const workflow::StepSpec& step);
//! Returns the number of cores that all tasks of this step occupy.
double coresOf(const workflow::StepSpec& step);

//! Key of the row with the constant part of a job.
store::RowKey jobKey(const core::JobId& id);
//! Key of the row with the progress and the final state of a job.
store::RowKey progressKey(const core::JobId& id);
//! Key of the row with the failed runs of a block of tasks.
store::RowKey failuresKey(const core::JobId& id, workflow::FailureBlock block);
//! The job and the block of tasks that a key of failed runs names.
struct FailuresKeyParts {
    core::JobId job;
    workflow::FailureBlock block;
};
//! Returns nothing if the key was not made by `failuresKey`.
std::optional<FailuresKeyParts> parseFailuresKey(const store::RowKey& key);

} // namespace sardinerun::scheduling

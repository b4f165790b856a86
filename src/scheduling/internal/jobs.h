#pragma once

#include "fleet/fleettypes.h"
#include "lead/leaderlog.h"
#include "scheduling/internal/worker.h"
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
    enum class State { Waiting, Live, Done };
    State state = State::Waiting;
    fleet::RunNumber run; //!< newest
    core::VmId worker; //!< of the newest run
    std::string checkpoint; //!< newest known
    core::VmId avoided; //!< worker on which its last run failed
    std::uint32_t strays = 0; //!< former runs that are still being stopped

    bool mayStart() const { return state == State::Waiting && strays == 0; }
};

struct HeldTicket {
    std::string text;
    core::TimePoint validUntil {};
};

//! What is known of the advice for one step.
struct AdviceState {
    std::map<core::VmId, HeldTicket> tickets;
    std::unordered_set<core::VmId> denied; //!< this step may not run there, which does not change
    bool isAsked = false;
    core::TimePoint askAgainAt {};
};

//! One step of one occurrence.
struct Stage {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<TaskProgress> tasks;
    std::size_t waiting = 0;
    std::size_t live = 0;
    std::size_t done = 0;
    bool isOpen = false; //!< its turn has come
    core::TimePoint openedAt {};
    core::TimePoint notBefore {}; //!< a pause after a failure
    fleet::RunNumber newestRun;
    bool isBreakingUp = false; //!< a gang whose members are being stopped
    AdviceState advice;

    bool isDone() const { return done == tasks.size(); }
    //! Whether a member with this run belongs to the members that are live, if there are any.
    bool isGangRun(fleet::RunNumber run) const;
    //! Tasks that may be started now.
    std::size_t startable() const;
};

//! Work of a job that was not started yet, by its estimates.
struct WaitingWork {
    double coreSeconds = 0; //!< of tasks that start one by one
    double gangCoreSeconds = 0;
};

//! One job while it is not forgotten.
struct Job {
    workflow::JobRecord record;
    std::vector<Stage> stages;
    core::TimePoint acceptedAt {};
    core::TimePoint objectiveAt {}; //!< later than that, it counts as late
    workflow::JobState shown = workflow::JobState::Pending; //!< what callers are told: only what is kept
    bool isKept = false; //!< accepted for good
    bool isRecovered = false; //!< taken over; former runs may be unknown until all workers have answered
    bool hasStarted = false; //!< a task was started
    core::TimePoint endedAt {};
    lead::LogRevision endRevision; //!< with which its end is kept
    std::vector<std::function<void(const workflow::WorkflowResult&)>> submitters; //!< wait for its acceptance

    const workflow::StepSpec& stepOf(const Stage& it) const { return record.spec.steps[it.step]; }
    Stage* find(const fleet::TaskId& name);
    bool isOver() const { return workflow::isFinal(record.state); }
    WaitingWork waitingWork() const;
    //! Longest chain of estimates that is still to be done.
    core::Duration chainLeft() const;
};

//! Builds the runtime state for a record.
Job makeJob(workflow::JobRecord record);

//! Room that a task takes on a worker.
core::Resources roomOf(const workflow::StepSpec& step);

} // namespace sardinerun::scheduling

#pragma once

#include "core/types.h"

//! Scheduling decisions of the leader: which task of which workflow runs on which worker, and when.
namespace sardinerun::scheduling {

//! Timeouts and periods of the scheduler that do not depend on a queue's policy.
struct SchedulingTimes {
    core::Duration lease = std::chrono::seconds(5); //!< of the runs on a worker; extended by each lease renewal
    core::Duration longestLease = std::chrono::seconds(10); //!< maximum that workers grant, also to a former leader
    //! How long a worker may delay its reply until a run ends.
    core::Duration renewalWait = std::chrono::milliseconds(1000);
    core::Duration renewalRetryDelay = std::chrono::milliseconds(250); //!< after a lease renewal without an answer
    //! Minimum time after which the leader asks what became of an order without an answer; workers answer within a few
    //! milliseconds, and the time grows with that of the answers.
    core::Duration orderTimeout = std::chrono::milliseconds(220);
    //! How long the answer to an order or to a lease renewal is still accepted.
    core::Duration lateAnswerTimeout = std::chrono::milliseconds(3000);
    //! How long after the end of its lease the runs of a silent worker count as lost if it is still in the registry. It
    //! is alive then, and its report may show that they have ended.
    core::Duration listedWorkerGrace = std::chrono::milliseconds(1500);
    //! Replaces `listedWorkerGrace` while many workers are silent, as the cause may be this node.
    core::Duration isolationGrace = std::chrono::milliseconds(5000);
    //! Default and upper limit for the timeout of a caller.
    core::Duration callTimeout = std::chrono::milliseconds(2500);
    core::Duration stopGrace = std::chrono::milliseconds(900); //!< maximum time that a worker takes to stop a task
    core::Duration restoreTime = std::chrono::milliseconds(600); //!< extra time for a start from a checkpoint
    core::Duration gangTimeout = std::chrono::milliseconds(3000); //!< how long members of a gang wait for the others
    //! Remaining validity that a ticket needs at a start.
    core::Duration minTicketValidity = std::chrono::milliseconds(120);
    //! Time without progress after which a run counts as hung.
    core::Duration stallTimeout = std::chrono::milliseconds(1300);
    //! How long an unlisted worker is still used: entries that expired during a store outage
    //! reappear within two seconds of its return.
    core::Duration relistGrace = std::chrono::milliseconds(2300);
    core::Duration jobRetention = std::chrono::seconds(130); //!< how long ended jobs stay readable
};

//! Decisions that use what completed runs tell about run times and the speeds of workers, instead of the declared
//! estimates. docs/design/run-times.md says what each of them improves.
struct LearnedUses {
    bool admission = false; //!< whether a new job would end in time
    bool order = false; //!< objective and expected chain of accepted jobs
    bool workAhead = false; //!< core-seconds of pending work
    bool reservations = true; //!< when running tasks end
    bool speeds = true; //!< which work gets the fast workers
    bool hungRuns = true; //!< how long a run may stand still

    static LearnedUses none() { return { false, false, false, false, false, false }; }
    static LearnedUses all() { return { true, true, true, true, true, true }; }
};

//! Maximum relative difference between the rates of two steady clocks.
constexpr double clockTolerance = 0.02;

} // namespace sardinerun::scheduling

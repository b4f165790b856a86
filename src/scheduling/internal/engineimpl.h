#pragma once

#include "codec/json.h"
#include "placement/healthtracker.h"
#include "scheduling/admission.h"
#include "scheduling/advicecandidates.h"
#include "scheduling/cpulimiter.h"
#include "scheduling/engine.h"
#include "scheduling/headroom.h"
#include "scheduling/internal/engineparts.h"
#include "scheduling/internal/fleetview.h"
#include "scheduling/internal/jobestimates.h"
#include "scheduling/internal/teamreports.h"
#include "scheduling/placer.h"
#include "scheduling/reservation.h"
#include "scheduling/retrypacer.h"
#include "scheduling/roomhold.h"
#include "scheduling/speedtracker.h"
#include "scheduling/workahead.h"
#include "teams/ratelimiter.h"
#include "teams/retryschedule.h"
#include "teams/usageledger.h"

#include <array>
#include <deque>
#include <unordered_map>

namespace sardinerun::scheduling {

class EngineImpl : public Engine, public std::enable_shared_from_this<EngineImpl> {
public:
    EngineImpl(EngineDependencies dependencies, const lead::WonElection& won, EngineHooks hooks);
    EngineImpl(const EngineImpl&) = delete;
    EngineImpl& operator=(const EngineImpl&) = delete;
    //! Answers the calls that certainly had no effect; the outcome of the others is uncertain.
    ~EngineImpl() override;

    void start() override;
    void setConfig(workflow::QueueConfigPtr config) override;
    void setWorkers(const std::vector<fleet::WorkerEntry>& entries) override;
    void handle(const workflow::WorkflowCall& call, AnswerCallback callback) override;
    void release(bool isOverloaded, std::function<void()> done) override;
    void setLoopLateness(core::Duration lateness) override { m_loopLateness = lateness; }
    core::TimePoint authorityUntil() const override { return m_log->authorityUntil(); }
    void setUnreplacedUntil(core::TimePoint until) override { m_unreplacedUntil = until; }
    void setFormerLeaderGone() override;

private:
    using CallHandler = void (EngineImpl::*)(const workflow::WorkflowCall& call, const AnswerCallback& callback);
    struct DeferredCall {
        workflow::WorkflowCall call;
        AnswerCallback callback;
        core::TimePoint deadline {};
    };
    struct ArrivedWork {
        double coreSeconds = 0;
        double tasks = 0;
    };

    // Calls
    bool canAnswer(const workflow::WorkflowCall& call) const;
    void retryDeferredCalls();
    void submit(const workflow::WorkflowCall& call, const AnswerCallback& callback);
    //! Returns from which lateness of the loop's timers on new jobs of a priority are refused.
    core::Duration latenessLimitOf(int priority) const;
    void refuseUnderOverload(
        const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue, const AnswerCallback& callback);
    void answerDuplicate(Job& job, const AnswerCallback& callback);
    void accept(const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue, const AnswerCallback& callback);
    void onAccepted(const JobPtr& job);
    void onSubmitTimeout(const core::JobId& id);
    bool withdrawUnpersisted(const JobPtr& job, const char* why);
    core::Duration timeoutOf(const workflow::WorkflowCall& call) const;
    //! Returns the answer about a job that this leader does not know. A later leader may have accepted it.
    workflow::WorkflowResult answerUnknownJob() const;
    //! Returns the caller's team by the newest configuration. The node that took the call may know an older one.
    core::TeamId teamOf(const workflow::WorkflowCall& call) const;
    //! Returns why the caller may not ask about the job, or nothing if it may.
    std::optional<workflow::WorkflowOutcome> denialOf(const workflow::WorkflowCall& call, const JobPtr& job) const;
    //! Returns whether neither a configured queue nor the job's own queue accepts the path of the call.
    bool matchesNoQueue(const workflow::WorkflowCall& call, const JobPtr& job) const;
    void read(const workflow::WorkflowCall& call, const AnswerCallback& callback);
    //! Returns whether the state that callers see may be final within a few milliseconds.
    static bool mayEndSoon(const Job& job);
    //! Answers a read when the job's final state is visible, or after `duration`.
    void holdRead(const JobPtr& job, const AnswerCallback& callback, core::Duration duration);
    static void answerHeldReads(Job& job);
    void cancel(const workflow::WorkflowCall& call, const AnswerCallback& callback);
    void countPending(const workflow::WorkflowCall& call, const AnswerCallback& callback);
    AdmissionInputs admissionInputs(
        const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue, const workflow::JobSpec& expected);
    //! Returns a snapshot that is recent enough.
    AdmissionSnapshot& admissionSnapshot();
    void recordArrival(int priority, const ArrivedWork& work);
    //! Adds the pending work of all active jobs to a snapshot.
    void addPendingWork(AdmissionSnapshot& snapshot) const;

    // Teams
    //! Counts a run towards its team's cap until `uncountRun`.
    void countRun(const core::VmId& worker, const fleet::RunId& run, const CountedRun& counted);
    void uncountRun(const core::VmId& worker, const fleet::RunId& run);
    //! Counts what runs of an ended job may still occupy.
    void recallEndedJob(const Job& job);
    //! Teams that the newest configuration does not name keep the cap that is stored with their newest job.
    void recallCaps();
    //! Returns what pending tasks of a job may occupy if a former leader has started them.
    workflow::Occupation possibleRunsOf(const Job& job) const;
    //! Returns the size of the workers that may run something unnoticed; nothing if the size of one is unknown.
    std::optional<core::Resources> unheardRoom() const;
    //! Until the barrier is passed, tasks of recovered jobs may run on workers that have not listed their runs.
    void countPossibleRuns();
    std::uint32_t tasksWithinCap(const Job& job, const Stage& stage) const;
    //! Returns whether no task of the stage may start before others of its team have ended.
    bool waitsForCap(const Job& job, const Stage& stage) const;
    //! Removes the stages that would take what a gang of the same team has waited for.
    void leaveCapToGangs(std::vector<ReadyStage>& all, const std::vector<ReadyStage>& waitingGangs) const;
    //! Returns whether a task or gang of the job could never run within the team's cap.
    bool exceedsCap(const workflow::JobSpec& spec, const core::TeamId& team) const;
    //! Orders the stages of equal priority by the shares of their teams.
    void orderByShares(std::vector<ReadyStage>& all) const;
    static core::Resources pendingNeedOf(const Job& job);
    //! Returns the share of a team's pending work that its cap allows to start now. The rest delays no other team.
    double startableShareOf(const core::TeamId& team, const TeamWork& work) const;
    //! Returns how long a new job waits for its team's cap.
    core::Duration capWait(
        const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue, const TeamWork& pending) const;
    //! Returns whether a job beyond its team's rate would take room that others need.
    bool isFleetShort(const AdmissionInputs& inputs, const workflow::JobSpec& spec);
    //! Returns a refusal for the sake of other teams or of the team's cap, or nothing.
    std::optional<AdmissionRefusal> teamRefusalOf(
        const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue, const AdmissionInputs& inputs);
    //! Returns when the caller of a refused excess job may come back.
    core::Duration excessRetryAfter(const core::TeamId& team, int priority);
    void countRefusal(const workflow::QueuePolicy& queue, const core::TeamId& team, RefusalCause cause);
    void reportTeams();
    std::vector<CapWait> capWaits() const; //!< most cores first

    // Persistence
    lead::LogRevision persistProgress(Job& job);
    //! Persists that a task of the stage has failed.
    lead::LogRevision persistFailure(Job& job, std::size_t stage, std::size_t task);
    //! Persists in rows of their own the failures that were read from the row of the job's progress.
    void persistSeparateFailures(Job& job);
    //! Drops what waits for a write that the store has rejected for good. A job whose record it was is not accepted.
    void onWriteRejected(const lead::RejectedWrite& write);
    void whenPersisted(lead::LogRevision revision, std::function<void()> action);
    void onPersisted(lead::LogRevision revision);
    void onStoreAvailability(bool isUp);
    void endJob(const JobPtr& job, workflow::JobState state, const char* why);
    void removeExpiredJobs();

    // Recovery and workers
    //! Returns when the leases that former leaders may have extended are over for certain.
    core::TimePoint formerLeasesEnd(bool isFormerGone) const;
    void readTable(const std::string& table, const std::string& after);
    void applyRow(const std::string& table, const store::StoredRow& row);
    void applyProgress(const core::JobId& id, const std::string& value);
    void applyFailures(const store::RowKey& key, const std::string& value);
    //! Sets a job aside whose record cannot be read. Its callers are asked to retry, as it may be readable for another
    //! build.
    void holdUnreadable(const core::JobId& id, const char* event, const std::string& why);
    void onTablesRead();
    //! The roster is the persisted list of the workers that leaders have used; a new leader adds all of them.
    void loadRoster(const std::string& value);
    void addRosteredWorker(codec::ObjectReader reader);
    //! Takes over the rows of the roster that were read, and deletes those of a build that named them differently.
    void adoptRosterRows();
    void markRosterOutdated(const core::VmId& worker);
    //! Writes the rows of the roster with workers that were added or removed. Once for many workers, as it visits all.
    void persistRoster();
    void addWorker(const fleet::WorkerEntry& entry, bool isListed);
    //! Returns when to contact a worker that was just added.
    core::Duration firstContactDelay() const;
    WorkerHooks workerHooks();
    void removeDepartedWorkers(); //!< those that have left and have no runs
    void removeWorker(const core::VmId& id);
    //! Passes the barrier, and returns true, once no run of a former leader can be there unnoticed. Until then no task
    //! of a recovered job starts.
    bool tryPassBarrier(bool isLeadershipConfirmed = false);
    //! Asks whether this leader still leads, and tries to pass the barrier again then.
    void confirmBarrier();
    //! Logs that the barrier is passed, and each worker that counts as settled without having listed its runs.
    void logBarrier(core::TimePoint now) const;
    void stopPartialGangs();

    // Runs
    //! Returns whether so many workers are silent that the cause may be this node.
    bool isLeaderIsolated() const;
    bool mayExtendLeases() const;
    Adoption adopt(Worker& worker, const fleet::RunningRun& run);
    void onRunning(Worker& worker, const fleet::RunId& run);
    void onEnded(Worker& worker, const fleet::EndedRun& end, std::optional<core::Duration> runTime);
    void acknowledgeWhenPersisted(Worker& worker, fleet::EndNumber number, lead::LogRevision revision);
    //! Acknowledges the end of a run of an ended job once the job's final state is persisted.
    void acknowledgeWithJob(Worker& worker, fleet::EndNumber number, const JobPtr& job);
    void onRunTerminated(Worker& worker, const fleet::RunId& run, const RunTermination& termination);
    //! Returns whether the task's current run is this one on this worker.
    static bool isCurrentRun(const TaskProgress& task, const core::VmId& worker, const fleet::RunId& run);
    //! Ends a run that no report shows any more, once it is certain that no later leader knows more about it.
    void confirmLoss(const core::VmId& worker, const fleet::RunId& run, const RunTermination& termination);
    //! Makes a task ready to start again, whose current run is over.
    void endCurrentRun(const JobPtr& job, Stage& stage, const core::VmId& worker, const fleet::RunId& run,
        const RunTermination& termination);
    void onProgress(Worker& worker, const fleet::RunId& run, double share, core::Duration elapsed);
    void onReport(Worker& worker);
    void checkSlow(Worker& worker, const fleet::RunId& runId, const WorkerRun& run);
    //! Limits the CPU of tasks on spare CPU beside latency-sensitive tasks.
    void limitCpuBesideServing(Worker& worker);
    void checkStall(Worker& worker, const fleet::RunId& runId, const WorkerRun& run);
    //! A run that seems to hang counts as a failure of its worker if its run time is known, or the next run confirms
    //! it.
    void suspectWorker(
        const Worker& worker, const Job& job, Stage& stage, const fleet::RunId& runId, core::Duration sinceProgress);
    void checkSuspicion(const Job& job, TaskProgress& task, core::Duration runTime);
    void markDone(const JobPtr& job, Stage& stage, const fleet::EndedRun& end);
    void markTaskDone(Stage& stage, std::uint32_t index);
    //! Counts a failed run of a task, and ends the job if it was the last one that its queue allows.
    void countFailure(const JobPtr& job, Stage& stage, const fleet::EndedRun& end, const core::VmId& worker);
    //! Records where a run failed, so that the task and others avoid the worker.
    void noteFailedRun(const JobPtr& job, Stage& stage, const fleet::EndedRun& end, const core::VmId& worker);
    void stopGang(const JobPtr& job, Stage& stage);
    void stopLive(const Job& job, const Stage& stage);
    //! Opens the stages that are due and whose earlier steps are done.
    void openStages(const JobPtr& job);
    void openStage(Job& job, std::size_t index);
    bool isDue(const workflow::JobSpec& spec, std::uint32_t occurrence) const;
    JobPtr jobOf(const core::JobId& id) const;
    //! A job and one of its stages; the stage is null if the job is unknown or has ended.
    struct JobStage {
        JobPtr job;
        Stage* stage = nullptr;
    };
    JobStage findActive(const fleet::TaskId& task) const;

    // Placement
    void recordWaitingGangs(const std::vector<ReadyStage>& all);
    void buildFleetViews(core::TimePoint now);
    FleetView& fleetViewOf(const Job& job) { return m_fleetViews[job.record.queue.service]; }
    //! Returns the number of tasks of a step that may start without using the headroom for gangs.
    std::uint32_t startLimit(const ReadyStage& ready, const Demand& demand, core::TimePoint now);
    void scheduleRound();
    void runRound();
    std::vector<ReadyStage> readyStages(core::TimePoint now);
    //! Returns whether a start of the stage is not safe now, as a later leader may know of ends that this one does not.
    bool mayBeOutdated(const Job& job, const Stage& stage) const;
    //! Places the stages in order, within the time that a round may take.
    void placeStages(std::vector<ReadyStage>& all, core::TimePoint now);
    //! Returns false if no task was started.
    bool placeStage(const ReadyStage& ready, core::TimePoint now);
    //! Returns whether it is too early to evaluate a stage again that could not start.
    bool isLeftAlone(const ReadyStage& ready, core::TimePoint now);
    //! Starts tasks on workers that may run them; returns false if it started none.
    bool startWhereAllowed(const ReadyStage& ready, const Demand& demand, core::TimePoint now);
    static StageWorkers stageWorkersOf(const Job& job, const Stage& stage);
    //! Selects the workers that are candidates for a step.
    enum class CandidateFilter {
        Ticket, //!< workers with a valid ticket
        Allowed, //!< workers that advice has allowed, even if the ticket has expired
        NotDenied
    };
    std::vector<Candidate> candidatesFor(
        const Job& job, const Stage& stage, core::TimePoint now, CandidateFilter filter);
    Demand demandOf(const Job& job, const Stage& stage) const;
    //! Returns how much the speed of workers counts for a job: urgent work gets the fast ones.
    static double speedWeightOf(const Job& job);
    //! Learn from a run that was completed, and from one that goes on for much longer than expected.
    void learnFromRun(const Worker& worker, const fleet::RunId& runId, core::Duration runTime, Job& job, Stage& stage);
    void learnFromOverdue(Worker& worker, const fleet::RunId& runId, const WorkerRun& run);
    void requestAdvice(const ReadyStage& ready, core::TimePoint now, const std::optional<Reservation>& reservation);
    //! Selects the workers to name. An additional request names none for which tickets are valid or requested.
    std::vector<core::VmId> workersForAdvice(
        const ReadyStage& ready, core::TimePoint now, const std::optional<Reservation>& reservation, bool isAdditional);
    //! Returns the number of tasks of a step that may start neither on the workers with a valid ticket nor, as far as
    //! is expected, on those for which advice is requested.
    std::uint32_t tasksWithoutTicket(const ReadyStage& ready, core::TimePoint now);
    //! Returns whether one more request may be sent beside the open ones or the valid tickets.
    bool needsMoreAdvice(const ReadyStage& ready, core::TimePoint now);
    double allowedShareOf(const std::string& queue) const;
    //! Returns how long before the start of a gang its advice is requested.
    static core::Duration adviceLeadTime(const Job& job);
    bool needsAdvice(const ReadyStage& ready, core::TimePoint now) const;
    void updateAllowedShare(
        const Job& job, const AdviceState& known, const std::vector<core::VmId>& workers, const fleet::Advice& advice);
    void onAdvice(const JobPtr& job, std::size_t stageIndex, const std::vector<core::VmId>& workers,
        const core::TimePoint& requestedAt, const fleet::AdviceResult& result);
    void startTasks(const JobPtr& job, Stage& stage, const std::vector<core::VmId>& chosen);
    void startTask(const JobPtr& job, Stage& stage, std::uint32_t index, const core::VmId& worker, fleet::RunNumber run,
        const std::string& checkpoint);
    std::optional<Reservation> reservationFor(const ReadyStage& ready, core::TimePoint now);
    std::optional<Reservation> computeReservation(const ReadyStage& ready, core::TimePoint now);
    //! Returns the times at which room of a worker becomes free, earliest first.
    const std::vector<RoomEvent>& roomEvents(UsableWorker& usable) const;
    //! Returns when a run is expected to end; nothing if it does not end by itself.
    std::optional<core::Duration> remainingTime(
        const Worker& at, const fleet::RunId& runId, const WorkerRun& run) const;
    //! Reserves the room for a gang, unless it is kept idle for too long; the gang has its turn in any case.
    void holdRoom(const ReadyStage& ready, const Reservation& reservation, core::TimePoint now);
    void tick();

    // Backlog
    //! Once per second, records which steps wait after a round and how much room is free beside them.
    void reportBacklog(const std::vector<ReadyStage>& all, core::TimePoint now);
    Backlog backlogOf(const std::vector<ReadyStage>& all) const;
    void setBacklogMetrics(const Backlog& backlog);
    void logBacklog(const Backlog& backlog) const;
    void logWaitingGang(const ReadyStage& gang, core::TimePoint now);

    EngineDependencies m_dependencies;
    lead::WonElection m_won;
    EngineHooks m_hooks;
    lead::LeaderLogPtr m_log;
    workflow::QueueConfigPtr m_config;
    std::unordered_map<core::JobId, JobPtr> m_jobs;
    std::map<core::JobId, JobPtr> m_active; //!< jobs that have not ended
    std::map<core::VmId, WorkerPtr> m_workers;
    std::set<std::pair<core::VmId, fleet::RunId>> m_orphanedRuns; //!< runs that were not adopted and are being stopped
    std::multimap<lead::LogRevision, std::function<void()>> m_afterPersisted;
    std::deque<DeferredCall> m_deferredCalls; //!< calls that wait for the end of recovery or for a configuration
    std::deque<core::JobId> m_ended; //!< ended jobs, oldest first
    placement::HealthTracker m_health;
    core::Duration m_loopLateness {};
    OrderWindowPtr m_orderWindow = std::make_shared<OrderWindow>();
    std::map<std::string, double> m_allowedShare; //!< by queue: average share of the named workers that advice allows
    SpeedTracker m_speed;
    JobEstimates m_estimates;
    std::map<core::VmId, CpuLimiter> m_cpuLimiters; //!< of workers with tasks on spare CPU
    Headroom m_headroom;
    std::map<core::ServiceId, FleetView> m_fleetViews; //!< of the current round
    std::map<core::ServiceId, RoomHold> m_roomHolds;
    teams::UsageLedger m_usage;
    teams::RateLimiter m_rates;
    teams::RetrySchedule m_retrySchedule;
    std::map<std::pair<core::VmId, fleet::RunId>, CountedRun> m_countedRuns;
    //! By runs of ended jobs that may still go on; counts until the barrier is passed.
    std::map<core::TeamId, workflow::Occupation> m_leftByEndedJobs;
    std::unordered_map<core::TeamId, double> m_cpuSeconds; //!< estimated, of the counted runs of each team
    core::TimePoint m_roundAt {}; //!< start of the current round, when its authority was checked
    core::Duration m_roundCost {}; //!< duration of the last round
    bool m_isRoundCutShort = false; //!< the last round did not get to all work in time
    RetryPacer m_retryPacer;
    std::size_t m_lateStageOffset = 0; //!< number of late stages to skip, as former rounds have placed them
    core::Duration m_longestRound {}; //!< since the last report of the backlog
    core::TimePoint m_backlogReportedAt {};
    std::array<ArrivedWork, 8> m_arrivals {}; //!< moving average by priority, per second
    core::TimePoint m_arrivalsAt {}; //!< when the averages were last updated
    AdmissionSnapshot m_admissionSnapshot;
    std::optional<std::vector<fleet::WorkerEntry>> m_registryEntries; //!< content of the registry, once received
    std::vector<store::StoredRow> m_readProgress; //!< rows of the progress of jobs, until all tables are read
    std::vector<store::StoredRow> m_readFailures; //!< rows of failed runs, until all tables are read
    std::set<core::JobId> m_unreadableJobs;
    std::vector<store::StoredRow> m_readRoster; //!< rows of the roster, until all tables are read
    std::map<std::uint32_t, std::string> m_rosterRows; //!< values by number of the row, as last read or written
    std::set<std::uint32_t> m_outdatedRosterRows; //!< to be written by `persistRoster`
    core::TimePoint m_priorLeaseUntil {}; //!< leases of former leaders have expired by then
    core::TimePoint m_unreplacedUntil {}; //!< until then no other node gives orders, with or without authority
    core::TimePoint m_wonAt {};
    bool m_areTablesRead = false;
    bool m_isBarrierPassed = false;
    bool m_isBarrierPassedByTime = false; //!< some workers had not listed their runs
    bool m_isBarrierInQuestion = false; //!< it can be passed by time, and a confirmation of the leadership is awaited
    bool m_isRoundScheduled = false;
    bool m_isReleasing = false;
    bool m_isStopped = false;
};

} // namespace sardinerun::scheduling

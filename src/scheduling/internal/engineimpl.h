#pragma once

#include "placement/healthtracker.h"
#include "scheduling/admission.h"
#include "scheduling/advicecandidates.h"
#include "scheduling/cpulimiter.h"
#include "scheduling/engine.h"
#include "scheduling/headroom.h"
#include "scheduling/internal/fleetview.h"
#include "scheduling/internal/jobs.h"
#include "scheduling/internal/worker.h"
#include "scheduling/placer.h"
#include "scheduling/reservation.h"
#include "scheduling/speedtracker.h"

#include <array>
#include <deque>
#include <unordered_map>

namespace sardinerun::scheduling {

class EngineImpl : public Engine, public std::enable_shared_from_this<EngineImpl> {
public:
    EngineImpl(EngineDependencies dependencies, const lead::WonElection& won, EngineHooks hooks);

    void start() override;
    void setConfig(workflow::QueueConfigPtr config) override;
    void setWorkers(const std::vector<fleet::WorkerEntry>& entries) override;
    void handle(const workflow::WorkflowCall& call, Answered answered) override;
    void release(bool isOverloaded, std::function<void()> done) override;
    void setFormerLeaderGone() override;

private:
    using JobPtr = std::shared_ptr<Job>;
    using CallHandler = void (EngineImpl::*)(const workflow::WorkflowCall& call, const Answered& answered);
    struct HeldCall {
        workflow::WorkflowCall call;
        Answered answered;
        core::TimePoint until {};
    };
    //! A step whose tasks wait, with what decides its turn.
    struct Turn {
        JobPtr job;
        Stage* stage = nullptr;
        bool isLate = false;
        int priority = 0;
        core::TimePoint startBy {};
    };

    // Calls.
    bool mayAnswer(const workflow::WorkflowCall& call) const;
    void answerHeld();
    void submit(const workflow::WorkflowCall& call, const Answered& answered);
    void answerKnown(Job& job, const Answered& answered);
    void accept(const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue, const Answered& answered);
    void onAccepted(const JobPtr& job);
    void onSubmitPatienceOver(const core::JobId& id);
    bool withdrawUnkept(const JobPtr& job, const char* why);
    core::Duration patienceOf(const workflow::WorkflowCall& call) const;
    //! Neither a queue in force nor that of the job takes this path.
    bool isNowhere(const workflow::WorkflowCall& call, const JobPtr& job) const;
    void read(const workflow::WorkflowCall& call, const Answered& answered);
    void cancel(const workflow::WorkflowCall& call, const Answered& answered);
    void countPending(const workflow::WorkflowCall& call, const Answered& answered);
    AdmissionInputs intakeView(const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue) const;
    void noteArrival(int priority, double coreSeconds);

    // Keeping.
    lead::LogRevision keepProgress(Job& job);
    void whenKept(lead::LogRevision revision, std::function<void()> action);
    void onKept(lead::LogRevision revision);
    void onStore(bool isUp);
    void endJob(const JobPtr& job, workflow::JobState state, const char* why);
    void forgetOldJobs();

    // Recovery and workers.
    void readTable(const std::string& table, const std::string& after);
    void takeRow(const std::string& table, const store::StoredRow& row);
    void onTablesRead();
    void takeRoster(const std::string& value);
    void keepRoster();
    void addWorker(const fleet::WorkerEntry& entry, bool isListed);
    WorkerHooks workerHooks();
    void sweepWorkers(); //!< drops those that have left and run nothing
    void removeWorker(const core::VmId& id);
    bool isBarrierOver();
    void repairGangs();

    // Runs.
    Adoption adopt(Worker& worker, const fleet::RunningRun& run);
    void onRunning(Worker& worker, const fleet::RunId& run);
    void onEnded(Worker& worker, const fleet::EndedRun& end);
    void settleWhenKept(Worker& worker, fleet::EndNumber number, lead::LogRevision revision);
    //! An end of a job that is over may be forgotten once the job's end is kept.
    void settleWithJob(Worker& worker, fleet::EndNumber number, const JobPtr& job);
    void onOver(Worker& worker, const fleet::RunId& run, const RunOver& over);
    void onProgress(Worker& worker, const fleet::RunId& run, double share, core::Duration took);
    void onListed(Worker& worker);
    static core::Duration paceOf(const WorkerRun& run); //!< for one percent; 0 while it is not known
    void checkSlow(Worker& worker, const fleet::RunId& name, const WorkerRun& run);
    //! Holds back what uses left-over processors beside tasks that serve users.
    void paceBesideServing(Worker& worker);
    void checkStall(Worker& worker, const fleet::RunId& name, const WorkerRun& run);
    void markDone(const JobPtr& job, Stage& stage, const fleet::EndedRun& end);
    void markTaskDone(Stage& stage, std::uint32_t index);
    void countFailure(const JobPtr& job, Stage& stage, const fleet::EndedRun& end, const core::VmId& worker);
    void breakUp(const JobPtr& job, Stage& stage);
    void stopLive(const Job& job, const Stage& stage);
    void openStages(const JobPtr& job);
    JobPtr jobOf(const core::JobId& id) const;
    //! The step of a task, while its job is not over.
    struct Found {
        JobPtr job;
        Stage* stage = nullptr;
    };
    Found findLive(const fleet::TaskId& task) const;

    // Placing.
    void noteWaitingGangs(const std::vector<Turn>& all);
    void gatherFleets(core::TimePoint now);
    FleetView& fleetOf(const Job& job) { return m_fleets[job.record.queue.service]; }
    //! How many tasks of a step may start, so that it leaves free what it must.
    std::uint32_t mayStart(const Turn& turn, const Demand& demand, core::TimePoint now);
    void pumpSoon();
    void pump();
    std::vector<Turn> turns(core::TimePoint now);
    void placeStage(const Turn& turn, core::TimePoint now);
    //! Which workers count as candidates for a step.
    enum class Need {
        Ticket, //!< those with a ticket that is valid now
        Allowed, //!< those that advice has allowed, whether the ticket is valid or not
        NotDenied
    };
    std::vector<Candidate> candidatesFor(const Job& job, const Stage& stage, core::TimePoint now, Need need);
    Demand demandOf(const Job& job, const Stage& stage) const;
    void askAdvice(const Turn& turn, core::TimePoint now, const std::optional<Reservation>& reservation);
    std::vector<core::VmId> workersToName(
        const Job& job, const Stage& stage, core::TimePoint now, const std::optional<Reservation>& reservation);
    double goodShareOf(const std::string& queue) const;
    //! How long before the start of a gang its advice is asked for.
    static core::Duration adviceLeadOf(const Job& job);
    bool needsAdvice(const Turn& turn, core::TimePoint now) const;
    void learnGoodShare(
        const Job& job, const AdviceState& known, const std::vector<core::VmId>& named, const fleet::Advice& advice);
    void onAdvice(const JobPtr& job, std::size_t stage, const std::vector<core::VmId>& named,
        const core::TimePoint& askedAt, const fleet::AdviceResult& result);
    void startTasks(const JobPtr& job, Stage& stage, const std::vector<core::VmId>& chosen);
    void startTask(const JobPtr& job, Stage& stage, std::uint32_t index, const core::VmId& worker, fleet::RunNumber run,
        const std::string& checkpoint);
    std::optional<Reservation> reservationFor(const Turn& turn, core::TimePoint now);
    //! When room of a worker becomes free, soonest first.
    const std::vector<RoomEvent>& roomEvents(Usable& usable) const;
    core::Duration remainingOf(const fleet::RunId& name, const WorkerRun& run) const;
    void tick();

    EngineDependencies m_dependencies;
    lead::WonElection m_won;
    EngineHooks m_hooks;
    lead::LeaderLogPtr m_log;
    workflow::QueueConfigPtr m_config;
    std::unordered_map<core::JobId, JobPtr> m_jobs;
    std::map<core::JobId, JobPtr> m_active; //!< those that are not over
    std::map<core::VmId, WorkerPtr> m_workers;
    std::set<std::pair<core::VmId, fleet::RunId>> m_strays; //!< runs that were not ordered here and are being stopped
    std::set<core::VmId> m_rostered; //!< workers that a later leader will know of
    std::multimap<lead::LogRevision, std::function<void()>> m_afterKept;
    std::deque<HeldCall> m_held; //!< calls that wait for the recovery or for a configuration
    std::deque<core::JobId> m_ended; //!< in order of their end
    placement::HealthTracker m_health;
    std::map<std::string, double> m_goodShare; //!< by queue: workers that advice allows, of those named
    SpeedTracker m_speed;
    std::map<core::VmId, CpuLimiter> m_cpuLimiters; //!< of workers with tasks that use left-over processors
    Headroom m_headroom;
    std::map<core::ServiceId, FleetView> m_fleets; //!< in this round
    core::Duration m_roundCost {}; //!< of the last round
    std::array<double, 8> m_arrivals {}; //!< core-seconds a second by priority, decaying
    core::TimePoint m_arrivalsAt {};
    std::optional<std::vector<fleet::WorkerEntry>> m_entries; //!< the register, once it was read
    std::vector<std::pair<std::string, std::string>> m_readProgress; //!< key and value, until all is read
    std::string m_readRoster;
    core::TimePoint m_priorLeaseUntil {};
    core::TimePoint m_wonAt {};
    bool m_areTablesRead = false;
    bool m_isBarrierOver = false;
    bool m_isPumpSet = false;
    bool m_isReleasing = false;
    bool m_isOver = false;
};

} // namespace sardinerun::scheduling

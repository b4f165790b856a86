//! Scheduling rounds: order of the ready stages and placement of their tasks.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"

#include <algorithm>
#include <tuple>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

//! Events come in bursts, so the room that they free is assigned in one round.
constexpr core::Duration roundDelay = std::chrono::milliseconds(8);
//! Pause after a round, as a multiple of its duration.
constexpr int roundCostFactor = 3;
//! The same while work in time waits for the next round, as long as the loop's timers are hardly late.
constexpr int busyRoundCostFactor = 1;
constexpr core::Duration hardlyLate = std::chrono::milliseconds(20);
//! Time that a round spends on placing jobs that can be in time, and on late ones. With many hundred waiting steps in
//! a large fleet a round would take so long that the leader answers nobody meanwhile.
constexpr core::Duration roundBudget = std::chrono::milliseconds(20);
constexpr core::Duration lateRoundBudget = std::chrono::milliseconds(5);
//! Maximum number of gangs with reserved room, each of those in time and of the late ones; more reservations would
//! leave too little room for other work.
constexpr std::size_t maxReservingGangs = 1;

std::map<core::VmId, std::uint32_t> tasksByWorker(const Stage& stage)
{
    std::map<core::VmId, std::uint32_t> counts;
    for (const TaskProgress& it : stage.tasks) {
        if (it.state == TaskProgress::State::Live)
            ++counts[it.worker];
    }
    return counts;
}

//! Returns the workers that pending tasks of the stage avoid after an unsuccessful run.
std::set<core::VmId> avoidedBy(const Stage& stage)
{
    std::set<core::VmId> workers;
    for (const TaskProgress& it : stage.tasks) {
        if (it.state == TaskProgress::State::Pending && !it.avoidedWorker.value().empty())
            workers.insert(it.avoidedWorker);
    }
    return workers;
}

} // namespace

void EngineImpl::scheduleRound()
{
    if (m_isStopped || std::exchange(m_isRoundScheduled, true))
        return;
    // The delay grows with the cost of a round, so rounds take only a fraction of the loop's time in large fleets.
    const bool isBusy = m_isRoundCutShort && m_loopLateness < hardlyLate;
    const core::Duration pause = m_roundCost * (isBusy ? busyRoundCostFactor : roundCostFactor);
    m_dependencies.loop->callAfter(std::max(roundDelay, pause), [self = weak_from_this()] {
        const auto it = self.lock();
        if (!it)
            return;
        it->m_isRoundScheduled = false;
        it->runRound();
    });
}

void EngineImpl::runRound()
{
    const core::TimePoint now = m_dependencies.loop->now();
    if (m_isStopped || m_isReleasing || !m_areTablesRead || !m_registryEntries || !m_config
        || now >= m_log->authorityUntil())
        return;
    m_roundAt = now;
    tryPassBarrier();
    buildFleetViews(now);
    countPossibleRuns();
    std::vector<ReadyStage> all = readyStages(now);
    recordWaitingGangs(all);
    m_retryPacer.setWaiting(all.size());
    placeStages(all, now);
    m_roundCost = m_dependencies.loop->now() - now;
    m_longestRound = std::max(m_longestRound, m_roundCost);
    reportBacklog(all, now);
}

void EngineImpl::placeStages(std::vector<ReadyStage>& all, core::TimePoint now)
{
    const auto place = [&](auto first, auto last, core::Duration budget) {
        core::TimePoint at = m_dependencies.loop->now();
        const core::TimePoint until = at + budget;
        for (auto it = first; it != last; ++it) {
            if (isLeftAlone(*it, now))
                continue;
            const bool hasStarted = placeStage(*it, now);
            const core::TimePoint endedAt = m_dependencies.loop->now();
            if (!hasStarted) {
                m_retryPacer.onFailed(endedAt - at);
                it->stage->tryAgainAt = endedAt + m_retryPacer.pause();
            }
            at = endedAt;
            if (at >= until)
                return std::next(it);
        }
        return last;
    };
    const auto late = std::find_if(all.begin(), all.end(), [](const ReadyStage& it) { return it.isLate; });
    m_isRoundCutShort = place(all.begin(), late, roundBudget) != late;
    if (m_isRoundCutShort)
        m_orderWindow->onLimited(now); // the processor is what limits the starts
    if (late == all.end())
        return;
    // The first late gang may have room reserved, so it has its turn in each round. The others take turns.
    const auto others = std::next(late);
    const auto count = std::distance(others, all.end());
    if (count > 0)
        std::rotate(others, others + std::ptrdiff_t(m_lateStageOffset) % count, all.end());
    const auto placedUpTo = place(late, all.end(), lateRoundBudget);
    m_lateStageOffset = placedUpTo == all.end() ? 0 : m_lateStageOffset + std::size_t(placedUpTo - late);
}

std::vector<ReadyStage> EngineImpl::readyStages(core::TimePoint now)
{
    std::vector<ReadyStage> all;
    std::vector<ReadyStage> waitingForCap; // gangs
    for (const auto& [id, job] : m_active) {
        if (job->isRecovered && !m_isBarrierPassed)
            continue;
        std::optional<core::TimePoint> startBy; // computed only for jobs with a ready stage
        for (std::size_t n = job->firstUndone; n < job->openedEnd; ++n) {
            Stage& stage = job->stages[n];
            if (!stage.isOpen || stage.pending == 0 || now < stage.notBefore || mayBeOutdated(*job, stage))
                continue;
            const bool isGang = job->stepOf(stage).isGang;
            const std::size_t startable = stage.startable();
            if (startable == 0 || (isGang && (stage.live > 0 || startable < stage.pending)))
                continue;
            const bool isWaiting = waitsForCap(*job, stage); // it holds back no other team
            if (isWaiting && !isGang)
                continue;
            if (!isWaiting)
                stage.waitsForCapSince = {};
            else if (stage.waitsForCapSince == core::TimePoint())
                stage.waitsForCapSince = now;
            if (!startBy)
                startBy = job->startBy();
            const bool isExcess = job->record.isExcess;
            (isWaiting ? waitingForCap : all)
                .push_back({ job, &stage, isExcess || isTooLate(*startBy, job->objectiveAt, now), isExcess,
                    isOutOfUse(*job, *startBy, now), job->record.queue.priority, *startBy });
        }
    }
    leaveCapToGangs(all, waitingForCap);
    // A job that can't meet its objective any more is worth little, whatever its priority, so it comes after all jobs
    // that can. What a team has submitted beyond its rate, and results that nobody uses any more, come last.
    std::sort(all.begin(), all.end(), [](const ReadyStage& a, const ReadyStage& b) {
        return std::tie(a.isLate, a.isOutOfUse, a.isExcess, a.priority, a.startBy)
            < std::tie(b.isLate, b.isOutOfUse, b.isExcess, b.priority, b.startBy);
    });
    orderByShares(all);
    return all;
}

bool EngineImpl::mayBeOutdated(const Job& job, const Stage& stage) const
{
    const bool restsOnSilence = stage.restsOnSilence || (job.isRecovered && m_isBarrierPassedByTime);
    return restsOnSilence && m_log->mayBeReplaced();
}

void EngineImpl::recordWaitingGangs(const std::vector<ReadyStage>& all)
{
    m_headroom.beginRound();
    for (const ReadyStage& it : all) {
        const workflow::StepSpec& step = it.job->stepOf(*it.stage);
        if (step.isGang && !it.isLate)
            m_headroom.onGangWaiting(it.priority, coresOf(step));
    }
}

void EngineImpl::buildFleetViews(core::TimePoint now)
{
    m_fleetViews.clear();
    for (auto& [service, hold] : m_roomHolds)
        hold.beginRound();
    const core::ServiceId* service = nullptr; // of the previous worker; most fleets have one service
    FleetView* view = nullptr;
    core::Resources capacity;
    for (const auto& [id, worker] : m_workers) {
        capacity = capacity + worker->entry().capacity;
        if (!worker->acceptsStarts(now) || !worker->isRostered() || m_health.isQuarantined(id, now))
            continue;
        if (!service || *service != worker->entry().service) {
            service = &worker->entry().service;
            view = &m_fleetViews[*service];
        }
        view->add(*worker, m_speed.isSlow(id, now), m_estimates.speedForPlacing(*worker));
    }
    m_usage.setCapacity(capacity);
}

std::uint32_t EngineImpl::startLimit(const ReadyStage& ready, const Demand& demand, core::TimePoint now)
{
    const FleetView& fleet = fleetViewOf(*ready.job);
    const double coresPerTask = double(demand.need.cpu.value()) / 1000;
    double headroom = m_headroom.coresToLeaveFree(ready.priority, ready.startBy - now, ready.isLate, fleet.cores());
    // Headroom delays a gang, but must not exclude one that needs most of the fleet.
    if (demand.isAllOrNothing)
        headroom = std::min(headroom, std::max(fleet.cores() - coresPerTask * double(demand.count), 0.0));
    if (coresPerTask <= 0 || headroom <= 0)
        return demand.count;
    const double maxTasks = std::max((fleet.freeCores() - headroom) / coresPerTask, 0.0);
    if (maxTasks >= double(demand.count))
        return demand.count;
    return demand.isAllOrNothing ? 0 : static_cast<std::uint32_t>(maxTasks);
}

Demand EngineImpl::demandOf(const Job& job, const Stage& stage) const
{
    const workflow::StepSpec& step = job.stepOf(stage);
    Demand demand;
    demand.need = roomOf(step);
    // Starts of other stages in the same round may have used up what the team's cap leaves to a gang.
    demand.count = step.isGang ? static_cast<std::uint32_t>(stage.startable()) : tasksWithinCap(job, stage);
    demand.maxPerWorker = step.maxPerWorker;
    demand.dataRack = step.dataRack;
    demand.isAllOrNothing = step.isGang;
    demand.mustShareRack = step.mustShareRack;
    demand.speedWeight = speedWeightOf(job);
    return demand;
}

StageWorkers EngineImpl::stageWorkersOf(const Job& job, const Stage& stage)
{
    const workflow::StepSpec& step = job.stepOf(stage);
    StageWorkers it;
    it.requiredLabel = step.requiredLabel;
    if (step.maxPerWorker > 0)
        it.tasks = tasksByWorker(stage);
    it.avoided = avoidedBy(stage);
    return it;
}

std::vector<Candidate> EngineImpl::candidatesFor(
    const Job& job, const Stage& stage, core::TimePoint now, CandidateFilter filter)
{
    FleetView& fleet = fleetViewOf(job);
    const StageWorkers stageWorkers = stageWorkersOf(job, stage);
    std::vector<Candidate> candidates;
    const auto add = [&](const UsableWorker& usable) {
        const Worker& worker = *usable.worker;
        if (!stageWorkers.mayUse(worker))
            return;
        candidates.push_back({ worker.id(), usable.room - usable.reserved, usable.capacity, worker.rack(),
            stageWorkers.tasksOn(worker.id()), usable.isSlow || stageWorkers.avoided.contains(worker.id()),
            usable.speed });
    };
    if (filter == CandidateFilter::NotDenied) {
        candidates.reserve(fleet.workers().size());
        for (const UsableWorker& it : fleet.workers()) {
            if (!stage.advice.denied.contains(it.worker->id()))
                add(it);
        }
        return candidates;
    }
    candidates.reserve(stage.advice.tickets.size());
    for (const auto& [id, ticket] : stage.advice.tickets) {
        const bool isValid
            = filter == CandidateFilter::Allowed || ticket.validUntil >= now + m_dependencies.times.minTicketValidity;
        const UsableWorker* usable = isValid ? fleet.find(id) : nullptr;
        if (usable)
            add(*usable);
    }
    return candidates;
}

bool EngineImpl::isLeftAlone(const ReadyStage& ready, core::TimePoint now)
{
    // The next gang in order is always evaluated, as it keeps its room reserved.
    const bool mayReserve = ready.job->stepOf(*ready.stage).isGang
        && fleetViewOf(*ready.job).reservingGangs(ready.isLate) < maxReservingGangs;
    return now < ready.stage->tryAgainAt && !mayReserve;
}

bool EngineImpl::placeStage(const ReadyStage& ready, core::TimePoint now)
{
    if (m_orderWindow->isFull()) {
        m_orderWindow->onLimited(now);
        return false; // a ticket would expire before its start is ordered
    }
    if (waitsForCap(*ready.job, *ready.stage))
        return false;
    Demand demand = demandOf(*ready.job, *ready.stage);
    demand.count = startLimit(ready, demand, now);
    if (!demand.isAllOrNothing && demand.count > m_orderWindow->room()) {
        demand.count = static_cast<std::uint32_t>(m_orderWindow->room());
        m_orderWindow->onLimited(now);
    }
    // Single tasks that fit on no worker are skipped early; a gang may still reserve room.
    FleetView& fleet = fleetViewOf(*ready.job);
    const bool mayStart = demand.count > 0 && (demand.isAllOrNothing || demand.need.fitsIn(fleet.maxRoom()));
    if (mayStart && startWhereAllowed(ready, demand, now))
        return true;
    // A late gang comes after all work in time and leaves headroom for it. Without a reservation, late single tasks
    // would take all of its room meanwhile.
    const bool mayReserve
        = demand.isAllOrNothing && (mayStart || ready.isLate) && fleet.reservingGangs(ready.isLate) < maxReservingGangs;
    const std::optional<Reservation> reservation = mayReserve ? reservationFor(ready, now) : std::nullopt;
    const bool isRoomSoon = reservation && reservation->completeIn <= adviceLeadTime(*ready.job);
    if (ready.job->record.queue.advice && (mayStart || isRoomSoon))
        requestAdvice(ready, now, reservation);
    if (reservation)
        holdRoom(ready, *reservation, now);
    return false;
}

bool EngineImpl::startWhereAllowed(const ReadyStage& ready, const Demand& demand, core::TimePoint now)
{
    if (!ready.job->isPersisted)
        return false;
    const bool needsTicket = ready.job->record.queue.advice.has_value();
    std::vector<Candidate> candidates = candidatesFor(
        *ready.job, *ready.stage, now, needsTicket ? CandidateFilter::Ticket : CandidateFilter::NotDenied);
    const std::vector<core::VmId> chosen = place(demand, candidates, placement::strategyOf(placementStrategy));
    if (chosen.empty())
        return false;
    startTasks(ready.job, *ready.stage, chosen);
    return true;
}

void EngineImpl::startTasks(const JobPtr& job, Stage& stage, const std::vector<core::VmId>& chosen)
{
    const bool isGang = job->stepOf(stage).isGang;
    const fleet::RunNumber gangRun(stage.newestRun.value() + 1);
    std::string checkpoint;
    for (const TaskProgress& it : stage.tasks)
        checkpoint = std::max(checkpoint, it.checkpoint);
    std::size_t n = 0;
    for (std::uint32_t index = 0; index < stage.tasks.size() && n < chosen.size(); ++index) {
        if (!stage.tasks[index].mayStart())
            continue;
        const fleet::RunNumber run = isGang ? gangRun : fleet::RunNumber(stage.newestRun.value() + 1);
        startTask(job, stage, index, chosen[n], run, isGang ? checkpoint : stage.tasks[index].checkpoint);
        ++n;
    }
}

void EngineImpl::startTask(const JobPtr& job, Stage& stage, std::uint32_t index, const core::VmId& worker,
    fleet::RunNumber run, const std::string& checkpoint)
{
    TaskProgress& task = stage.tasks[index];
    task.state = TaskProgress::State::Live;
    task.run = run;
    task.worker = worker;
    stage.newestRun = std::max(stage.newestRun, run);
    --stage.pending;
    ++stage.live;
    fleet::StartOrder order;
    order.runId = { { job->record.spec.id, stage.occurrence, stage.step, index }, run };
    order.payload = job->record.spec.payload;
    order.checkpoint = checkpoint;
    if (const auto ticket = stage.advice.tickets.find(worker); ticket != stage.advice.tickets.end())
        order.ticket = ticket->second.text;
    LogLine(Severity::Info, "start")
        .with("task", fleet::textOf(order.runId.task))
        .with("run", run.value())
        .with("worker", worker.value())
        .with("term", std::int64_t(m_won.leader.term.value()))
        .with("waitedMs", core::toMs(m_dependencies.loop->now() - stage.openedAt));
    m_dependencies.metrics->add(telemetry::Metric::WorkStarts, {});
    const core::Resources room = roomOf(job->stepOf(stage));
    fleetViewOf(*job).onTaskStarted(worker, room);
    countRun(
        worker, order.runId, { job->record.team, occupationOf(job->stepOf(stage)), job->expectationOf(stage).mean });
    m_workers[worker]->startRun(order, room, m_roundAt);
}

} // namespace sardinerun::scheduling

//! Whose turn it is and where its tasks go.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"

#include <algorithm>
#include <tuple>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

//! Events come in groups; what they free is given out together.
constexpr core::Duration pumpPause = std::chrono::milliseconds(8);
constexpr int roundCostFactor = 6;
//! Gangs that have room kept for them at the same time; more of them would empty the workers for all else.
constexpr std::size_t mostKeptGangs = 1;
//! Estimates are somewhat off: a job counts as late only so long after the latest start by which it would be in time.
constexpr core::Duration estimateSlack = std::chrono::milliseconds(500);
constexpr core::Duration shortestRest = std::chrono::milliseconds(50);

const std::map<core::VmId, std::uint32_t> noTasks;

std::map<core::VmId, std::uint32_t> tasksByWorker(const Stage& stage)
{
    std::map<core::VmId, std::uint32_t> counts;
    for (const TaskProgress& it : stage.tasks) {
        if (it.state == TaskProgress::State::Live)
            ++counts[it.worker];
    }
    return counts;
}

//! Workers on which tasks that wait have failed before.
std::set<core::VmId> avoidedBy(const Stage& stage)
{
    std::set<core::VmId> workers;
    for (const TaskProgress& it : stage.tasks) {
        if (it.state == TaskProgress::State::Waiting && !it.avoided.value().empty())
            workers.insert(it.avoided);
    }
    return workers;
}

} // namespace

void EngineImpl::pumpSoon()
{
    if (m_isOver || std::exchange(m_isPumpSet, true))
        return;
    // Rounds never take more than a fraction of the time, however many workers and steps they look at.
    m_dependencies.loop->callAfter(std::max(pumpPause, m_roundCost * roundCostFactor), [self = weak_from_this()] {
        const auto it = self.lock();
        if (!it)
            return;
        it->m_isPumpSet = false;
        it->pump();
    });
}

void EngineImpl::pump()
{
    const core::TimePoint now = m_dependencies.loop->now();
    if (m_isOver || m_isReleasing || !m_areTablesRead || !m_entries || !m_config || now >= m_log->authorityUntil())
        return;
    isBarrierOver();
    gatherFleets(now);
    const std::vector<Turn> all = turns(now);
    noteWaitingGangs(all);
    for (const Turn& it : all)
        placeStage(it, now);
    m_roundCost = m_dependencies.loop->now() - now;
}

std::vector<EngineImpl::Turn> EngineImpl::turns(core::TimePoint now)
{
    std::vector<Turn> all;
    for (const auto& [id, job] : m_active) {
        if (job->isRecovered && !m_isBarrierOver)
            continue;
        std::optional<core::TimePoint> startBy; // worked out only for jobs that have a turn
        for (Stage& stage : job->stages) {
            const bool isReady = stage.isOpen && stage.waiting > 0 && now >= stage.notBefore
                && (!job->stepOf(stage).isGang || (stage.live == 0 && stage.startable() == stage.waiting))
                && stage.startable() > 0;
            if (!isReady)
                continue;
            if (!startBy)
                startBy = job->objectiveAt - job->chainLeft();
            const bool isLate = now > std::min(*startBy + estimateSlack, job->objectiveAt);
            all.push_back({ job, &stage, isLate, job->record.queue.priority, *startBy });
        }
    }
    // What cannot be in time any more earns little, whoever waits for it, so it comes after all that can still be in
    // time.
    std::sort(all.begin(), all.end(), [](const Turn& a, const Turn& b) {
        return std::tie(a.isLate, a.priority, a.startBy) < std::tie(b.isLate, b.priority, b.startBy);
    });
    return all;
}

void EngineImpl::noteWaitingGangs(const std::vector<Turn>& all)
{
    m_headroom.beginRound();
    for (const Turn& it : all) {
        const workflow::StepSpec& step = it.job->stepOf(*it.stage);
        if (step.isGang && !it.isLate)
            m_headroom.onWaiting(it.priority, double(step.count) * double(roomOf(step).cpu.value()) / 1000);
    }
}

void EngineImpl::gatherFleets(core::TimePoint now)
{
    m_fleets.clear();
    for (const auto& [id, worker] : m_workers) {
        if (worker->takesStarts(now) && m_rostered.contains(id) && !m_health.isQuarantined(id, now))
            m_fleets[worker->entry().service].add(*worker, m_speed.isSlow(id, now));
    }
}

std::uint32_t EngineImpl::mayStart(const Turn& turn, const Demand& demand, core::TimePoint now)
{
    const FleetView& fleet = fleetOf(*turn.job);
    const double each = double(demand.need.cpu.value()) / 1000;
    const double leave = m_headroom.coresFor(turn.priority, turn.startBy - now, turn.isLate, fleet.cores());
    if (each <= 0 || leave <= 0)
        return demand.count;
    const double most = std::max((fleet.freeCores() - leave) / each, 0.0);
    if (most >= double(demand.count))
        return demand.count;
    return demand.isAllOrNothing ? 0 : static_cast<std::uint32_t>(most);
}

Demand EngineImpl::demandOf(const Job& job, const Stage& stage) const
{
    const workflow::StepSpec& step = job.stepOf(stage);
    Demand demand;
    demand.need = roomOf(step);
    demand.count = static_cast<std::uint32_t>(stage.startable());
    demand.maxPerWorker = step.maxPerWorker;
    demand.dataRack = step.dataRack;
    demand.isAllOrNothing = step.isGang;
    demand.mustShareRack = step.mustShareRack;
    return demand;
}

std::vector<Candidate> EngineImpl::candidatesFor(const Job& job, const Stage& stage, core::TimePoint now, Need need)
{
    FleetView& fleet = fleetOf(job);
    const workflow::StepSpec& step = job.stepOf(stage);
    const std::map<core::VmId, std::uint32_t> running = step.maxPerWorker > 0 ? tasksByWorker(stage) : noTasks;
    const std::set<core::VmId> avoided = avoidedBy(stage);
    std::vector<Candidate> candidates;
    const auto add = [&](const Usable& usable) {
        const Worker& worker = *usable.worker;
        if (!step.requiredLabel.empty() && !worker.entry().labels.contains(step.requiredLabel))
            return;
        const auto ofStep = running.find(worker.id());
        candidates.push_back({ worker.id(), worker.room() - usable.kept, worker.entry().capacity, worker.rack(),
            ofStep == running.end() ? 0 : ofStep->second, usable.isSlow || avoided.contains(worker.id()) });
    };
    if (need == Need::NotDenied) {
        candidates.reserve(fleet.workers().size());
        for (const Usable& it : fleet.workers()) {
            if (!stage.advice.denied.contains(it.worker->id()))
                add(it);
        }
        return candidates;
    }
    candidates.reserve(stage.advice.tickets.size());
    for (const auto& [id, ticket] : stage.advice.tickets) {
        const bool isValid = need == Need::Allowed || ticket.validUntil >= now + m_dependencies.times.minTicketValidity;
        const Usable* usable = isValid ? fleet.find(id) : nullptr;
        if (usable)
            add(*usable);
    }
    return candidates;
}

void EngineImpl::placeStage(const Turn& turn, core::TimePoint now)
{
    Stage& stage = *turn.stage;
    Demand demand = demandOf(*turn.job, stage);
    demand.count = mayStart(turn, demand, now);
    // Single tasks for which no worker has room need no closer look; a gang may have room kept for it.
    const bool hasRoom = demand.isAllOrNothing || demand.need.fitsIn(fleetOf(*turn.job).mostRoom());
    if (demand.count == 0 || !hasRoom)
        return;
    const bool needsTicket = turn.job->record.queue.advice.has_value();
    std::vector<Candidate> candidates
        = candidatesFor(*turn.job, stage, now, needsTicket ? Need::Ticket : Need::NotDenied);
    if (turn.job->isKept && !candidates.empty()) {
        const std::vector<core::VmId> chosen
            = place(demand, candidates, placement::strategyOf(placement::StrategyKind::DominantFit));
        if (!chosen.empty()) {
            startTasks(turn.job, stage, chosen);
            return;
        }
    }
    FleetView& fleet = fleetOf(*turn.job);
    const bool mayKeep = demand.isAllOrNothing && !turn.isLate && fleet.keptGangs() < mostKeptGangs;
    const std::optional<Reservation> reservation = mayKeep ? reservationFor(turn, now) : std::nullopt;
    if (needsTicket)
        askAdvice(turn, now, reservation);
    if (reservation)
        fleet.keep(*reservation);
}

core::Duration EngineImpl::remainingOf(const fleet::RunId& name, const WorkerRun& run) const
{
    const core::TimePoint now = m_dependencies.loop->now();
    if (paceOf(run) > core::Duration(0))
        return std::max(paceOf(run) * (100 - run.percent) - (now - run.progressAt), shortestRest);
    const auto [job, stage] = findLive(name.task);
    if (!stage)
        return m_dependencies.times.stopGrace; // it is being stopped
    return std::max(job->stepOf(*stage).estimate - (now - run.since), shortestRest);
}

const std::vector<RoomEvent>& EngineImpl::roomEvents(Usable& usable) const
{
    if (usable.events)
        return *usable.events;
    std::vector<RoomEvent> events;
    for (const auto& [name, run] : usable.worker->runs())
        events.push_back({ remainingOf(name, run), run.taken });
    std::sort(events.begin(), events.end(), [](const RoomEvent& a, const RoomEvent& b) { return a.in < b.in; });
    return usable.events.emplace(std::move(events));
}

std::optional<Reservation> EngineImpl::reservationFor(const Turn& turn, core::TimePoint now)
{
    const bool isAdvised = !turn.stage->advice.tickets.empty();
    FleetView& fleet = fleetOf(*turn.job);
    std::vector<FutureWorker> workers;
    for (Candidate& it : candidatesFor(*turn.job, *turn.stage, now, isAdvised ? Need::Allowed : Need::NotDenied)) {
        const std::vector<RoomEvent>& events = roomEvents(*fleet.find(it.worker));
        workers.push_back({ std::move(it), events });
    }
    return reserve(demandOf(*turn.job, *turn.stage), workers);
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
    --stage.waiting;
    ++stage.live;
    fleet::StartOrder order;
    order.run = { { job->record.spec.id, stage.occurrence, stage.step, index }, run };
    order.payload = job->record.spec.payload;
    order.checkpoint = checkpoint;
    if (const auto ticket = stage.advice.tickets.find(worker); ticket != stage.advice.tickets.end())
        order.ticket = ticket->second.text;
    LogLine(Severity::Info, "start")
        .with("task", fleet::textOf(order.run.task))
        .with("run", run.value())
        .with("worker", worker.value())
        .with("waitedMs", core::toMs(m_dependencies.loop->now() - stage.openedAt));
    m_dependencies.metrics->add(telemetry::Metric::WorkStarts, {});
    const core::Resources room = roomOf(job->stepOf(stage));
    fleetOf(*job).take(room);
    m_workers[worker]->startRun(order, room);
}

} // namespace sardinerun::scheduling

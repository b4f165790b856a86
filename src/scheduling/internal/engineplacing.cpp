//! Whose turn it is, where its tasks go, and when the advice service is asked.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"

#include <algorithm>
#include <tuple>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

//! Events come in groups; what they free is given out together.
constexpr core::Duration pumpPause = std::chrono::milliseconds(2);
constexpr int roundCostFactor = 4;
constexpr core::Duration adviceRetry = std::chrono::milliseconds(150);
//! When advice allowed nobody who has room, until it is asked about others.
constexpr core::Duration nobodyRetry = std::chrono::milliseconds(1000);
//! The advice service takes at most so many workers in one question.
constexpr std::size_t mostNamed = 100;
constexpr std::size_t leastNamed = 24;
//! Share of the named workers that advice allows, until it is learnt.
constexpr double firstGoodShare = 0.4;
constexpr double goodShareGain = 0.1;
//! More workers are named than are needed, since advice varies about its mean.
constexpr double namedMargin = 1.6;
//! Gangs that have room kept for them at the same time. More of them would empty the workers for all else.
constexpr std::size_t mostKeptGangs = 4;
//! Advice for a gang is asked for so long before its room is there, beyond the time that advice takes.
constexpr core::Duration adviceLead = std::chrono::milliseconds(300);
constexpr core::Duration shortestRest = std::chrono::milliseconds(50);

} // namespace

void EngineImpl::pumpSoon()
{
    if (m_isOver || std::exchange(m_isPumpSet, true))
        return;
    // Rounds never take more than a fraction of the time, however many workers and steps they look at.
    m_parts.loop->callAfter(std::max(pumpPause, m_roundCost * roundCostFactor), [self = weak_from_this()] {
        const auto it = self.lock();
        if (!it)
            return;
        it->m_isPumpSet = false;
        it->pump();
    });
}

void EngineImpl::pump()
{
    const core::TimePoint now = m_parts.loop->now();
    if (m_isOver || m_isReleasing || !m_areTablesRead || !m_entries || !m_config || now >= m_log->authorityUntil())
        return;
    isBarrierOver();
    m_kept.clear();
    m_keptGangs = 0;
    gatherFleets(now);
    for (const Turn& it : turns(now))
        placeStage(it, now);
    m_roundCost = m_parts.loop->now() - now;
}

std::vector<EngineImpl::Turn> EngineImpl::turns(core::TimePoint now)
{
    std::vector<Turn> all;
    for (const auto& [id, job] : m_active) {
        if (job->isRecovered && !m_isBarrierOver)
            continue;
        const bool isLate = now > job->objectiveAt;
        std::optional<core::TimePoint> startBy; // worked out only for jobs that have a turn
        for (Stage& stage : job->stages) {
            const bool isReady = stage.isOpen && stage.waiting > 0 && now >= stage.notBefore
                && (!job->stepOf(stage).isGang || (stage.live == 0 && stage.startable() == stage.waiting))
                && stage.startable() > 0;
            if (!isReady)
                continue;
            if (!startBy)
                startBy = job->objectiveAt - job->chainLeft();
            all.push_back({ job, &stage, isLate, job->record.queue.priority, *startBy });
        }
    }
    // What is late already earns little, whoever waits for it, so it comes after all that can still be in time.
    std::sort(all.begin(), all.end(), [](const Turn& a, const Turn& b) {
        return std::tie(a.isLate, a.priority, a.startBy) < std::tie(b.isLate, b.priority, b.startBy);
    });
    return all;
}

void EngineImpl::gatherFleets(core::TimePoint now)
{
    m_fleets.clear();
    for (const auto& [id, worker] : m_workers) {
        if (!worker->takesStarts(now) || !m_rostered.contains(id) || m_health.isSetAside(id, now))
            continue;
        Fleet& fleet = m_fleets[worker->entry().service];
        fleet.workers[id] = { worker.get(), m_speed.isSlow(id, now) };
        const core::Resources room = worker->room();
        fleet.cores += double(worker->entry().capacity.cpu.value()) / 1000;
        fleet.freeCores += double(room.cpu.value()) / 1000;
        fleet.mostRoom.cpu = std::max(fleet.mostRoom.cpu, room.cpu);
        fleet.mostRoom.memory = std::max(fleet.mostRoom.memory, room.memory);
        fleet.mostRoom.accelerators = std::max(fleet.mostRoom.accelerators, room.accelerators);
    }
}

std::uint32_t EngineImpl::mayStart(const Turn& turn, const Demand& demand, core::TimePoint now)
{
    const Fleet& fleet = fleetOf(*turn.job);
    const double each = double(demand.need.cpu.value()) / 1000;
    const double leave = m_headroom.coresFor(turn.priority, turn.startBy - now, turn.isLate, fleet.cores);
    if (each <= 0 || leave <= 0)
        return demand.count;
    const double most = std::max((fleet.freeCores - leave) / each, 0.0);
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

void EngineImpl::addCandidate(const Usable& usable, const core::Resources& kept, const Stage& stage,
    const std::map<core::VmId, std::uint32_t>& ofStep, std::vector<Candidate>& candidates)
{
    const Worker& worker = *usable.worker;
    const bool isAvoided = std::any_of(stage.tasks.begin(), stage.tasks.end(), [&worker](const TaskProgress& it) {
        return it.state == TaskProgress::State::Waiting && it.avoided == worker.id();
    });
    const auto running = ofStep.find(worker.id());
    candidates.push_back({ worker.id(), worker.room() - kept, worker.entry().capacity, worker.rack(),
        running == ofStep.end() ? 0 : running->second, isAvoided || usable.isSlow });
}

std::vector<Candidate> EngineImpl::candidatesFor(const Job& job, const Stage& stage, core::TimePoint now, Need need)
{
    const Fleet& fleet = fleetOf(job);
    const std::string& label = job.stepOf(stage).requiredLabel;
    std::map<core::VmId, std::uint32_t> ofStep;
    for (const TaskProgress& it : stage.tasks) {
        if (it.state == TaskProgress::State::Live)
            ++ofStep[it.worker];
    }
    std::vector<Candidate> candidates;
    const auto add = [&](const core::VmId& id, const Usable& usable) {
        if (!label.empty() && !usable.worker->entry().labels.contains(label))
            return;
        const auto kept = m_kept.find(id);
        addCandidate(usable, kept == m_kept.end() ? core::Resources() : kept->second, stage, ofStep, candidates);
    };
    if (need == Need::NotDenied) {
        for (const auto& [id, usable] : fleet.workers) {
            if (!stage.advice.denied.contains(id))
                add(id, usable);
        }
        return candidates;
    }
    for (const auto& [id, ticket] : stage.advice.tickets) {
        const auto usable = fleet.workers.find(id);
        const bool isValid = need == Need::Allowed || ticket.validUntil >= now + m_parts.times.adviceReserve;
        if (usable != fleet.workers.end() && isValid)
            add(id, usable->second);
    }
    return candidates;
}

void EngineImpl::placeStage(const Turn& turn, core::TimePoint now)
{
    Stage& stage = *turn.stage;
    Demand demand = demandOf(*turn.job, stage);
    demand.count = mayStart(turn, demand, now);
    // Single tasks for which no worker has room need no closer look; a gang may have room kept for it.
    const bool hasRoom = demand.isAllOrNothing || demand.need.fitsIn(fleetOf(*turn.job).mostRoom);
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
    const bool mayKeep = demand.isAllOrNothing && !turn.isLate && m_keptGangs < mostKeptGangs;
    const std::optional<Reservation> reservation = mayKeep ? reservationFor(turn, now) : std::nullopt;
    if (needsTicket)
        askAdvice(turn, now, reservation);
    if (!reservation)
        return;
    ++m_keptGangs;
    for (const auto& [worker, room] : reservation->kept) {
        core::Resources& kept = m_kept[worker];
        kept = kept + room;
    }
}

core::Duration EngineImpl::remainingOf(const fleet::RunName& name, const WorkerRun& run) const
{
    const core::TimePoint now = m_parts.loop->now();
    if (paceOf(run) > core::Duration(0))
        return std::max(paceOf(run) * (100 - run.percent) - (now - run.progressAt), shortestRest);
    const JobPtr job = jobOf(name.task.job);
    const Stage* stage = job && !job->isOver() ? job->find(name.task) : nullptr;
    if (!stage)
        return m_parts.times.stopGrace; // it is being stopped
    return std::max(job->stepOf(*stage).estimate - (now - run.since), shortestRest);
}

std::vector<RoomEvent> EngineImpl::roomEvents(const Worker& worker) const
{
    std::vector<RoomEvent> events;
    for (const auto& [name, run] : worker.runs())
        events.push_back({ remainingOf(name, run), run.taken });
    return events;
}

std::optional<Reservation> EngineImpl::reservationFor(const Turn& turn, core::TimePoint now)
{
    const bool isAdvised = !turn.stage->advice.tickets.empty();
    std::vector<FutureWorker> workers;
    for (Candidate& it : candidatesFor(*turn.job, *turn.stage, now, isAdvised ? Need::Allowed : Need::NotDenied)) {
        const Worker& worker = *m_workers.at(it.worker);
        workers.push_back({ std::move(it), roomEvents(worker) });
    }
    return reserve(demandOf(*turn.job, *turn.stage), workers);
}

std::vector<core::VmId> EngineImpl::workersToName(
    const Job& job, const Stage& stage, core::TimePoint now, const std::optional<Reservation>& reservation)
{
    const Demand demand = demandOf(job, stage);
    std::vector<Candidate> candidates = candidatesFor(job, stage, now, Need::NotDenied);
    std::erase_if(candidates, [&](const Candidate& it) { return !demand.need.fitsIn(it.capacity); });
    const auto isKept
        = [&reservation](const Candidate& it) { return reservation && reservation->kept.contains(it.worker); };
    std::stable_sort(candidates.begin(), candidates.end(), [&](const Candidate& a, const Candidate& b) {
        if (isKept(a) != isKept(b))
            return isKept(a);
        return slotsIn(a.room, demand.need) > slotsIn(b.room, demand.need);
    });
    std::int64_t slots = 0;
    for (const Candidate& it : candidates) {
        const std::int64_t most = demand.maxPerWorker > 0 ? demand.maxPerWorker : INT32_MAX;
        slots += std::min<std::int64_t>(slotsIn(it.room, demand.need), most);
    }
    const std::int64_t least = demand.isAllOrNothing ? demand.count : 1;
    const core::Duration lead = job.record.queue.advice->costOf(leastNamed) + adviceLead;
    const bool isSoon = reservation && reservation->completeIn <= lead;
    if (slots < least && !isSoon)
        return {}; // there is no room now, and a ticket would lapse before there is
    const auto known = m_goodShare.find(job.record.queue.name);
    const double goodShare = known == m_goodShare.end() ? firstGoodShare : known->second;
    const std::size_t wanted = static_cast<std::size_t>(namedMargin * double(demand.count) / goodShare);
    const std::size_t most = std::clamp(wanted, leastNamed, mostNamed);
    std::vector<core::VmId> named;
    for (const Candidate& it : candidates) {
        if (named.size() >= most)
            break;
        named.push_back(it.worker);
    }
    return named;
}

void EngineImpl::askAdvice(const Turn& turn, core::TimePoint now, const std::optional<Reservation>& reservation)
{
    Stage& stage = *turn.stage;
    AdviceState& advice = stage.advice;
    if (advice.isAsked || now < advice.askAgainAt)
        return;
    const bool isTicketLeft = std::any_of(advice.tickets.begin(), advice.tickets.end(),
        [&](const auto& it) { return it.second.validUntil > now + m_parts.times.adviceReserve; });
    if (isTicketLeft)
        return;
    const workflow::AdviceTerms& terms = *turn.job->record.queue.advice;
    if (m_parts.advice->freeNodes(terms.perQuestion) == 0 && turn.priority > 0)
        return; // its turn is decided anew when a node is free
    const std::vector<core::VmId> named = workersToName(*turn.job, stage, now, reservation);
    if (named.empty())
        return;
    advice.isAsked = true;
    fleet::AdviceQuestion question;
    question.job = turn.job->record.spec.id;
    question.occurrence = stage.occurrence;
    question.step = stage.step;
    question.workers = named;
    const AdviceRank rank { turn.priority, turn.startBy, terms.costOf(named.size()) };
    const std::size_t number = stage.occurrence * turn.job->record.spec.steps.size() + stage.step;
    m_parts.advice->ask(std::move(question), rank,
        [self = weak_from_this(), job = turn.job, number, named, now](const fleet::AdviceResult& result) {
            if (const auto it = self.lock())
                it->onAdvice(job, number, named, now, result);
        });
}

void EngineImpl::onAdvice(const JobPtr& job, std::size_t number, const std::vector<core::VmId>& named,
    const core::TimePoint& askedAt, const fleet::AdviceResult& result)
{
    if (job->isOver() || number >= job->stages.size())
        return;
    const core::TimePoint now = m_parts.loop->now();
    Stage& stage = job->stages[number];
    AdviceState& advice = stage.advice;
    advice.isAsked = false;
    pumpSoon();
    LogLine(Severity::Info, "advice")
        .with("job", job->record.spec.id.value())
        .with("stage", std::int64_t(number))
        .with("named", std::int64_t(named.size()))
        .with("allowed", result ? std::int64_t(result.value().allowed.size()) : -1)
        .with("tookMs", core::toMs(now - askedAt));
    if (!result) {
        advice.askAgainAt = now + adviceRetry;
        return;
    }
    const workflow::AdviceTerms& terms = *job->record.queue.advice;
    advice.denied.insert(named.begin(), named.end());
    for (const fleet::Ticket& it : result.value().allowed) {
        advice.denied.erase(it.worker);
        advice.tickets[it.worker] = { it.text, now + terms.validity };
    }
    double& share = m_goodShare.try_emplace(job->record.queue.name, firstGoodShare).first->second;
    share += goodShareGain * (double(result.value().allowed.size()) / double(named.size()) - share);
    if (result.value().allowed.empty())
        advice.askAgainAt = now + (advice.denied.size() < m_workers.size() ? adviceRetry : nobodyRetry);
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
        .with("waitedMs", core::toMs(m_parts.loop->now() - stage.openedAt));
    m_parts.metrics->add(telemetry::Metric::WorkStarts, {});
    fleetOf(*job).freeCores -= double(roomOf(job->stepOf(stage)).cpu.value()) / 1000;
    m_workers[worker]->startRun(order, roomOf(job->stepOf(stage)));
}

} // namespace sardinerun::scheduling

//! Advice requests: when they are sent, which workers they name, and how results are applied.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

constexpr core::Duration adviceRetryDelay = std::chrono::milliseconds(150);
//! Delay of the next request after all workers were denied.
constexpr core::Duration noneAllowedRetryDelay = std::chrono::milliseconds(1000);
//! Initial estimate of the share of named workers that advice allows.
constexpr double initialAllowedShare = 0.4;
constexpr double allowedShareSmoothing = 0.1;
//! Advice for a gang is requested this long, in addition to the duration of the request, before its room is free.
constexpr core::Duration adviceMargin = std::chrono::milliseconds(300);
constexpr std::size_t typicalWorkers = 24; //!< number of named workers that is assumed for the duration of a request
constexpr std::size_t minWorkersPerTask = 8;
constexpr std::size_t maxMinWorkers = 96; //!< below the limit of 100 workers per request
//! Naming additional workers may cost up to this multiple (three halves) of the fixed time of a request.
constexpr std::int64_t costFactor = 3;
constexpr std::int64_t costDivisor = 2;
//! Maximum number of requests for one step at a time; each goes to another node.
constexpr std::size_t maxOpenRequests = 4;
constexpr core::Duration moreAdviceCheckInterval = std::chrono::milliseconds(40);

//! Returns the room that is reserved on a worker, or null.
const core::Resources* reservedOn(const core::VmId& worker, const std::optional<Reservation>& reservation)
{
    if (!reservation)
        return nullptr;
    const auto it = reservation->reserved.find(worker);
    return it == reservation->reserved.end() ? nullptr : &it->second;
}

//! Returns the number of tasks of a step that fit on a worker, which runs some of them already.
std::int64_t taskSlotsIn(const core::Resources& room, std::uint32_t tasksOfStep, const Demand& demand)
{
    const std::int64_t slots = slotsIn(room, demand.need);
    if (demand.maxPerWorker == 0)
        return slots;
    return std::clamp<std::int64_t>(std::int64_t(demand.maxPerWorker) - std::int64_t(tasksOfStep), 0, slots);
}

//! Returns the minimum number of workers to name. A wider choice may take about as long as the fixed time of a request;
//! steps with few tasks need fewer workers.
std::size_t minWorkersForAdvice(const workflow::AdvicePolicy& policy, std::uint32_t tasks)
{
    const core::Duration timePerWorker = std::max(policy.perWorker, core::Duration(1));
    const std::size_t affordable = std::size_t(policy.perRequest * costFactor / timePerWorker / costDivisor);
    const std::size_t maxWorkers = std::min(maxMinWorkers, minWorkersPerTask * std::max(1u, tasks));
    return std::clamp(affordable, minWorkersPerTask, maxWorkers);
}

} // namespace

double EngineImpl::allowedShareOf(const std::string& queue) const
{
    const auto it = m_allowedShare.find(queue);
    return it == m_allowedShare.end() ? initialAllowedShare : it->second;
}

std::vector<core::VmId> EngineImpl::workersForAdvice(
    const ReadyStage& ready, core::TimePoint now, const std::optional<Reservation>& reservation, bool isAdditional)
{
    const Job& job = *ready.job;
    const AdviceState& advice = ready.stage->advice;
    Demand demand = demandOf(job, *ready.stage);
    if (isAdditional)
        demand.count = tasksWithoutTicket(ready, now);
    const placement::IStrategy& strategy = placement::strategyOf(placementStrategy);
    const StageWorkers stageWorkers = stageWorkersOf(job, *ready.stage);
    std::vector<AdviceCandidate> candidates;
    FleetView& fleet = fleetViewOf(job);
    candidates.reserve(fleet.workers().size());
    for (const UsableWorker& it : fleet.workers()) {
        const core::VmId& id = it.worker->id();
        if (!demand.need.fitsIn(it.capacity) || advice.denied.contains(id) || !stageWorkers.mayUse(*it.worker))
            continue;
        const auto ticket = advice.tickets.find(id);
        const bool isAllowed = ticket != advice.tickets.end();
        const bool isCovered
            = isAdditional && (advice.requested.contains(id) || (isAllowed && ticket->second.validUntil > now));
        if (isCovered)
            continue;
        const core::Resources* reserved = reservedOn(id, reservation);
        const core::Resources room = it.room - it.reserved;
        const std::int64_t slots = std::max(
            taskSlotsIn(room, stageWorkers.tasksOn(id), demand), reserved ? slotsIn(*reserved, demand.need) : 0);
        const Spot spot { room, it.capacity, it.worker->rack(), it.isSlow || stageWorkers.avoided.contains(id),
            it.speed };
        candidates.push_back({ id, slots, reserved != nullptr, isAllowed, scoreOf(demand, spot, strategy) });
    }
    const bool isReservationSoon = reservation && reservation->completeIn <= adviceLeadTime(job);
    const std::size_t minWorkers = minWorkersForAdvice(*job.record.queue.advice, demand.count);
    return selectAdviceCandidates(
        demand, candidates, allowedShareOf(job.record.queue.name), minWorkers, isReservationSoon);
}

std::uint32_t EngineImpl::tasksWithoutTicket(const ReadyStage& ready, core::TimePoint now)
{
    const Demand demand = demandOf(*ready.job, *ready.stage);
    const AdviceState& advice = ready.stage->advice;
    double covered = 0;
    for (const Candidate& it : candidatesFor(*ready.job, *ready.stage, now, CandidateFilter::Ticket))
        covered += double(taskSlotsIn(it.room, it.tasksOfStep, demand));
    const double share = allowedShareOf(ready.job->record.queue.name);
    FleetView& fleet = fleetViewOf(*ready.job);
    for (const core::VmId& id : advice.requested) {
        const UsableWorker* usable = fleet.find(id);
        if (!usable)
            continue;
        covered += double(taskSlotsIn(usable->room - usable->reserved, 0, demand))
            * (advice.tickets.contains(id) ? 1 : share);
    }
    return covered >= demand.count ? 0 : demand.count - static_cast<std::uint32_t>(covered);
}

core::Duration EngineImpl::adviceLeadTime(const Job& job)
{
    return job.record.queue.advice->costOf(typicalWorkers) + adviceMargin;
}

bool EngineImpl::needsAdvice(const ReadyStage& ready, core::TimePoint now) const
{
    const AdviceState& advice = ready.stage->advice;
    if (advice.openRequests > 0 || now < advice.nextRequestAt)
        return false;
    // Single tasks found no room on the allowed workers, but other workers may have some.
    if (!ready.job->stepOf(*ready.stage).isGang)
        return true;
    const core::TimePoint expiresBy = now + adviceLeadTime(*ready.job);
    return std::none_of(advice.tickets.begin(), advice.tickets.end(),
        [expiresBy](const auto& it) { return it.second.validUntil > expiresBy; });
}

bool EngineImpl::needsMoreAdvice(const ReadyStage& ready, core::TimePoint now)
{
    AdviceState& advice = ready.stage->advice;
    const bool mayAsk = now >= advice.nextRequestAt && now >= advice.checkMoreAt
        && advice.openRequests < maxOpenRequests && (advice.openRequests > 0 || !advice.tickets.empty());
    if (!mayAsk || !m_dependencies.advice->hasSpareNodes())
        return false;
    advice.checkMoreAt = now + moreAdviceCheckInterval;
    return tasksWithoutTicket(ready, now) > 0;
}

void EngineImpl::requestAdvice(
    const ReadyStage& ready, core::TimePoint now, const std::optional<Reservation>& reservation)
{
    const bool isAdditional = !needsAdvice(ready, now);
    if (isAdditional && !needsMoreAdvice(ready, now))
        return;
    Stage& stage = *ready.stage;
    AdviceState& advice = stage.advice;
    const workflow::AdvicePolicy& policy = *ready.job->record.queue.advice;
    if (m_dependencies.advice->freeNodes(policy.perRequest) == 0 && ready.priority > 0)
        return; // a later round decides again, once a node is free
    const std::vector<core::VmId> workers = workersForAdvice(ready, now, reservation, isAdditional);
    if (workers.empty())
        return;
    ++advice.openRequests;
    advice.requested.insert(workers.begin(), workers.end());
    fleet::AdviceRequest request;
    request.job = ready.job->record.spec.id;
    request.occurrence = stage.occurrence;
    request.step = stage.step;
    request.workers = workers;
    const AdviceRank rank { ready.priority, ready.startBy, policy.costOf(workers.size()) };
    const std::size_t stageIndex = stage.occurrence * ready.job->record.spec.steps.size() + stage.step;
    m_dependencies.advice->enqueue(std::move(request), rank,
        [self = weak_from_this(), job = ready.job, stageIndex, workers, now](const fleet::AdviceResult& result) {
            if (const auto it = self.lock())
                it->onAdvice(job, stageIndex, workers, now, result);
        });
}

//! Uses only workers for which no earlier advice was known.
void EngineImpl::updateAllowedShare(
    const Job& job, const AdviceState& known, const std::vector<core::VmId>& workers, const fleet::Advice& advice)
{
    const auto isNew = [&known](const core::VmId& it) { return !known.tickets.contains(it); };
    const auto newWorkers = std::count_if(workers.begin(), workers.end(), isNew);
    const auto newAllowed = std::count_if(
        advice.allowed.begin(), advice.allowed.end(), [&isNew](const fleet::Ticket& it) { return isNew(it.worker); });
    if (newWorkers == 0)
        return;
    double& share = m_allowedShare.try_emplace(job.record.queue.name, initialAllowedShare).first->second;
    share += allowedShareSmoothing * (double(newAllowed) / double(newWorkers) - share);
}

void EngineImpl::onAdvice(const JobPtr& job, std::size_t stageIndex, const std::vector<core::VmId>& workers,
    const core::TimePoint& requestedAt, const fleet::AdviceResult& result)
{
    if (job->hasEnded() || stageIndex >= job->stages.size())
        return;
    const core::TimePoint now = m_dependencies.loop->now();
    Stage& stage = job->stages[stageIndex];
    AdviceState& advice = stage.advice;
    --advice.openRequests;
    stage.tryAgainAt = {};
    for (const core::VmId& it : workers)
        advice.requested.erase(it);
    scheduleRound();
    LogLine(Severity::Info, "advice")
        .with("job", job->record.spec.id.value())
        .with("stage", std::int64_t(stageIndex))
        .with("named", std::int64_t(workers.size()))
        .with("allowed", result ? std::int64_t(result.value().allowed.size()) : -1)
        .with("tookMs", core::toMs(now - requestedAt));
    if (!result) {
        advice.nextRequestAt = now + adviceRetryDelay;
        return;
    }
    updateAllowedShare(*job, advice, workers, result.value());
    stage.reservation.reset(); // made without this advice
    const workflow::AdvicePolicy& policy = *job->record.queue.advice;
    advice.denied.insert(workers.begin(), workers.end());
    for (const fleet::Ticket& it : result.value().allowed) {
        advice.denied.erase(it.worker);
        advice.tickets[it.worker] = { it.text, now + policy.validity };
    }
    if (result.value().allowed.empty())
        advice.nextRequestAt
            = now + (advice.denied.size() < m_workers.size() ? adviceRetryDelay : noneAllowedRetryDelay);
}

} // namespace sardinerun::scheduling

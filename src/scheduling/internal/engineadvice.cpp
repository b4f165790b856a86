//! When the advice service is asked, and about whom.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

constexpr core::Duration adviceRetry = std::chrono::milliseconds(150);
//! When advice allowed nobody who has room, until it is asked about others.
constexpr core::Duration nobodyRetry = std::chrono::milliseconds(1000);
//! Share of the named workers that advice allows, until it is learnt.
constexpr double firstGoodShare = 0.4;
constexpr double goodShareGain = 0.1;
//! Advice for a gang is asked for so long before its room is there, beyond the time that advice takes.
constexpr core::Duration adviceMargin = std::chrono::milliseconds(300);
constexpr std::size_t usuallyNamed = 24; //!< by which the time that advice takes is reckoned
constexpr std::size_t leastNamedForEachTask = 8;
constexpr std::size_t mostAtLeast = 96; //!< a question takes no more than a hundred
//! Naming so many more costs three halves of the time of the question by itself.
constexpr std::int64_t costFactor = 3;
constexpr std::int64_t costDivisor = 2;

//! Room that is kept on a worker, or nothing.
const core::Resources* keptOn(const core::VmId& worker, const std::optional<Reservation>& reservation)
{
    if (!reservation)
        return nullptr;
    const auto it = reservation->kept.find(worker);
    return it == reservation->kept.end() ? nullptr : &it->second;
}

//! A wide choice is worth as much time as the question takes anyway; few tasks do not need it.
std::size_t leastToName(const workflow::AdvicePolicy& terms, std::uint32_t tasks)
{
    const core::Duration each = std::max(terms.perWorker, core::Duration(1));
    const std::size_t worth = std::size_t(terms.perRequest * costFactor / each / costDivisor);
    const std::size_t most = std::min(mostAtLeast, leastNamedForEachTask * std::max(1u, tasks));
    return std::clamp(worth, leastNamedForEachTask, most);
}

} // namespace

double EngineImpl::goodShareOf(const std::string& queue) const
{
    const auto it = m_goodShare.find(queue);
    return it == m_goodShare.end() ? firstGoodShare : it->second;
}

std::vector<core::VmId> EngineImpl::workersToName(
    const Job& job, const Stage& stage, core::TimePoint now, const std::optional<Reservation>& reservation)
{
    const Demand demand = demandOf(job, stage);
    std::vector<AdviceCandidate> candidates;
    for (const Candidate& it : candidatesFor(job, stage, now, Need::NotDenied)) {
        std::int64_t slots = slotsIn(it.room, demand.need);
        if (demand.maxPerWorker > 0)
            slots = std::clamp<std::int64_t>(std::int64_t(demand.maxPerWorker) - std::int64_t(it.ofStep), 0, slots);
        const core::Resources* kept = keptOn(it.worker, reservation);
        if (kept)
            slots = std::max(slots, slotsIn(*kept, demand.need));
        if (demand.need.fitsIn(it.capacity))
            candidates.push_back({ it.worker, slots, kept != nullptr, stage.advice.tickets.contains(it.worker) });
    }
    const bool isSoon = reservation && reservation->completeIn <= adviceLeadOf(job);
    const std::size_t least = leastToName(*job.record.queue.advice, demand.count);
    return selectAdviceCandidates(demand, std::move(candidates), goodShareOf(job.record.queue.name), least, isSoon);
}

core::Duration EngineImpl::adviceLeadOf(const Job& job)
{
    return job.record.queue.advice->costOf(usuallyNamed) + adviceMargin;
}

bool EngineImpl::needsAdvice(const Turn& turn, core::TimePoint now) const
{
    const AdviceState& advice = turn.stage->advice;
    if (advice.isAsked || now < advice.askAgainAt)
        return false;
    // Single tasks found no room on the workers that are allowed; others may have some.
    if (!turn.job->stepOf(*turn.stage).isGang)
        return true;
    const core::TimePoint lapsesBy = now + adviceLeadOf(*turn.job);
    return std::none_of(advice.tickets.begin(), advice.tickets.end(),
        [lapsesBy](const auto& it) { return it.second.validUntil > lapsesBy; });
}

void EngineImpl::askAdvice(const Turn& turn, core::TimePoint now, const std::optional<Reservation>& reservation)
{
    if (!needsAdvice(turn, now))
        return;
    Stage& stage = *turn.stage;
    AdviceState& advice = stage.advice;
    const workflow::AdvicePolicy& terms = *turn.job->record.queue.advice;
    if (m_dependencies.advice->freeNodes(terms.perRequest) == 0 && turn.priority > 0)
        return; // its turn is decided anew when a node is free
    const std::vector<core::VmId> named = workersToName(*turn.job, stage, now, reservation);
    if (named.empty())
        return;
    advice.isAsked = true;
    fleet::AdviceRequest question;
    question.job = turn.job->record.spec.id;
    question.occurrence = stage.occurrence;
    question.step = stage.step;
    question.workers = named;
    const AdviceRank rank { turn.priority, turn.startBy, terms.costOf(named.size()) };
    const std::size_t number = stage.occurrence * turn.job->record.spec.steps.size() + stage.step;
    m_dependencies.advice->ask(std::move(question), rank,
        [self = weak_from_this(), job = turn.job, number, named, now](const fleet::AdviceResult& result) {
            if (const auto it = self.lock())
                it->onAdvice(job, number, named, now, result);
        });
}

//! Only from workers of whom nothing was known.
void EngineImpl::learnGoodShare(
    const Job& job, const AdviceState& known, const std::vector<core::VmId>& named, const fleet::Advice& advice)
{
    const auto isNew = [&known](const core::VmId& it) { return !known.tickets.contains(it); };
    const auto asked = std::count_if(named.begin(), named.end(), isNew);
    const auto allowed = std::count_if(
        advice.allowed.begin(), advice.allowed.end(), [&isNew](const fleet::Ticket& it) { return isNew(it.worker); });
    if (asked == 0)
        return;
    double& share = m_goodShare.try_emplace(job.record.queue.name, firstGoodShare).first->second;
    share += goodShareGain * (double(allowed) / double(asked) - share);
}

void EngineImpl::onAdvice(const JobPtr& job, std::size_t number, const std::vector<core::VmId>& named,
    const core::TimePoint& askedAt, const fleet::AdviceResult& result)
{
    if (job->isOver() || number >= job->stages.size())
        return;
    const core::TimePoint now = m_dependencies.loop->now();
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
    learnGoodShare(*job, advice, named, result.value());
    const workflow::AdvicePolicy& terms = *job->record.queue.advice;
    advice.denied.insert(named.begin(), named.end());
    for (const fleet::Ticket& it : result.value().allowed) {
        advice.denied.erase(it.worker);
        advice.tickets[it.worker] = { it.text, now + terms.validity };
    }
    if (result.value().allowed.empty())
        advice.askAgainAt = now + (advice.denied.size() < m_workers.size() ? adviceRetry : nobodyRetry);
}

} // namespace sardinerun::scheduling

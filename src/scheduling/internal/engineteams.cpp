//! Teams: what they run, their caps, and jobs beyond the rate that they may rely on.

#include "scheduling/internal/engineimpl.h"

#include "core/shares.h"
#include "scheduling/fairorder.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace sardinerun::scheduling {

namespace {

//! Room that stays free beside an excess job, as a share of the fleet. It is what other teams need within the run time
//! of such a job.
constexpr double freeShareBesideExcess = 0.1;
//! Waiting work, as time of the whole fleet, above which the fleet counts as short.
constexpr double shortSeconds = 0.05;
//! Share of its team's cap for which the first tasks of a wide step wait.
constexpr double maxShareOfFirstWave = 0.25;
//! Stages of equal priority that are ordered by the shares of their teams in each round; the rest stays behind them by
//! its latest start. A round places some hundred stages within its time.
constexpr std::size_t maxOrderedStages = 4000;
//! After this time, what becomes free of a team's cap is left to its gang that waits. Otherwise single tasks of the
//! team would take each bit of it, and the gang would never start.
constexpr core::Duration minCapWait = std::chrono::seconds(1);
//! How long it is left to the gang at a time, as tasks that last may never end. The team's other tasks then have the
//! same time.
constexpr core::Duration maxCapHold = std::chrono::seconds(10);
constexpr const char* excessReason = "its team is over its rate and the fleet is full";

double cpuSecondsOf(const core::Resources& amount, core::Duration estimate)
{
    return double(amount.cpu.value()) / 1000 * std::chrono::duration<double>(estimate).count();
}

//! Orders the stages from `first` on, whose work is given, as far as a round may get to them.
template <class Iterator>
void orderFirst(Iterator first, const std::vector<WaitingWork>& work, const teams::UsageLedger& usage)
{
    FairOrder order(work, usage);
    std::vector<bool> isTaken(work.size());
    std::vector<typename Iterator::value_type> ordered;
    ordered.reserve(work.size());
    const auto take = [&](std::size_t n) {
        isTaken[n] = true;
        ordered.push_back(std::move(*(first + std::ptrdiff_t(n))));
    };
    while (ordered.size() < maxOrderedStages) {
        const auto n = order.next();
        if (!n)
            break;
        take(*n);
    }
    for (std::size_t n = 0; n < work.size(); ++n) {
        if (!isTaken[n])
            take(n);
    }
    std::move(ordered.begin(), ordered.end(), first);
}

} // namespace

void EngineImpl::countRun(const core::VmId& worker, const fleet::RunId& run, const CountedRun& counted)
{
    if (counted.team.value().empty() || !m_countedRuns.try_emplace({ worker, run }, counted).second)
        return;
    m_usage.add(counted.team, counted.amount.total());
    m_cpuSeconds[counted.team] += cpuSecondsOf(counted.amount.total(), counted.estimate);
    if (const JobPtr job = jobOf(run.task.job))
        job->occupied = job->occupied + counted.amount;
}

void EngineImpl::uncountRun(const core::VmId& worker, const fleet::RunId& run)
{
    const auto it = m_countedRuns.find({ worker, run });
    if (it == m_countedRuns.end())
        return;
    const CountedRun& counted = it->second;
    m_usage.remove(counted.team, counted.amount.total());
    m_cpuSeconds[counted.team] -= cpuSecondsOf(counted.amount.total(), counted.estimate);
    if (const JobPtr job = jobOf(run.task.job))
        job->occupied = job->occupied - counted.amount;
    m_countedRuns.erase(it);
}

void EngineImpl::recallEndedJob(const Job& job)
{
    if (job.record.team.value().empty() || job.record.left.total() == core::Resources())
        return;
    workflow::Occupation& sum = m_leftByEndedJobs[job.record.team];
    sum = sum + job.record.left;
}

void EngineImpl::recallCaps()
{
    std::map<core::TeamId, const workflow::JobRecord*> newest;
    for (const auto& [id, job] : m_active) {
        if (job->record.team.value().empty())
            continue;
        const workflow::JobRecord*& it = newest[job->record.team];
        if (!it || it->acceptedAt < job->record.acceptedAt)
            it = &job->record;
    }
    for (const auto& [team, record] : newest)
        m_usage.recallCap(team, record->cap);
}

void EngineImpl::countPossibleRuns()
{
    m_usage.clearPossible();
    if (m_isBarrierPassed)
        return;
    std::map<core::TeamId, workflow::Occupation> possible = m_leftByEndedJobs;
    for (const auto& [id, job] : m_active) {
        if (!job->isRecovered || m_usage.capOf(job->record.team) == core::Resources())
            continue;
        workflow::Occupation& sum = possible[job->record.team];
        sum = sum + possibleRunsOf(*job);
    }
    if (possible.empty())
        return;
    const std::optional<core::Resources> unheard = unheardRoom();
    for (const auto& [team, sum] : possible) {
        core::Resources amount = sum.room;
        if (unheard)
            amount = { std::min(amount.cpu, unheard->cpu), std::min(amount.memory, unheard->memory),
                std::min(amount.accelerators, unheard->accelerators) };
        amount.cpu += sum.spareCpu;
        m_usage.setPossible(team, amount);
    }
}

workflow::Occupation EngineImpl::possibleRunsOf(const Job& job) const
{
    workflow::Occupation sum;
    // A former leader may have started later steps before the ends of the earlier ones were persisted.
    for (std::size_t n = job.firstUndone; n < job.stages.size(); ++n) {
        const Stage& stage = job.stages[n];
        if (!isDue(job.record.spec, stage.occurrence))
            break;
        sum = sum + occupationOf(job.stepOf(stage)) * std::int64_t(stage.startable());
    }
    return sum;
}

std::optional<core::Resources> EngineImpl::unheardRoom() const
{
    const core::TimePoint now = m_dependencies.loop->now();
    core::Resources sum;
    for (const auto& [id, worker] : m_workers) {
        if (worker->areFormerRunsKnown(now))
            continue;
        // The roster has no sizes, so that of a worker which is not listed is unknown.
        if (worker->entry().capacity == core::Resources())
            return std::nullopt;
        sum = sum + worker->entry().capacity;
    }
    return sum;
}

std::uint32_t EngineImpl::tasksWithinCap(const Job& job, const Stage& stage) const
{
    const auto count = static_cast<std::uint32_t>(stage.startable());
    return m_usage.tasksWithinCap(job.record.team, job.stepOf(stage).need, count);
}

bool EngineImpl::waitsForCap(const Job& job, const Stage& stage) const
{
    const std::uint32_t allowed = tasksWithinCap(job, stage);
    return allowed == 0 || (job.stepOf(stage).isGang && allowed < stage.startable());
}

void EngineImpl::leaveCapToGangs(std::vector<ReadyStage>& all, const std::vector<ReadyStage>& waitingGangs) const
{
    const auto turnOf
        = [](const ReadyStage& it) { return std::make_tuple(it.isLate, it.isExcess, it.priority, it.stage->openedAt); };
    std::map<core::TeamId, decltype(turnOf(all.front()))> turns; // the first of the gangs that hold the cap of a team
    for (const ReadyStage& it : waitingGangs) {
        const core::Duration waited = m_roundAt - it.stage->waitsForCapSince;
        const core::TeamId& team = it.job->record.team;
        const workflow::StepSpec& step = it.job->stepOf(*it.stage);
        if (waited < minCapWait || (waited - minCapWait) / maxCapHold % 2 == 1
            || !m_usage.canEverRun(team, step.need * std::int64_t(step.count)))
            continue;
        const auto [turn, isFirst] = turns.emplace(team, turnOf(it));
        if (!isFirst)
            turn->second = std::min(turn->second, turnOf(it));
    }
    if (turns.empty())
        return;
    std::erase_if(all, [&](const ReadyStage& it) {
        const auto turn = turns.find(it.job->record.team);
        return turn != turns.end() && turn->second < turnOf(it);
    });
}

bool EngineImpl::exceedsCap(const workflow::JobSpec& spec, const core::TeamId& team) const
{
    return std::any_of(spec.steps.begin(), spec.steps.end(), [&](const workflow::StepSpec& it) {
        return !m_usage.canEverRun(team, it.need * (it.isGang ? std::int64_t(it.count) : 1));
    });
}

void EngineImpl::orderByShares(std::vector<ReadyStage>& all) const
{
    if (!m_config || m_config->teams.empty())
        return;
    const auto isSameLevel = [](const ReadyStage& a, const ReadyStage& b) {
        return std::tie(a.isLate, a.isOutOfUse, a.isExcess, a.priority)
            == std::tie(b.isLate, b.isOutOfUse, b.isExcess, b.priority);
    };
    for (auto first = all.begin(); first != all.end();) {
        const auto last
            = std::find_if(first, all.end(), [&](const ReadyStage& it) { return !isSameLevel(*first, it); });
        std::vector<WaitingWork> work;
        for (auto it = first; it != last; ++it)
            work.push_back({ it->job->record.team,
                it->job->stepOf(*it->stage).need * std::int64_t(it->stage->startable()), it->startBy });
        orderFirst(first, work, m_usage);
        first = last;
    }
}

core::Resources EngineImpl::pendingNeedOf(const Job& job)
{
    core::Resources sum;
    for (std::size_t n = job.firstUndone; n < job.stages.size(); ++n) {
        const Stage& stage = job.stages[n];
        if (!job.stepOf(stage).isLongRunning)
            sum = sum + job.stepOf(stage).need * std::int64_t(stage.pending);
    }
    return sum;
}

double EngineImpl::startableShareOf(const core::TeamId& team, const TeamWork& work) const
{
    const core::Resources cap = m_usage.capOf(team);
    const double waiting = core::dominantShare(work.need, cap);
    const double used = core::dominantShare(m_usage.usedBy(team), cap);
    return waiting > 0 ? std::clamp((1 - used) / waiting, 0.0, 1.0) : 1;
}

core::Duration EngineImpl::capWait(
    const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue, const TeamWork& pending) const
{
    const core::TeamId team = teamOf(call);
    const core::Resources cap = m_usage.capOf(team);
    const core::Resources used = m_usage.usedBy(team);
    core::Resources ahead;
    for (const auto& [priority, need] : pending.needByPriority) {
        if (priority <= queue.priority)
            ahead = ahead + need;
    }
    core::Resources first; // need of the steps that start at once
    for (const workflow::StepSpec& it : call.spec.steps) {
        if (it.after.empty())
            first = first + it.need * std::int64_t(it.count);
    }
    // A wide step runs in waves. That is part of its run time and not of its wait.
    const double ownShare = std::min(core::dominantShare(first, cap), maxShareOfFirstWave);
    const double missing = core::dominantShare(used + ahead, cap) + ownShare - 1;
    const double usedShare = core::dominantShare(used, cap);
    const auto cpuSeconds = m_cpuSeconds.find(team);
    if (missing <= 0 || usedShare <= 0 || cpuSeconds == m_cpuSeconds.end() || used.cpu.value() <= 0)
        return core::Duration(0);
    // What runs frees its whole room once within the mean run time of its tasks.
    const double meanRunSeconds = cpuSeconds->second * 1000 / double(used.cpu.value());
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(missing / usedShare * meanRunSeconds));
}

bool EngineImpl::isFleetShort(const AdmissionInputs& inputs, const workflow::JobSpec& spec)
{
    double cores = 0;
    for (const workflow::StepSpec& it : spec.steps)
        cores = std::max(cores, coresOf(it));
    if (inputs.freeCores - cores < inputs.cores * freeShareBesideExcess)
        return true;
    const WorkAhead::Sum all = admissionSnapshot().work.before(std::numeric_limits<int>::max(), core::TimePoint::max());
    return all.coreSeconds + all.gangCoreSeconds + all.lateCoreSeconds > inputs.cores * shortSeconds;
}

std::optional<AdmissionRefusal> EngineImpl::teamRefusalOf(
    const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue, const AdmissionInputs& inputs)
{
    const core::TeamId team = teamOf(call);
    if (team.value().empty())
        return std::nullopt;
    if (exceedsCap(call.spec, team))
        return AdmissionRefusal { "a task or gang needs more than its team may run", std::nullopt,
            RefusalCause::Never };
    const bool isExcess = m_rates.timeToNext(team, m_dependencies.loop->now()) > core::Duration(0);
    if (isExcess && isFleetShort(inputs, call.spec))
        return AdmissionRefusal { excessReason, excessRetryAfter(team, queue.priority), RefusalCause::Rate };
    return std::nullopt;
}

core::Duration EngineImpl::excessRetryAfter(const core::TeamId& team, int priority)
{
    const teams::Team* it = m_config->findTeam(team);
    const double rate = it && it->guaranteedJobsPerSecond > 0 ? it->guaranteedJobsPerSecond : 1;
    return m_retrySchedule.next(team, rate, priority, m_dependencies.loop->now());
}

} // namespace sardinerun::scheduling

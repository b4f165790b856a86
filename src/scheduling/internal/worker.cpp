#include "scheduling/internal/worker.h"

#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

constexpr core::Duration samplePeriod = std::chrono::milliseconds(250);

} // namespace

core::Duration WorkerRun::timePerPercent() const
{
    const int advanced = percent - firstPercent;
    return firstPercent < 0 || advanced <= 0 ? core::Duration(0) : (progressAt - firstListedAt) / advanced;
}

WorkerPtr Worker::create(runtime::ILoopPtr loop, fleet::IWorkerOrdersPtr orders, fleet::WorkerEntry entry,
    core::Epoch fence, core::TimePoint priorLeaseUntil, SchedulingTimes times, OrderWindowPtr window, WorkerHooks hooks)
{
    return WorkerPtr(new Worker(std::move(loop), std::move(orders), std::move(entry), fence, priorLeaseUntil, times,
        std::move(window), std::move(hooks)));
}

Worker::Worker(runtime::ILoopPtr loop, fleet::IWorkerOrdersPtr orders, fleet::WorkerEntry entry, core::Epoch fence,
    core::TimePoint priorLeaseUntil, SchedulingTimes times, OrderWindowPtr window, WorkerHooks hooks)
    : m_loop(std::move(loop))
    , m_orders(std::move(orders))
    , m_entry(std::move(entry))
    , m_fence(fence)
    , m_priorLeaseUntil(priorLeaseUntil)
    , m_times(times)
    , m_window(std::move(window))
    , m_hooks(std::move(hooks))
    , m_listedIncarnation(m_entry.startedAt)
{
}

void Worker::begin(core::Duration delay)
{
    if (delay > core::Duration(0))
        scheduleRenewal(delay);
    else
        renewLease();
}

void Worker::detach()
{
    m_isDetached = true;
}

void Worker::setEntry(fleet::WorkerEntry entry)
{
    m_listedIncarnation = entry.startedAt;
    entry.startedAt = m_entry.startedAt;
    m_entry = std::move(entry);
}

void Worker::setListed(bool isListed)
{
    if (m_isListed && !isListed)
        m_unlistedAt = m_loop->now();
    m_isListed = isListed;
}

bool Worker::acceptsStarts(core::TimePoint now) const
{
    return isReachable() && !hasLeft(now) && !m_entry.isDraining && !isEntryOutdated() && now >= m_startsPausedUntil;
}

fleet::WorkerClock Worker::clockAt(core::TimePoint at) const
{
    return m_clock + fleet::WorkerClock(core::toMs(at - m_clockAt) + 1);
}

void Worker::recordClock(fleet::WorkerClock clock)
{
    if (m_hasClock && clock < m_clock)
        return; // this answer was overtaken by a later one
    m_hasClock = true;
    m_clock = clock;
    m_clockAt = m_loop->now();
}

void Worker::recordClock(const fleet::OrderResult& result, fleet::WorkerStartTime incarnation)
{
    if (result && incarnation == m_entry.startedAt)
        recordClock(result.value());
}

void Worker::applyReport(const fleet::WorkerReport& report, core::TimePoint sentAt)
{
    if (m_formerIncarnations.contains(report.startedAt))
        return; // overtaken by a report of the next incarnation
    const bool isNewIncarnation
        = report.startedAt.value() > 0 && m_entry.startedAt.value() > 0 && report.startedAt != m_entry.startedAt;
    if (isNewIncarnation) {
        // The worker has restarted: its former runs are gone, and the numbering of its ends starts again.
        loseConfirmedRuns();
        m_formerIncarnations.insert(m_entry.startedAt);
        m_entry.startedAt = report.startedAt;
        m_acknowledgedUpTo = {};
        m_lastEnd = {};
        m_acknowledgedAhead.clear();
        m_hasListedAllEnds = false;
        m_hasClock = false;
        // An order for the former incarnation may have arrived, or still arrive, with a lease on the former clock.
        m_leaseUntil = report.clock + fleet::WorkerClock(core::toMs(m_times.longestLease + m_times.lateAnswerTimeout));
        m_incarnationSeenAt = {};
        m_reportClock = {};
    } else if (report.startedAt.value() > 0) {
        m_entry.startedAt = report.startedAt;
    }
    if (report.clock < m_reportClock)
        return; // overtaken by a newer report, which includes all of it that still holds
    m_reportClock = report.clock;
    m_incarnationSeenAt = std::max(m_incarnationSeenAt, report.requestedAt);
    recordClock(report.clock);
    std::set<fleet::RunId> reported;
    applyRunning(report, reported);
    applyEnds(report);
    m_hasAnswered = true;
    // The end of a run that is not listed may be among those that follow, so the run is not lost.
    if (!report.mayHaveMoreEnds) {
        m_hasListedAllEnds = true;
        removeUnlistedRuns(reported, sentAt);
        revokeUnlistedStarts(reported, sentAt);
    }
    m_hooks.reported(*this);
}

void Worker::applyRunning(const fleet::WorkerReport& report, std::set<fleet::RunId>& reported)
{
    const core::TimePoint now = m_loop->now();
    for (const fleet::RunningRun& entry : report.running) {
        reported.insert(entry.runId);
        auto found = m_runs.find(entry.runId);
        if (found == m_runs.end()) {
            const Adoption adoption = m_hooks.adopt(*this, entry);
            WorkerRun run;
            run.state = adoption.isAdopted ? WorkerRun::State::Running : WorkerRun::State::Stopping;
            // The room of a run of an unknown job is not known. It counts as occupying the whole worker, so nothing
            // else starts there before it has ended.
            run.occupiedRoom = adoption.room.value_or(m_entry.capacity);
            run.orderedAt = now;
            run.confirmedAt = now;
            run.progressAt = now;
            found = m_runs.emplace(entry.runId, run).first;
            m_occupiedRoom = m_occupiedRoom + run.occupiedRoom;
            if (!adoption.isAdopted)
                sendStop(entry.runId);
        }
        if (found->second.state == WorkerRun::State::StartUncertain)
            confirmStart(entry.runId);
        WorkerRun& run = found->second;
        if (run.firstPercent < 0) {
            run.firstPercent = entry.percent;
            run.firstListedAt = now;
            run.sampledPercent = entry.percent;
            run.sampledAt = now;
        }
        if (entry.percent != run.percent) {
            run.percent = entry.percent;
            run.progressAt = now;
        }
        sampleProgress(entry.runId, run, entry.percent);
        run.load = entry.load;
        if (!entry.checkpoint.empty())
            run.checkpoint = entry.checkpoint;
    }
}

void Worker::sampleProgress(const fleet::RunId& runId, WorkerRun& run, int percent)
{
    const core::TimePoint now = m_loop->now();
    if (run.state != WorkerRun::State::Running || now - run.sampledAt < samplePeriod)
        return;
    // A run at 0 percent may still be starting or waiting for the other members of its gang; a run at 100 percent may
    // wait for them, too.
    if (percent > 0 && percent < 100)
        m_hooks.progress(*this, runId, double(percent - run.sampledPercent) / 100, now - run.sampledAt);
    run.sampledPercent = percent;
    run.sampledAt = now;
}

void Worker::applyEnds(const fleet::WorkerReport& report)
{
    // Ends before the first listed one have been discarded, perhaps after an acknowledgement of a former leader.
    if (!report.ended.empty())
        m_acknowledgedUpTo = std::max(m_acknowledgedUpTo, fleet::EndNumber(report.ended.front().number.value() - 1));
    for (const fleet::EndedRun& end : report.ended) {
        if (end.number <= m_lastEnd)
            continue;
        m_lastEnd = end.number;
        const auto it = m_runs.find(end.runId);
        if (it == m_runs.end()) {
            m_hooks.ended(*this, end, std::nullopt);
            continue;
        }
        RunTermination termination;
        termination.runTime = m_loop->now() - it->second.orderedAt;
        m_hooks.ended(*this, end, termination.runTime);
        termination.cause = RunTermination::Cause::Ended;
        termination.end = end.kind;
        termination.checkpoint = end.checkpoint.empty() ? it->second.checkpoint : end.checkpoint;
        terminateRun(end.runId, termination);
    }
}

void Worker::removeUnlistedRuns(const std::set<fleet::RunId>& reported, core::TimePoint sentAt)
{
    std::vector<fleet::RunId> unlisted;
    for (const auto& [runId, run] : m_runs) {
        const bool mustBeListed = run.state != WorkerRun::State::Ordered && run.confirmedAt != core::TimePoint()
            && sentAt > run.confirmedAt && !run.isStopInFlight;
        if (mustBeListed && !reported.contains(runId))
            unlisted.push_back(runId);
    }
    for (const fleet::RunId& runId : unlisted) {
        RunTermination termination;
        termination.cause = m_runs[runId].state == WorkerRun::State::StartRevoked ? RunTermination::Cause::NotStarted
                                                                                  : RunTermination::Cause::Lost;
        termination.checkpoint = m_runs[runId].checkpoint;
        terminateRun(runId, termination);
    }
}

void Worker::acknowledgeEnd(fleet::WorkerStartTime incarnation, fleet::EndNumber number)
{
    if (incarnation != m_entry.startedAt || number <= m_acknowledgedUpTo)
        return;
    m_acknowledgedAhead.insert(number);
    while (!m_acknowledgedAhead.empty() && m_acknowledgedAhead.begin()->value() == m_acknowledgedUpTo.value() + 1) {
        m_acknowledgedUpTo = *m_acknowledgedAhead.begin();
        m_acknowledgedAhead.erase(m_acknowledgedAhead.begin());
    }
    if (!hasUnacknowledgedEnds() && m_failedRenewals == 0 && m_hasAnswered)
        scheduleRenewal(core::Duration(0));
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): the id may be the key of the entry that is erased here
void Worker::terminateRun(fleet::RunId runId, RunTermination termination)
{
    const auto it = m_runs.find(runId);
    if (termination.runTime == core::Duration(0))
        termination.runTime = m_loop->now() - it->second.orderedAt;
    m_occupiedRoom = m_occupiedRoom - it->second.occupiedRoom;
    m_runs.erase(it);
    m_hooks.terminated(*this, runId, termination);
}

void Worker::loseAllRuns()
{
    while (!m_runs.empty()) {
        RunTermination termination;
        termination.checkpoint = m_runs.begin()->second.checkpoint;
        terminateRun(m_runs.begin()->first, termination);
    }
}

void Worker::loseConfirmedRuns()
{
    std::vector<fleet::RunId> lost;
    std::vector<fleet::RunId> revoked;
    for (auto& [runId, run] : m_runs) {
        using State = WorkerRun::State;
        if (run.state == State::Running || run.state == State::Stopping)
            lost.push_back(runId);
        else if (run.state == State::StartRevoked)
            revoked.push_back(runId);
    }
    for (const fleet::RunId& it : lost) {
        RunTermination termination;
        termination.checkpoint = m_runs[it].checkpoint;
        terminateRun(it, termination);
    }
    // The former incarnation's answer to a stop says nothing about the next one.
    for (const fleet::RunId& it : revoked) {
        m_runs[it].confirmedAt = {};
        sendStop(it);
    }
}

void Worker::endIncarnation()
{
    const WorkerPtr self = shared_from_this();
    loseAllRuns();
    m_isDetached = true;
    m_hooks.incarnationEnded(*this);
}

} // namespace sardinerun::scheduling

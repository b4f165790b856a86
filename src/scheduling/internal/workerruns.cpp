//! Start and stop orders of a worker, and the handling of lost answers.

#include "scheduling/internal/worker.h"

#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using fleet::OrderFailure;
using telemetry::LogLine;
using telemetry::Severity;

constexpr core::Duration unhealthyPause = std::chrono::milliseconds(800);
//! A start is given up that is held back this often; its connections are busy, or the worker doesn't keep them open.
constexpr int maxNewConnections = 4;
constexpr core::Duration stopRetryDelay = std::chrono::milliseconds(150);
//! The refresh must be sent strictly later than the answer that it confirms.
constexpr core::Duration refreshDelay = std::chrono::milliseconds(1);

} // namespace

void Worker::startRun(const fleet::StartOrder& order, const core::Resources& occupiedRoom, core::TimePoint decidedAt)
{
    WorkerRun run;
    run.occupiedRoom = occupiedRoom;
    run.orderedAt = m_loop->now();
    run.progressAt = run.orderedAt;
    run.isFromBeginning = order.checkpoint.empty();
    run.checkpoint = order.checkpoint;
    run.cpuLimit = 100;
    m_runs[order.runId] = run;
    m_occupiedRoom = m_occupiedRoom + occupiedRoom;
    fleet::StartOrder sent = order;
    sent.fence = m_fence;
    sent.patience = patience();
    // The process may have been paused since the decision. The worker must not take an order then that is too late.
    sent.leaseUntil = clockAt(decidedAt) + fleet::WorkerClock(core::toMs(m_times.lease));
    recordLease(sent.leaseUntil);
    sendStart(sent);
}

void Worker::sendStart(const fleet::StartOrder& order)
{
    fleet::StartOrder sent = order;
    sent.incarnationSeenAt = m_incarnationSeenAt;
    // The callbacks don't own the loop, as they would keep it, and it keeps them.
    const auto settle = [windowOrder = m_window->send(m_loop->now()), loop = std::weak_ptr(m_loop)] {
        if (const auto it = loop.lock())
            windowOrder->settle(it->now());
    };
    m_loop->callAfter(sent.patience.connect, [self = weak_from_this(), settle, runId = order.runId] {
        settle();
        const auto it = self.lock();
        if (it && !it->m_isDetached)
            it->doubtStart(runId);
    });
    m_orders->start(address(), sent,
        [self = weak_from_this(), settle, order, incarnation = m_entry.startedAt](const fleet::OrderResult& result) {
            settle();
            const auto it = self.lock();
            if (!it || it->m_isDetached)
                return;
            if (!result && result.error().code == OrderFailure::Code::NewConnection) {
                it->retryStart(order, *result.error().report, incarnation);
                return;
            }
            it->recordClock(result, incarnation);
            it->onStarted(order.runId, result);
        });
}

void Worker::retryStart(
    const fleet::StartOrder& order, const fleet::WorkerReport& report, fleet::WorkerStartTime incarnation)
{
    applyReport(report, report.requestedAt);
    const auto found = m_runs.find(order.runId);
    if (found == m_runs.end() || m_isDetached)
        return;
    WorkerRun& run = found->second;
    // It was certainly not carried out, also if that was in doubt meanwhile.
    const bool isAwaited = run.state == WorkerRun::State::Ordered || run.state == WorkerRun::State::StartUncertain;
    const bool mayRetry = isAwaited && incarnation == m_entry.startedAt && ++run.newConnections < maxNewConnections;
    if (mayRetry) {
        run.state = WorkerRun::State::Ordered;
        sendStart(order);
        return;
    }
    onStarted(order.runId, core::Failure { OrderFailure { OrderFailure::Code::NewConnection, "" } });
}

void Worker::onStarted(const fleet::RunId& runId, const fleet::OrderResult& result)
{
    const auto found = m_runs.find(runId);
    if (found == m_runs.end())
        return; // its end was reported first
    WorkerRun& run = found->second;
    if (result) {
        confirmStart(runId);
        return;
    }
    const OrderFailure::Code code = result.error().code;
    telemetry::LogLine(telemetry::Severity::Info, "start-failed")
        .with("task", fleet::textOf(runId.task))
        .with("run", runId.run.value())
        .with("worker", id().value())
        .with("why", fleet::nameOf(code));
    if (code == OrderFailure::Code::Unknown) {
        doubtStart(runId);
        return;
    }
    if (code == OrderFailure::Code::Unhealthy)
        pauseStartsUntil(m_loop->now() + unhealthyPause);
    RunTermination termination;
    termination.cause = RunTermination::Cause::NotStarted;
    termination.startFailure = code;
    termination.checkpoint = run.checkpoint;
    terminateRun(runId, termination);
    if (code == OrderFailure::Code::Fenced)
        m_hooks.fenced(*this);
    else if (code == OrderFailure::Code::OtherIncarnation)
        endIncarnation();
}

void Worker::confirmStart(const fleet::RunId& runId)
{
    WorkerRun& run = m_runs.at(runId);
    const bool isAwaited = run.state == WorkerRun::State::Ordered || run.state == WorkerRun::State::StartUncertain;
    if (!isAwaited)
        return; // it is being stopped
    run.confirmedAt = m_loop->now();
    run.state = WorkerRun::State::Running;
    m_hooks.running(*this, runId);
}

void Worker::doubtStart(const fleet::RunId& runId)
{
    const auto it = m_runs.find(runId);
    if (it == m_runs.end() || it->second.state != WorkerRun::State::Ordered)
        return;
    // The order may have been lost, be on its way, or have been carried out. Stopping the run would waste work that
    // has begun, so the worker is asked first.
    it->second.state = WorkerRun::State::StartUncertain;
    it->second.uncertainSince = m_loop->now();
    telemetry::LogLine(telemetry::Severity::Info, "start-uncertain")
        .with("task", fleet::textOf(runId.task))
        .with("run", runId.run.value())
        .with("worker", id().value())
        .with("afterMs", core::toMs(m_loop->now() - it->second.orderedAt));
    refreshNow();
}

void Worker::revokeUnlistedStarts(const std::set<fleet::RunId>& reported, core::TimePoint sentAt)
{
    for (auto& [runId, run] : m_runs) {
        if (run.state != WorkerRun::State::StartUncertain || sentAt < run.uncertainSince || reported.contains(runId))
            continue;
        run.state = WorkerRun::State::StartRevoked;
        sendStop(runId);
    }
}

void Worker::stopRun(const fleet::RunId& runId)
{
    const auto it = m_runs.find(runId);
    if (it == m_runs.end() || it->second.state == WorkerRun::State::StartRevoked
        || it->second.state == WorkerRun::State::Stopping)
        return;
    it->second.state = it->second.state == WorkerRun::State::StartUncertain ? WorkerRun::State::StartRevoked
                                                                            : WorkerRun::State::Stopping;
    it->second.confirmedAt = {};
    sendStop(runId);
}

void Worker::sendStop(const fleet::RunId& runId)
{
    const auto it = m_runs.find(runId);
    if (it == m_runs.end() || it->second.isStopInFlight || m_isDetached)
        return;
    it->second.isStopInFlight = true;
    // A stop is repeated if its answer is late; it has no effect the second time.
    const core::Duration timeout = m_window->answerTimeout(m_times.orderTimeout);
    m_orders->stop(address(), { runId, m_fence, { timeout, timeout } },
        [self = weak_from_this(), runId, incarnation = m_entry.startedAt](const fleet::OrderResult& result) {
            const auto it = self.lock();
            if (!it || it->m_isDetached)
                return;
            it->recordClock(result, incarnation);
            it->onStopped(runId, result);
        });
}

void Worker::onStopped(const fleet::RunId& runId, const fleet::OrderResult& result)
{
    const auto it = m_runs.find(runId);
    if (it == m_runs.end())
        return;
    it->second.isStopInFlight = false;
    if (result) {
        it->second.confirmedAt = m_loop->now();
        if (it->second.state == WorkerRun::State::StartRevoked)
            m_loop->callAfter(refreshDelay, [self = weak_from_this()] {
                if (const auto it = self.lock())
                    it->refreshNow();
            });
        return;
    }
    const OrderFailure::Code code = result.error().code;
    if (code == OrderFailure::Code::Fenced) {
        m_hooks.fenced(*this);
        return;
    }
    if (code == OrderFailure::Code::OtherIncarnation) {
        endIncarnation();
        return;
    }
    if (code == OrderFailure::Code::Outdated) {
        it->second.confirmedAt = m_loop->now(); // the run has ended already
        return;
    }
    m_loop->callAfter(stopRetryDelay, [self = weak_from_this(), runId] {
        if (const auto it = self.lock())
            it->sendStop(runId);
    });
}

void Worker::limitCpu(const fleet::RunId& run, int percent)
{
    const auto it = m_runs.find(run);
    if (it == m_runs.end() || it->second.cpuLimit == percent)
        return;
    it->second.cpuLimit = percent;
    m_orders->limitCpu(address(), { run, percent, m_fence, patience() },
        [self = weak_from_this(), run](const fleet::OrderResult& result) {
            const auto worker = self.lock();
            if (!worker || result)
                return;
            LogLine(Severity::Warning, "pace-failed")
                .with("task", fleet::textOf(run.task))
                .with("worker", worker->id().value())
                .with("why", fleet::nameOf(result.error().code));
            const auto limited = worker->m_runs.find(run);
            if (limited != worker->m_runs.end())
                limited->second.cpuLimit.reset(); // sent again after the next report
        });
}

} // namespace sardinerun::scheduling

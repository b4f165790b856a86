//! Orders to start and stop runs on a worker, and what follows when their answers are lost.

#include "scheduling/internal/worker.h"

#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using fleet::OrderFailure;
using telemetry::LogLine;
using telemetry::Severity;

constexpr core::Duration unhealthyPause = std::chrono::milliseconds(800);
constexpr core::Duration stopRetry = std::chrono::milliseconds(150);
//! A look must be sent after the answer that it is to confirm.
constexpr core::Duration lookPause = std::chrono::milliseconds(1);

} // namespace

void Worker::startRun(const fleet::StartOrder& order, const core::Resources& taken)
{
    WorkerRun run;
    run.taken = taken;
    run.since = m_loop->now();
    run.progressAt = run.since;
    run.checkpoint = order.checkpoint;
    run.limitCpu = 100;
    m_runs[order.run] = run;
    m_taken = m_taken + taken;
    fleet::StartOrder sent = order;
    sent.fence = m_fence;
    sent.leaseUntil = clockNow() + fleet::WorkerClock(core::toMs(m_times.lease));
    noteLease(sent.leaseUntil);
    m_orders->start(address(), sent, [self = weak_from_this(), name = order.run](const fleet::OrderResult& result) {
        const auto it = self.lock();
        if (it && !it->m_isRetired)
            it->onStarted(name, result);
    });
}

void Worker::onStarted(const fleet::RunId& name, const fleet::OrderResult& result)
{
    if (result)
        noteClock(result.value());
    const auto found = m_runs.find(name);
    if (found == m_runs.end())
        return; // its end was listed before
    WorkerRun& run = found->second;
    if (result) {
        run.settledAt = m_loop->now();
        if (run.state == WorkerRun::State::Ordered) {
            run.state = WorkerRun::State::Running;
            m_hooks.running(*this, name);
        }
        return;
    }
    const OrderFailure::Code code = result.error().code;
    telemetry::LogLine(telemetry::Severity::Info, "start-failed")
        .with("task", fleet::textOf(name.task))
        .with("run", name.run.value())
        .with("worker", id().value())
        .with("why", fleet::nameOf(code));
    if (code == OrderFailure::Code::Unknown) {
        run.state = WorkerRun::State::Closing;
        run.settledAt = {};
        sendStop(name);
        return;
    }
    if (code == OrderFailure::Code::Unhealthy)
        avoidUntil(m_loop->now() + unhealthyPause);
    RunOver over;
    over.why = RunOver::Why::NotStarted;
    over.refusal = code;
    over.checkpoint = run.checkpoint;
    finish(name, over);
    if (code == OrderFailure::Code::Fenced)
        m_hooks.fenced(*this);
    else if (code == OrderFailure::Code::OtherIncarnation)
        endLife();
}

void Worker::stopRun(const fleet::RunId& name)
{
    const auto it = m_runs.find(name);
    if (it == m_runs.end() || it->second.state == WorkerRun::State::Closing
        || it->second.state == WorkerRun::State::Stopping)
        return;
    it->second.state = WorkerRun::State::Stopping;
    it->second.settledAt = {};
    sendStop(name);
}

void Worker::sendStop(const fleet::RunId& name)
{
    const auto it = m_runs.find(name);
    if (it == m_runs.end() || it->second.isStopInFlight || m_isRetired)
        return;
    it->second.isStopInFlight = true;
    m_orders->stop(address(), { name, m_fence }, [self = weak_from_this(), name](const fleet::OrderResult& result) {
        const auto it = self.lock();
        if (it && !it->m_isRetired)
            it->onStopped(name, result);
    });
}

void Worker::onStopped(const fleet::RunId& name, const fleet::OrderResult& result)
{
    const auto it = m_runs.find(name);
    if (it == m_runs.end())
        return;
    it->second.isStopInFlight = false;
    if (result) {
        noteClock(result.value());
        it->second.settledAt = m_loop->now();
        if (it->second.state == WorkerRun::State::Closing)
            m_loop->callAfter(lookPause, [self = weak_from_this()] {
                if (const auto it = self.lock())
                    it->lookNow();
            });
        return;
    }
    const OrderFailure::Code code = result.error().code;
    if (code == OrderFailure::Code::Fenced) {
        m_hooks.fenced(*this);
        return;
    }
    if (code == OrderFailure::Code::OtherIncarnation) {
        endLife();
        return;
    }
    if (code == OrderFailure::Code::Outdated) {
        it->second.settledAt = m_loop->now(); // it has ended or was stopped before
        return;
    }
    m_loop->callAfter(stopRetry, [self = weak_from_this(), name] {
        if (const auto it = self.lock())
            it->sendStop(name);
    });
}

void Worker::limitCpu(const fleet::RunId& run, int percent)
{
    const auto it = m_runs.find(run);
    if (it == m_runs.end() || it->second.limitCpu == percent)
        return;
    it->second.limitCpu = percent;
    m_orders->limitCpu(
        address(), { run, percent, m_fence }, [self = weak_from_this(), run](const fleet::OrderResult& result) {
            const auto worker = self.lock();
            if (!worker || result)
                return;
            LogLine(Severity::Warning, "pace-failed")
                .with("task", fleet::textOf(run.task))
                .with("worker", worker->id().value())
                .with("why", fleet::nameOf(result.error().code));
            const auto paced = worker->m_runs.find(run);
            if (paced != worker->m_runs.end())
                paced->second.limitCpu.reset(); // ordered again after the next report
        });
}

} // namespace sardinerun::scheduling

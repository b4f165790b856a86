//! Monitoring of runs: slow workers, hung runs, and CPU limits beside latency-sensitive tasks.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

//! A run without progress counts as hung after this multiple of its average time per percent, at the earliest.
constexpr int stallFactor = 12;
//! The same for the expected time per percent of a run that has not advanced yet.
constexpr int expectedPercentFactor = 4;
//! Each former suspicion of a task doubles the wait, as its time per percent may be longer than expected.
constexpr int maxWaitDoublings = 6;
//! Completed runs of a kind after which its expected run time proves that a run without progress hangs.
constexpr double samplesForProof = 3;
//! A run is moved off a slow worker only if finishing there takes this many times as long as elsewhere.
constexpr int slowRestartFactor = 2;

} // namespace

void EngineImpl::onProgress(Worker& worker, const fleet::RunId& run, double share, core::Duration elapsed)
{
    const auto [job, stage] = findActive(run.task);
    if (!stage)
        return;
    const workflow::StepSpec& step = job->stepOf(*stage);
    // The progress of gang members depends on the other members, that of tasks on spare CPU on the other load of the
    // worker, so neither measures the speed of the worker.
    if (!step.isGang && !step.usesSpareCpu)
        m_speed.onProgress(
            worker.id(), job->record.queue.name, { share, elapsed, step.estimate }, m_dependencies.loop->now());
}

void EngineImpl::onReport(Worker& worker)
{
    if (!m_isBarrierPassed)
        scheduleRound();
    // A stop that is ordered here changes the state of a run, but not the set of runs.
    for (const auto& [runId, run] : worker.runs()) {
        checkStall(worker, runId, run);
        checkSlow(worker, runId, run);
        learnFromOverdue(worker, runId, run);
    }
    limitCpuBesideServing(worker);
}

void EngineImpl::limitCpuBesideServing(Worker& worker)
{
    std::vector<ServingLoad> serving;
    std::vector<fleet::RunId> spareCpuRuns;
    for (const auto& [runId, run] : worker.runs()) {
        const auto [job, stage] = findActive(runId.task);
        if (!stage || run.state != WorkerRun::State::Running)
            continue;
        const workflow::StepSpec& step = job->stepOf(*stage);
        if (step.usesSpareCpu)
            spareCpuRuns.push_back(runId);
        else if (step.latencyTarget > core::Duration(0))
            serving.push_back({ std::chrono::milliseconds(run.load), step.latencyTarget });
    }
    if (spareCpuRuns.empty())
        return;
    const int share = m_cpuLimiters[worker.id()].updateShare(serving, m_dependencies.loop->now());
    for (const fleet::RunId& it : spareCpuRuns) {
        if (worker.runs().at(it).cpuLimit == share)
            continue;
        LogLine(Severity::Info, "paced")
            .with("task", fleet::textOf(it.task))
            .with("worker", worker.id().value())
            .with("percent", share)
            .with("serving", std::int64_t(serving.size()));
        worker.limitCpu(it, share);
    }
}

void EngineImpl::checkSlow(Worker& worker, const fleet::RunId& runId, const WorkerRun& run)
{
    const core::TimePoint now = m_dependencies.loop->now();
    if (run.state != WorkerRun::State::Running || run.percent >= 100 || !m_speed.isSlow(worker.id(), now))
        return;
    const auto [job, stage] = findActive(runId.task);
    if (!stage || job->stepOf(*stage).isLongRunning || now > job->objectiveAt)
        return;
    if (run.timePerPercent() == core::Duration(0))
        return;
    const core::Duration remainingHere = run.timePerPercent() * (100 - run.percent);
    const double speed = m_speed.speedOf(worker.id());
    const int remainingPercent = run.checkpoint.empty() ? 100 : 100 - run.percent;
    const core::Duration remainingElsewhere
        = core::Duration(std::int64_t(double(run.timePerPercent().count()) * remainingPercent * speed))
        + (run.checkpoint.empty() ? core::Duration(0) : m_dependencies.times.restoreTime);
    if (remainingHere < remainingElsewhere * slowRestartFactor + m_dependencies.times.stopGrace)
        return;
    LogLine(Severity::Warning, "run-slow")
        .with("task", fleet::textOf(runId.task))
        .with("run", runId.run.value())
        .with("worker", worker.id().value())
        .with("percent", run.percent)
        .with("leftMs", core::toMs(remainingHere));
    stage->tasks[runId.task.index].avoidedWorker = worker.id();
    worker.stopRun(runId);
}

void EngineImpl::checkStall(Worker& worker, const fleet::RunId& runId, const WorkerRun& run)
{
    const core::TimePoint now = m_dependencies.loop->now();
    if (run.state != WorkerRun::State::Running || now - run.progressAt < m_dependencies.times.stallTimeout
        || run.cpuLimit.value_or(100) < 100)
        return;
    const auto [job, stage] = findActive(runId.task);
    if (!stage || job->stepOf(*stage).isLongRunning)
        return;
    if (run.percent >= 100)
        return; // a gang member that has finished and waits for the others
    TaskProgress& task = stage->tasks[runId.task.index];
    const core::Duration sinceProgress = now - run.progressAt;
    core::Duration timeout = m_dependencies.times.stallTimeout;
    if (!run.checkpoint.empty())
        timeout += m_dependencies.times.restoreTime;
    // One percent of a long task takes longer, even more on a slow worker.
    timeout = std::max(timeout, run.timePerPercent() * stallFactor);
    if (m_estimates.uses().hungRuns) {
        timeout = std::max(timeout, m_estimates.timePerPercent(worker, *job, *stage) * expectedPercentFactor);
        timeout *= 1 << std::min(task.suspicions, maxWaitDoublings);
    }
    if (sinceProgress < timeout)
        return;
    LogLine(Severity::Warning, "run-stalled")
        .with("task", fleet::textOf(runId.task))
        .with("run", runId.run.value())
        .with("worker", worker.id().value())
        .with("percent", run.percent)
        .with("suspicions", std::int64_t(task.suspicions))
        .with("timeoutMs", core::toMs(timeout))
        .with("sinceMs", core::toMs(sinceProgress));
    task.avoidedWorker = worker.id();
    // If a gang hangs, all members stop making progress and the faulty one is unknown, so only single tasks count as
    // failures of their worker.
    if (!job->stepOf(*stage).isGang)
        suspectWorker(worker, *job, *stage, runId, sinceProgress);
    if (!job->stepOf(*stage).isGang || task.suspicions == 0)
        ++task.suspicions;
    worker.stopRun(runId);
}

void EngineImpl::suspectWorker(
    const Worker& worker, const Job& job, Stage& stage, const fleet::RunId& runId, core::Duration sinceProgress)
{
    const core::TimePoint now = m_dependencies.loop->now();
    const bool isProved = !m_estimates.uses().hungRuns
        || (m_estimates.expectationOf(job, stage, worker).samples >= samplesForProof
            && sinceProgress >= m_estimates.timePerPercent(worker, job, stage) * stallFactor);
    if (isProved) {
        m_health.onFailure(worker.id(), job.record.spec.id, core::Duration(0), m_workers.size(), now);
        return;
    }
    // The task may just take longer than expected. Its next run tells.
    TaskProgress& task = stage.tasks[runId.task.index];
    task.suspectedWorker = worker.id();
    task.suspectedAfter = sinceProgress;
}

void EngineImpl::checkSuspicion(const Job& job, TaskProgress& task, core::Duration runTime)
{
    const core::VmId suspected = std::exchange(task.suspectedWorker, core::VmId());
    if (suspected.value().empty() || suspected == task.worker)
        return;
    // Elsewhere the task has advanced within a fraction of the time that it stood still, so the worker was the cause.
    if (runTime / 100 * expectedPercentFactor <= task.suspectedAfter && m_workers.contains(suspected))
        m_health.onFailure(
            suspected, job.record.spec.id, core::Duration(0), m_workers.size(), m_dependencies.loop->now());
}

} // namespace sardinerun::scheduling

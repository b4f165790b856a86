//! What the progress of runs tells: slow workers, runs that stand still, and services that are disturbed.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

//! A run may take so many times its usual time for one percent before it counts as hung.
constexpr int slowestPercent = 12;
//! A run is moved from a slow worker only if it would take this many times as long there.
constexpr int slowRestartFactor = 2;

} // namespace

void EngineImpl::onProgress(Worker& worker, const fleet::RunId& run, double share, core::Duration took)
{
    const auto [job, stage] = findLive(run.task);
    if (!stage)
        return;
    const workflow::StepSpec& step = job->stepOf(*stage);
    // Members of a gang wait for one another, and what uses left-over processors for the others of its worker.
    if (!step.isGang && !step.usesSpareCpu)
        m_speed.onProgress(
            worker.id(), job->record.queue.name, { share, took, step.estimate }, m_dependencies.loop->now());
}

void EngineImpl::onListed(Worker& worker)
{
    if (!m_isBarrierOver)
        pumpSoon();
    const std::map<fleet::RunId, WorkerRun> runs = worker.runs();
    for (const auto& [name, run] : runs) {
        checkStall(worker, name, run);
        checkSlow(worker, name, run);
    }
    paceBesideServing(worker);
}

void EngineImpl::paceBesideServing(Worker& worker)
{
    std::vector<ServingLoad> serving;
    std::vector<fleet::RunId> filling;
    for (const auto& [name, run] : worker.runs()) {
        const auto [job, stage] = findLive(name.task);
        if (!stage || run.state != WorkerRun::State::Running)
            continue;
        const workflow::StepSpec& step = job->stepOf(*stage);
        if (step.usesSpareCpu)
            filling.push_back(name);
        else if (step.latencyTarget > core::Duration(0))
            serving.push_back({ std::chrono::milliseconds(run.load), step.latencyTarget });
    }
    if (filling.empty())
        return;
    const int share = m_cpuLimiters[worker.id()].shareAfter(serving, m_dependencies.loop->now());
    for (const fleet::RunId& it : filling) {
        if (worker.runs().at(it).limitCpu == share)
            continue;
        LogLine(Severity::Info, "paced")
            .with("task", fleet::textOf(it.task))
            .with("worker", worker.id().value())
            .with("percent", share)
            .with("serving", std::int64_t(serving.size()));
        worker.limitCpu(it, share);
    }
}

core::Duration EngineImpl::paceOf(const WorkerRun& run)
{
    const int advanced = run.percent - run.firstPercent;
    return run.firstPercent < 0 || advanced <= 0 ? core::Duration(0) : (run.progressAt - run.firstListedAt) / advanced;
}

void EngineImpl::checkSlow(Worker& worker, const fleet::RunId& name, const WorkerRun& run)
{
    const core::TimePoint now = m_dependencies.loop->now();
    if (run.state != WorkerRun::State::Running || run.percent >= 100 || !m_speed.isSlow(worker.id(), now))
        return;
    const auto [job, stage] = findLive(name.task);
    if (!stage || job->stepOf(*stage).isLongRunning || now > job->objectiveAt)
        return;
    if (paceOf(run) == core::Duration(0))
        return;
    const core::Duration here = paceOf(run) * (100 - run.percent);
    const double speed = m_speed.speedOf(worker.id());
    const int toDo = run.checkpoint.empty() ? 100 : 100 - run.percent;
    const core::Duration elsewhere = core::Duration(std::int64_t(double(paceOf(run).count()) * toDo * speed))
        + (run.checkpoint.empty() ? core::Duration(0) : m_dependencies.times.restore);
    if (here < elsewhere * slowRestartFactor + m_dependencies.times.stopGrace)
        return;
    LogLine(Severity::Warning, "run-slow")
        .with("task", fleet::textOf(name.task))
        .with("run", name.run.value())
        .with("worker", worker.id().value())
        .with("percent", run.percent)
        .with("leftMs", core::toMs(here));
    stage->tasks[name.task.index].avoided = worker.id();
    worker.stopRun(name);
}

void EngineImpl::checkStall(Worker& worker, const fleet::RunId& name, const WorkerRun& run)
{
    const core::TimePoint now = m_dependencies.loop->now();
    if (run.state != WorkerRun::State::Running || now - run.progressAt < m_dependencies.times.stallTimeout
        || run.limitCpu.value_or(100) < 100)
        return;
    const auto [job, stage] = findLive(name.task);
    if (!stage || job->stepOf(*stage).isLongRunning)
        return;
    if (run.percent >= 100)
        return; // a member of a gang that waits for the others
    core::Duration timeout = m_dependencies.times.stallTimeout;
    if (!run.checkpoint.empty())
        timeout += m_dependencies.times.restore;
    // One percent of a long task takes its time, the more so on a slow worker.
    timeout = std::max(timeout, paceOf(run) * slowestPercent);
    if (now - run.progressAt < timeout)
        return;
    LogLine(Severity::Warning, "run-stalled")
        .with("task", fleet::textOf(name.task))
        .with("run", name.run.value())
        .with("worker", worker.id().value())
        .with("percent", run.percent)
        .with("sinceMs", core::toMs(now - run.progressAt));
    stage->tasks[name.task.index].avoided = worker.id();
    const bool isGang = job->stepOf(*stage).isGang;
    // Of a gang all members stand still, whichever of them is the cause; only a single task speaks against its worker.
    if (!isGang)
        m_health.onFailure(worker.id(), job->record.spec.id, core::Duration(0), m_workers.size(), now);
    worker.stopRun(name);
}

} // namespace sardinerun::scheduling

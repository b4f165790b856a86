//! Hooks of the workers, and the adoption of runs that former leaders have started.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

//! If one worker in this many is silent, the cause may be this node's link or processor.
constexpr std::size_t isolationDivisor = 4;
constexpr std::size_t minSilentWorkers = 4;

} // namespace

WorkerHooks EngineImpl::workerHooks()
{
    // A worker makes no callbacks after `detach`, which the engine calls before it drops the worker.
    const std::weak_ptr<EngineImpl> self = weak_from_this();
    WorkerHooks hooks;
    hooks.running = [self](Worker& worker, const fleet::RunId& run) {
        if (const auto it = self.lock())
            it->onRunning(worker, run);
    };
    hooks.terminated = [self](Worker& worker, const fleet::RunId& run, const RunTermination& termination) {
        if (const auto it = self.lock())
            it->onRunTerminated(worker, run, termination);
    };
    hooks.adopt = [self](Worker& worker, const fleet::RunningRun& run) -> Adoption {
        const auto it = self.lock();
        return it ? it->adopt(worker, run) : Adoption();
    };
    hooks.ended = [self](Worker& worker, const fleet::EndedRun& end, std::optional<core::Duration> runTime) {
        if (const auto it = self.lock())
            it->onEnded(worker, end, runTime);
    };
    hooks.progress = [self](Worker& worker, const fleet::RunId& run, double share, core::Duration elapsed) {
        const auto it = self.lock();
        if (it)
            it->onProgress(worker, run, share, elapsed);
    };
    hooks.reported = [self](Worker& worker) {
        if (const auto it = self.lock())
            it->onReport(worker);
    };
    hooks.incarnationEnded = [self](Worker& worker) {
        if (const auto it = self.lock())
            it->m_dependencies.loop->post([self, id = worker.id()] {
                const auto it = self.lock();
                if (!it || it->m_isStopped)
                    return;
                it->removeWorker(id);
                it->persistRoster();
            });
    };
    hooks.isLeaderIsolated = [self] {
        const auto it = self.lock();
        return it && it->isLeaderIsolated();
    };
    hooks.mayExtendLeases = [self] {
        const auto it = self.lock();
        return it && it->mayExtendLeases();
    };
    hooks.fenced = [self](Worker& worker) {
        const auto it = self.lock();
        if (it && !std::exchange(it->m_isStopped, true))
            it->m_hooks.leadershipLost(
                "worker " + worker.id().value() + " rejected an order: it has seen the fence of a later leader");
    };
    return hooks;
}

bool EngineImpl::isLeaderIsolated() const
{
    const auto silent = static_cast<std::size_t>(
        std::count_if(m_workers.begin(), m_workers.end(), [](const auto& it) { return it.second->isUnresponsive(); }));
    return silent >= minSilentWorkers && silent * isolationDivisor >= m_workers.size();
}

bool EngineImpl::mayExtendLeases() const
{
    // The next leader waits only for the leases that a leader has given before it released the leadership.
    if (m_log->mayBeReleased())
        return false;
    // In an outage of the store no other node can be elected, and work must go on. A leader that is cut off can't tell
    // this from an outage that is its own, so it goes by what the other nodes say.
    return m_dependencies.loop->now() < std::max(m_log->authorityUntil(), m_unreplacedUntil);
}

Adoption EngineImpl::adopt(Worker& worker, const fleet::RunningRun& run)
{
    const JobPtr job = jobOf(run.runId.task.job);
    Stage* stage = job && !job->hasEnded() ? job->find(run.runId.task) : nullptr;
    if (stage)
        countRun(worker.id(), run.runId,
            { job->record.team, occupationOf(job->stepOf(*stage)), job->expectationOf(*stage).mean });
    else if (job) { // what a task of an ended job needs is no longer known
        // A worker that is not listed has no known size; all runs of the job together occupied no more than this.
        const bool isSizeKnown = worker.entry().capacity != core::Resources();
        const workflow::Occupation amount
            = isSizeKnown ? workflow::Occupation { worker.entry().capacity, {} } : job->record.left;
        countRun(worker.id(), run.runId, { job->record.team, amount, m_dependencies.times.stopGrace });
    }
    // A run whose loss is not confirmed yet is listed after all.
    if (stage && isCurrentRun(stage->tasks[run.runId.task.index], worker.id(), run.runId)) {
        LogLine(Severity::Info, "run-found")
            .with("task", fleet::textOf(run.runId.task))
            .with("run", run.runId.run.value())
            .with("worker", worker.id().value());
        return { true, roomOf(job->stepOf(*stage)) };
    }
    const bool isKnown = stage && stage->tasks[run.runId.task.index].state == TaskProgress::State::Pending
        && stage->tasks[run.runId.task.index].orphanedRuns == 0;
    const bool fitsGang = stage && (!job->stepOf(*stage).isGang || stage->isGangRun(run.runId.run));
    const bool isAdopted = isKnown && fitsGang && !m_isBarrierPassed;
    LogLine(Severity::Info, isAdopted ? "adopted" : "stopped-unknown")
        .with("task", fleet::textOf(run.runId.task))
        .with("run", run.runId.run.value())
        .with("worker", worker.id().value());
    if (stage)
        stage->newestRun = std::max(stage->newestRun, run.runId.run);
    if (!isAdopted && stage) {
        // The task must not start again before this run has ended.
        ++stage->tasks[run.runId.task.index].orphanedRuns;
        m_orphanedRuns.insert({ worker.id(), run.runId });
    }
    if (!isAdopted)
        return { false, stage ? std::optional(roomOf(job->stepOf(*stage))) : std::nullopt };
    TaskProgress& task = stage->tasks[run.runId.task.index];
    task.state = TaskProgress::State::Live;
    task.run = run.runId.run;
    task.worker = worker.id();
    task.checkpoint = run.checkpoint;
    --stage->pending;
    ++stage->live;
    job->setStarted();
    return { true, roomOf(job->stepOf(*stage)) };
}

} // namespace sardinerun::scheduling

//! Runs of tasks: progress of jobs, failures, and the opening of stages.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using fleet::EndKind;
using telemetry::LogLine;
using telemetry::Severity;

constexpr core::Duration failurePause = std::chrono::milliseconds(30);
constexpr core::Duration startFailurePause = std::chrono::milliseconds(80);

} // namespace

JobPtr EngineImpl::jobOf(const core::JobId& id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : it->second;
}

EngineImpl::JobStage EngineImpl::findActive(const fleet::TaskId& task) const
{
    const JobPtr job = jobOf(task.job);
    return { job, job && !job->hasEnded() ? job->find(task) : nullptr };
}

void EngineImpl::onRunning(Worker&, const fleet::RunId& run)
{
    if (m_orderWindow->startsPerSecond(m_dependencies.loop->now()))
        scheduleRound(); // the window has room for a further start
    const JobPtr job = jobOf(run.task.job);
    if (!job || job->hasEnded())
        return;
    if (!job->hasStarted)
        m_dependencies.metrics->observe(telemetry::Metric::WorkStartSeconds, { { "queue", job->record.queue.name } },
            std::chrono::duration<double>(m_dependencies.loop->now() - job->acceptedAt).count());
    job->setStarted();
}

void EngineImpl::onEnded(Worker& worker, const fleet::EndedRun& end, std::optional<core::Duration> runTime)
{
    uncountRun(worker.id(), end.runId); // before its job may end, which records what its other runs occupy
    const JobPtr job = jobOf(end.runId.task.job);
    Stage* stage = job && !job->hasEnded() ? job->find(end.runId.task) : nullptr;
    LogLine(Severity::Info, "run-ended")
        .with("task", fleet::textOf(end.runId.task))
        .with("run", end.runId.run.value())
        .with("worker", worker.id().value())
        .with("how", fleet::nameOf(end.kind))
        .with("number", end.number.value());
    if (!stage) {
        acknowledgeWithJob(worker, end.number, job);
        return;
    }
    stage->newestRun = std::max(stage->newestRun, end.runId.run);
    if (end.kind == EndKind::Done && !job->stepOf(*stage).isLongRunning) {
        m_health.onSuccess(worker.id());
        if (runTime) {
            learnFromRun(worker, end.runId, *runTime, *job, *stage);
            checkSuspicion(*job, stage->tasks[end.runId.task.index], *runTime);
        }
        markDone(job, *stage, end);
    } else if (end.kind == EndKind::Failed && !job->stepOf(*stage).isLongRunning) {
        countFailure(job, *stage, end, worker.id());
        if (!job->hasEnded()) {
            const std::size_t index = job->stepOf(*stage).isGang ? 0 : end.runId.task.index;
            acknowledgeWhenPersisted(worker, end.number, persistFailure(*job, job->indexOf(*stage), index));
            return;
        }
    } else {
        // Tasks that last may fail any number of times, so nothing is recorded.
        if (end.kind == EndKind::Failed)
            noteFailedRun(job, *stage, end, worker.id());
        worker.acknowledgeEnd(worker.entry().startedAt, end.number);
        return;
    }
    if (job->hasEnded()) {
        acknowledgeWithJob(worker, end.number, job);
        return;
    }
    acknowledgeWhenPersisted(worker, end.number, persistProgress(*job));
}

void EngineImpl::acknowledgeWhenPersisted(Worker& worker, fleet::EndNumber number, lead::LogRevision revision)
{
    // The worker may discard an end only once its effect is persisted.
    whenPersisted(revision, [self = worker.weak_from_this(), incarnation = worker.entry().startedAt, number] {
        if (const auto it = self.lock())
            it->acknowledgeEnd(incarnation, number);
    });
}

void EngineImpl::acknowledgeWithJob(Worker& worker, fleet::EndNumber number, const JobPtr& job)
{
    const bool isEndPersisted = !job || job->visibleState == job->record.state;
    if (isEndPersisted)
        worker.acknowledgeEnd(worker.entry().startedAt, number);
    else
        acknowledgeWhenPersisted(worker, number, job->endRevision);
}

void EngineImpl::markTaskDone(Stage& stage, std::uint32_t index)
{
    TaskProgress& task = stage.tasks[index];
    if (task.state == TaskProgress::State::Done)
        return;
    if (task.state == TaskProgress::State::Live)
        --stage.live;
    else
        --stage.pending;
    task.state = TaskProgress::State::Done;
    ++stage.done;
}

void EngineImpl::markDone(const JobPtr& job, Stage& stage, const fleet::EndedRun& end)
{
    workflow::StageProgress& progress = job->record.stages[job->indexOf(stage)];
    const bool isGang = job->stepOf(stage).isGang;
    const std::uint32_t first = isGang ? 0 : end.runId.task.index;
    const std::uint32_t last = isGang ? static_cast<std::uint32_t>(stage.tasks.size()) - 1 : first;
    for (std::uint32_t n = first; n <= last; ++n) {
        TaskProgress& task = stage.tasks[n];
        const bool runsElsewhere = task.state == TaskProgress::State::Live && task.run != end.runId.run;
        const auto worker = m_workers.find(task.worker);
        if (runsElsewhere && worker != m_workers.end())
            worker->second->stopRun({ { job->record.spec.id, stage.occurrence, stage.step, n }, task.run });
        markTaskDone(stage, n);
        progress.done[n] = true;
    }
    if (!stage.isDone())
        return;
    openStages(job);
    if (job->firstUndone == job->stages.size())
        endJob(job, workflow::JobState::Completed, "all tasks are done");
}

void EngineImpl::countFailure(const JobPtr& job, Stage& stage, const fleet::EndedRun& end, const core::VmId& worker)
{
    const std::uint32_t index = job->stepOf(stage).isGang ? 0 : end.runId.task.index;
    workflow::FailedRuns& failed = job->record.stages[job->indexOf(stage)].failedRuns[index];
    if (!failed.insert(end.runId.run.value()))
        return; // counted already, perhaps by a former leader
    noteFailedRun(job, stage, end, worker);
    if (failed.size() >= job->record.queue.maxAttempts)
        endJob(job, workflow::JobState::Failed, "a task has failed as often as its queue allows");
}

void EngineImpl::noteFailedRun(const JobPtr& job, Stage& stage, const fleet::EndedRun& end, const core::VmId& worker)
{
    stage.tasks[end.runId.task.index].avoidedWorker = worker;
    if (m_health.onFailure(
            worker, job->record.spec.id, core::Duration(0), m_workers.size(), m_dependencies.loop->now()))
        LogLine(Severity::Warning, "worker-set-aside")
            .with("worker", worker.value())
            .with("why", "failures of several jobs in a row");
}

void EngineImpl::onRunTerminated(Worker& worker, const fleet::RunId& run, const RunTermination& termination)
{
    scheduleRound();
    uncountRun(worker.id(), run);
    const bool isOrphaned = m_orphanedRuns.erase({ worker.id(), run }) > 0;
    const JobPtr job = jobOf(run.task.job);
    Stage* stage = job && !job->hasEnded() ? job->find(run.task) : nullptr;
    if (!stage)
        return;
    TaskProgress& task = stage->tasks[run.task.index];
    if (isOrphaned) {
        --task.orphanedRuns;
        return;
    }
    if (!isCurrentRun(task, worker.id(), run))
        return;
    if (termination.cause == RunTermination::Cause::Lost)
        confirmLoss(worker.id(), run, termination);
    else
        endCurrentRun(job, *stage, worker.id(), run, termination);
}

bool EngineImpl::isCurrentRun(const TaskProgress& task, const core::VmId& worker, const fleet::RunId& run)
{
    return task.state == TaskProgress::State::Live && task.run == run.run && task.worker == worker;
}

void EngineImpl::confirmLoss(const core::VmId& worker, const fleet::RunId& run, const RunTermination& termination)
{
    // A later leader may have reached the worker, and have read and acknowledged the end of this run.
    m_log->confirmLeadership([this, worker, run, termination] {
        const auto [job, stage] = findActive(run.task);
        if (!stage || !isCurrentRun(stage->tasks[run.task.index], worker, run))
            return; // its end was reported meanwhile
        const auto found = m_workers.find(worker);
        if (found != m_workers.end() && found->second->runs().contains(run))
            return; // a late report lists it
        endCurrentRun(job, *stage, worker, run, termination);
        scheduleRound();
    });
}

void EngineImpl::endCurrentRun(const JobPtr& job, Stage& stage, const core::VmId& worker, const fleet::RunId& run,
    const RunTermination& termination)
{
    TaskProgress& task = stage.tasks[run.task.index];
    const core::TimePoint now = m_dependencies.loop->now();
    if (termination.cause != RunTermination::Cause::Ended)
        LogLine(Severity::Info, "run-over")
            .with("task", fleet::textOf(run.task))
            .with("run", run.run.value())
            .with("worker", worker.value())
            .with("why", termination.cause == RunTermination::Cause::Lost ? "lost" : "not started")
            .with("ranMs", core::toMs(termination.runTime))
            .with("term", std::int64_t(m_won.leader.term.value()))
            .with("authorityLeftMs", core::toMs(m_log->authorityUntil() - now));
    task.state = TaskProgress::State::Pending;
    if (!termination.checkpoint.empty())
        task.checkpoint = termination.checkpoint;
    --stage.live;
    ++stage.pending;
    stage.restsOnSilence = stage.restsOnSilence || termination.cause == RunTermination::Cause::Lost;
    const bool hasNotStarted = termination.cause == RunTermination::Cause::NotStarted;
    stage.notBefore = now + (hasNotStarted ? startFailurePause : failurePause);
    if (hasNotStarted && termination.startFailure == fleet::OrderFailure::Code::BadTicket)
        stage.advice.tickets.erase(worker);
    if (job->stepOf(stage).isGang)
        stopGang(job, stage);
}

void EngineImpl::stopGang(const JobPtr& job, Stage& stage)
{
    // A checkpoint of any member is valid for all members, and all must start from the same one.
    std::string checkpoint;
    for (const TaskProgress& it : stage.tasks)
        checkpoint = std::max(checkpoint, it.checkpoint);
    for (TaskProgress& it : stage.tasks)
        it.checkpoint = checkpoint;
    stopLive(*job, stage);
}

void EngineImpl::stopLive(const Job& job, const Stage& stage)
{
    for (std::uint32_t n = 0; n < stage.tasks.size(); ++n) {
        const TaskProgress& task = stage.tasks[n];
        if (task.state != TaskProgress::State::Live)
            continue;
        const auto worker = m_workers.find(task.worker);
        if (worker != m_workers.end())
            worker->second->stopRun({ { job.record.spec.id, stage.occurrence, stage.step, n }, task.run });
    }
}

bool EngineImpl::isDue(const workflow::JobSpec& spec, std::uint32_t occurrence) const
{
    if (spec.occurrences == 0)
        return true;
    return m_dependencies.loop->wallNow().value() >= spec.firstDueAt.value() + occurrence * core::toMs(spec.interval);
}

void EngineImpl::openStages(const JobPtr& job)
{
    const workflow::JobSpec& spec = job->record.spec;
    const std::size_t steps = spec.steps.size();
    job->skipDoneStages();
    for (std::size_t n = job->firstUndone; n < job->stages.size(); ++n) {
        Stage& stage = job->stages[n];
        if (stage.isOpen)
            continue;
        if (!isDue(spec, stage.occurrence))
            return; // and neither are later occurrences
        const auto& after = spec.steps[stage.step].after;
        const bool isUnblocked = std::all_of(after.begin(), after.end(),
            [&](std::uint32_t step) { return job->stages[stage.occurrence * steps + step].isDone(); });
        if (isUnblocked)
            openStage(*job, n);
    }
}

void EngineImpl::openStage(Job& job, std::size_t index)
{
    Stage& stage = job.stages[index];
    stage.isOpen = true;
    stage.openedAt = m_dependencies.loop->now();
    job.openedEnd = std::max(job.openedEnd, index + 1);
    m_estimates.update(job, stage);
    const workflow::StepSpec& step = job.stepOf(stage);
    if (step.isGang)
        m_headroom.onGangArrival(job.record.queue.priority, coresOf(step));
    scheduleRound();
}

} // namespace sardinerun::scheduling

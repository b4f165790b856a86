//! Which runs the estimates are learned from, and which work gets the fast workers.

#include "scheduling/internal/engineimpl.h"

namespace sardinerun::scheduling {

namespace {

//! Slack, as a multiple of the run time, below which a slow worker makes a job late.
constexpr double urgentSlack = 1.2;
//! Slack above which a job is in time on any worker, and leaves the fast ones to others.
constexpr double ampleSlack = 2.5;
//! Scores of a placement strategy lie between -3 and 1, and the logarithms of speeds within a few tenths, so that this
//! outweighs them.
constexpr double urgentSpeedWeight = 10;
constexpr double patientSpeedWeight = -2;

} // namespace

double EngineImpl::speedWeightOf(const Job& job)
{
    const double chain = std::chrono::duration<double>(job.expectedChain()).count();
    const double slack = (job.record.queue.stretch - 1) * chain
        + std::chrono::duration<double>(job.record.queue.latencyTarget).count();
    if (slack < urgentSlack * chain)
        return urgentSpeedWeight;
    return slack > ampleSlack * chain ? patientSpeedWeight : 0;
}

void EngineImpl::learnFromRun(
    const Worker& worker, const fleet::RunId& runId, core::Duration runTime, Job& job, Stage& stage)
{
    const auto found = worker.runs().find(runId);
    const bool isMeasured = found != worker.runs().end() && found->second.isFromBeginning
        && found->second.state != WorkerRun::State::Stopping
        && isCurrentRun(stage.tasks[runId.task.index], worker.id(), runId);
    // What is acutely slow on a worker says nothing about the task.
    if (isMeasured && !m_speed.isSlow(worker.id(), m_roundAt))
        m_estimates.onCompleted(worker, runTime, job, stage, m_roundAt);
}

void EngineImpl::learnFromOverdue(Worker& worker, const fleet::RunId& runId, const WorkerRun& run)
{
    const auto [job, stage] = findActive(runId.task);
    if (!stage || !JobEstimates::isOverdue(*job, *stage, run, m_roundAt))
        return;
    worker.countOverdueSample(runId);
    m_estimates.onOverdue(worker, *job, *stage, m_roundAt - run.orderedAt);
}

} // namespace sardinerun::scheduling

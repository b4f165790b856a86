//! What finished runs teach, and how it changes the order and the placement of work.

#include "scheduling/internal/engineimpl.h"

#include <algorithm>

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
    const double chain = std::chrono::duration<double>(workflow::criticalPath(job.record.spec)).count();
    const double slack = (job.record.queue.stretch - 1) * chain
        + std::chrono::duration<double>(job.record.queue.latencyTarget).count();
    if (slack < urgentSlack * chain)
        return urgentSpeedWeight;
    return slack > ampleSlack * chain ? patientSpeedWeight : 0;
}

void EngineImpl::learnFromRun(
    const Worker& worker, const fleet::RunId& runId, core::Duration runTime, const Job& job, Stage& stage)
{
    const auto found = worker.runs().find(runId);
    // The members of a gang end together, and tasks on spare CPU depend on the other load of the worker.
    const workflow::StepSpec& step = job.stepOf(stage);
    if (found == worker.runs().end() || !found->second.isFromBeginning || step.isGang || step.usesSpareCpu)
        return;
    m_workerSpeeds.onCompleted(worker.id(), worker.entry().hardware, runTime, stage.runTimes, m_roundAt);
}

} // namespace sardinerun::scheduling

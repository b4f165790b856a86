//! What finished runs teach, and how it changes the order and the placement of work.

#include "scheduling/internal/engineimpl.h"

#include <algorithm>
#include <cmath>

namespace sardinerun::scheduling {

namespace {

using telemetry::Metric;

//! Slack, as a multiple of the run time, below which a slow worker makes a job late.
constexpr double urgentSlack = 1.2;
//! Slack above which a job is in time on any worker, and leaves the fast ones to others.
constexpr double ampleSlack = 2.5;
//! Scores of a placement strategy lie between -3 and 1, and the logarithms of speeds within a few tenths, so that this
//! outweighs them.
constexpr double urgentSpeedWeight = 10;
constexpr double patientSpeedWeight = -2;
//! A run is learned from at this multiple of its expected time and at its double, but no more often, as it may hang.
constexpr int overdueFactor = 2;
constexpr int maxOverdueSamples = 2;

//! The mean is used for sums of work. A median that lies above it would contradict the chain.
core::Duration meanOf(const estimation::Expectation& it)
{
    return std::max(it.mean(), it.median());
}

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

estimation::TaskKind EngineImpl::kindOf(const std::string& queue, const core::TeamId& team,
    const workflow::StepSpec& step, std::size_t index, const Worker* worker)
{
    // The objective assumes workers near the data, and so does the expectation for no particular worker.
    const bool isNearData = !worker || step.dataRack.empty() || step.dataRack == worker->rack();
    return { queue, team, step.image, std::uint32_t(index), step.isGang, isNearData };
}

workflow::JobSpec EngineImpl::expectedSpec(
    const workflow::JobSpec& spec, const workflow::QueuePolicy& queue, const core::TeamId& team) const
{
    workflow::JobSpec expected;
    expected.steps = spec.steps;
    expected.occurrences = spec.occurrences;
    if (!m_dependencies.learnsRunTimes)
        return expected;
    for (std::size_t n = 0; n < expected.steps.size(); ++n) {
        workflow::StepSpec& step = expected.steps[n];
        if (!step.isLongRunning)
            step.estimate = m_runTimes.expect(kindOf(queue.name, team, step, n, nullptr), step.estimate).median();
    }
    return expected;
}

void EngineImpl::expectRunTimes(Job& job) const
{
    const workflow::JobRecord& record = job.record;
    for (std::size_t n = 0; n < job.expected.size() && m_dependencies.learnsRunTimes; ++n) {
        const workflow::StepSpec& step = record.spec.steps[n];
        if (step.isLongRunning)
            continue;
        const estimation::Expectation it
            = m_runTimes.expect(kindOf(record.queue.name, record.team, step, n, nullptr), step.estimate);
        job.expected[n] = { it.median(), meanOf(it) };
    }
    job.objectiveAt = job.acceptedAt + objectiveOf(record.spec, record.queue, job.expectedChain());
}

void EngineImpl::expectRunTimes(Job& job, const Stage& stage) const
{
    const workflow::StepSpec& step = job.stepOf(stage);
    if (!m_dependencies.learnsRunTimes || step.isLongRunning)
        return;
    const estimation::Expectation it
        = m_runTimes.expect(kindOf(job.record.queue.name, job.record.team, step, stage.step, nullptr), step.estimate,
            { &stage.runTimes, step.count, std::uint32_t(stage.live) });
    job.expected[stage.step] = { it.median(), meanOf(it) };
    job.objectiveAt = job.acceptedAt + objectiveOf(job.record.spec, job.record.queue, job.expectedChain());
}

estimation::Expectation EngineImpl::expectationOf(const Job& job, const Stage& stage, const Worker& worker) const
{
    const workflow::StepSpec& step = job.stepOf(stage);
    estimation::Expectation it
        = m_runTimes.expect(kindOf(job.record.queue.name, job.record.team, step, stage.step, &worker), step.estimate,
            { &stage.runTimes, step.count, std::uint32_t(stage.live) });
    if (!step.isGang)
        it.logMedian -= m_workerSpeeds.speedOf(worker.id(), worker.entry().hardware).value();
    return it;
}

void EngineImpl::learnFromRun(
    const Worker& worker, const fleet::RunId& runId, core::Duration runTime, Job& job, Stage& stage)
{
    const auto found = worker.runs().find(runId);
    const workflow::StepSpec& step = job.stepOf(stage);
    const bool isMeasured = found != worker.runs().end() && found->second.isFromBeginning
        && found->second.state != WorkerRun::State::Stopping
        && isCurrentRun(stage.tasks[runId.task.index], worker.id(), runId);
    // What is acutely slow on a worker says nothing about the task.
    if (!m_dependencies.learnsRunTimes || !isMeasured || m_speed.isSlow(worker.id(), m_roundAt))
        return;
    const estimation::TaskKind kind = kindOf(job.record.queue.name, job.record.team, step, stage.step, &worker);
    recordError(job, step, kind, runTime);
    // The members of a gang end together, and tasks on spare CPU depend on the other load of the worker.
    if (step.isGang || step.usesSpareCpu) {
        m_runTimes.onCompleted(kind, { step.estimate, runTime, estimation::LogSpeed(0), step.isGang ? 1 : step.count });
        return;
    }
    const estimation::LogSpeed speed = m_workerSpeeds.speedOf(worker.id(), worker.entry().hardware);
    m_runTimes.onCompleted(kind, { step.estimate, runTime, speed, step.count });
    m_workerSpeeds.onCompleted(worker.id(), worker.entry().hardware, runTime, stage.runTimes, m_roundAt);
    expectRunTimes(job, stage);
}

void EngineImpl::recordError(
    const Job& job, const workflow::StepSpec& step, const estimation::TaskKind& kind, core::Duration runTime)
{
    telemetry::Metrics& metrics = *m_dependencies.metrics;
    const std::string& queue = job.record.queue.name;
    const double real = estimation::logSecondsOf(runTime);
    metrics.add(Metric::WorkRunTimeSamples, { { "queue", queue } });
    metrics.add(Metric::WorkRunTimeError, { { "queue", queue }, { "of", "declared" } },
        std::abs(real - estimation::logSecondsOf(step.estimate)));
    metrics.add(Metric::WorkRunTimeError, { { "queue", queue }, { "of", "expected" } },
        std::abs(real - m_runTimes.expect(kind, step.estimate).logMedian));
}

void EngineImpl::recordDecision(const Job& job)
{
    if (!m_dependencies.learnsRunTimes || job.record.spec.steps.empty())
        return;
    const workflow::StepSpec& step = job.record.spec.steps.front();
    const bool isLearned
        = m_runTimes.expect(kindOf(job.record.queue.name, job.record.team, step, 0, nullptr), step.estimate)
              .learnedShare
        > 1.0 / 2;
    m_dependencies.metrics->add(Metric::WorkRunTimeDecisions,
        { { "queue", job.record.queue.name }, { "by", isLearned ? "learned" : "declared" } });
}

void EngineImpl::learnFromOverdue(Worker& worker, core::TimePoint now)
{
    if (!m_dependencies.learnsRunTimes)
        return;
    for (const auto& [runId, run] : worker.runs()) {
        if (run.overdueSamples >= maxOverdueSamples || run.state != WorkerRun::State::Running || !run.isFromBeginning)
            continue;
        const auto [job, stage] = findActive(runId.task);
        if (!stage || job->stepOf(*stage).isLongRunning)
            continue;
        const core::Duration elapsed = now - run.orderedAt;
        if (elapsed < job->expectationOf(*stage).median * (overdueFactor << run.overdueSamples))
            continue;
        worker.countOverdueSample(runId);
        const workflow::StepSpec& step = job->stepOf(*stage);
        m_runTimes.onStillRunning(kindOf(job->record.queue.name, job->record.team, step, stage->step, &worker),
            { step.estimate, elapsed, estimation::LogSpeed(0), step.count });
    }
}

} // namespace sardinerun::scheduling

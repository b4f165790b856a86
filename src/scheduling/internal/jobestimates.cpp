#include "scheduling/internal/jobestimates.h"

#include "scheduling/admission.h"

#include <algorithm>
#include <cmath>

namespace sardinerun::scheduling {

namespace {

using estimation::Expectation;
using estimation::LogSpeed;
using estimation::TaskKind;
using telemetry::Metric;

//! A run is learned from at this multiple of its expected time and at its double, but no more often, as it may hang.
constexpr int overdueFactor = 2;
constexpr int maxOverdueSamples = 2;

//! The runs of a gang end with its longest member already.
core::Duration lengthOf(const workflow::StepSpec& step, const Expectation& it)
{
    return step.isGang || step.count == 1 ? it.median() : it.longest();
}

} // namespace

StepExpectation JobEstimates::stepExpectationOf(const workflow::StepSpec& step, const Expectation& it) const
{
    StepExpectation expected { it.median(), step.estimate, step.estimate };
    if (m_uses.order)
        expected.longest = lengthOf(step, it);
    if (m_uses.workAhead)
        expected.mean = std::max(it.mean(), it.median());
    return expected;
}

TaskKind JobEstimates::kindOf(const std::string& queue, const core::TeamId& team, const workflow::StepSpec& step,
    std::size_t index, const Worker* worker)
{
    // The objective assumes workers near the data, and so does the expectation for no particular worker.
    const bool isNearData = !worker || step.dataRack.empty() || step.dataRack == worker->rack();
    return { queue, team, step.image, std::uint32_t(index), step.isGang, isNearData };
}

estimation::StepRuns JobEstimates::stepRunsOf(const Job& job, const Stage& stage)
{
    return { &stage.runTimes, job.stepOf(stage).count, std::uint32_t(stage.live) };
}

workflow::JobSpec JobEstimates::expectedSpec(
    const workflow::JobSpec& spec, const workflow::QueuePolicy& queue, const core::TeamId& team) const
{
    workflow::JobSpec expected;
    expected.steps = spec.steps;
    expected.occurrences = spec.occurrences;
    for (std::size_t n = 0; m_uses.admission && n < expected.steps.size(); ++n) {
        workflow::StepSpec& step = expected.steps[n];
        if (!step.isLongRunning)
            step.estimate
                = lengthOf(step, m_runTimes.expect(kindOf(queue.name, team, step, n, nullptr), step.estimate));
    }
    return expected;
}

void JobEstimates::update(Job& job) const
{
    const workflow::JobRecord& record = job.record;
    for (std::size_t n = 0; n < job.expected.size(); ++n) {
        const workflow::StepSpec& step = record.spec.steps[n];
        if (!step.isLongRunning)
            job.expected[n] = stepExpectationOf(
                step, m_runTimes.expect(kindOf(record.queue.name, record.team, step, n, nullptr), step.estimate));
    }
    job.objectiveAt = job.acceptedAt + objectiveOf(record.spec, record.queue, job.expectedChain());
}

void JobEstimates::update(Job& job, const Stage& stage) const
{
    const workflow::StepSpec& step = job.stepOf(stage);
    if (step.isLongRunning)
        return;
    StepExpectation& expected = job.expected[stage.step];
    expected = stepExpectationOf(
        step, m_runTimes.expect(kindOf(job, stage, nullptr), step.estimate, stepRunsOf(job, stage)));
    const std::size_t done = m_uses.order ? stage.runTimes.count() : 0;
    const core::Duration longest = done > 0 ? estimation::durationOfLog(stage.runTimes.longest()) : core::Duration(0);
    expected.longest = done == step.count ? longest : std::max(expected.longest, longest);
    // Callers count the real lengths of the tasks, so the objective changes with what is known about them.
    job.objectiveAt = job.acceptedAt + objectiveOf(job.record.spec, job.record.queue, job.expectedChain());
}

Expectation JobEstimates::expectationOf(const Job& job, const Stage& stage, const Worker& worker) const
{
    const workflow::StepSpec& step = job.stepOf(stage);
    Expectation it = m_runTimes.expect(kindOf(job, stage, &worker), step.estimate, stepRunsOf(job, stage));
    if (!step.isGang)
        it.logMedian -= speedOf(worker).value();
    return it;
}

core::Duration JobEstimates::timePerPercent(const Worker& worker, const Job& job, const Stage& stage) const
{
    constexpr double highQuantile = 0.95;
    const core::Duration expected = expectationOf(job, stage, worker).quantile(highQuantile);
    return std::max(expected, job.stepOf(stage).estimate) / 100;
}

LogSpeed JobEstimates::speedOf(const Worker& worker) const
{
    return m_speeds.speedOf(worker.id(), worker.entry().hardware);
}

void JobEstimates::onCompleted(
    const Worker& worker, core::Duration runTime, Job& job, Stage& stage, core::TimePoint now)
{
    const workflow::StepSpec& step = job.stepOf(stage);
    const TaskKind kind = kindOf(job, stage, &worker);
    recordError(job, step, kind, runTime);
    // The members of a gang end together, and tasks on spare CPU depend on the other load of the worker.
    if (step.isGang || step.usesSpareCpu) {
        m_runTimes.onCompleted(kind, { step.estimate, runTime, LogSpeed(0), step.isGang ? 1 : step.count });
        return;
    }
    m_runTimes.onCompleted(kind, { step.estimate, runTime, speedOf(worker), step.count });
    m_speeds.onCompleted(worker.id(), worker.entry().hardware, runTime, stage.runTimes, now);
    if (stage.runTimes.count() == step.count)
        m_runTimes.onStepDone(kind, stage.runTimes);
    update(job, stage);
}

bool JobEstimates::isOverdue(const Job& job, const Stage& stage, const WorkerRun& run, core::TimePoint now)
{
    return run.overdueSamples < maxOverdueSamples && run.state == WorkerRun::State::Running && run.isFromBeginning
        && !job.stepOf(stage).isLongRunning
        && now - run.orderedAt >= job.expectationOf(stage).median * (overdueFactor << run.overdueSamples);
}

void JobEstimates::onOverdue(const Worker& worker, const Job& job, const Stage& stage, core::Duration elapsed)
{
    const workflow::StepSpec& step = job.stepOf(stage);
    m_runTimes.onStillRunning(kindOf(job, stage, &worker),
        { step.estimate, elapsed, step.isGang ? LogSpeed(0) : speedOf(worker), step.count });
}

void JobEstimates::recordError(
    const Job& job, const workflow::StepSpec& step, const TaskKind& kind, core::Duration runTime)
{
    const std::string& queue = job.record.queue.name;
    const double real = estimation::logSecondsOf(runTime);
    m_metrics->add(Metric::WorkRunTimeSamples, { { "queue", queue } });
    m_metrics->add(Metric::WorkRunTimeError, { { "queue", queue }, { "of", "declared" } },
        std::abs(real - estimation::logSecondsOf(step.estimate)));
    m_metrics->add(Metric::WorkRunTimeError, { { "queue", queue }, { "of", "expected" } },
        std::abs(real - m_runTimes.expect(kind, step.estimate).logMedian));
}

void JobEstimates::onJobAccepted(const Job& job)
{
    if (job.record.spec.steps.empty())
        return;
    const workflow::StepSpec& step = job.record.spec.steps.front();
    const std::string& queue = job.record.queue.name;
    const double share
        = m_runTimes.expect(kindOf(queue, job.record.team, step, 0, nullptr), step.estimate).learnedShare;
    const bool isLearned = (m_uses.order || m_uses.admission) && share > 1.0 / 2;
    m_metrics->add(Metric::WorkRunTimeDecisions, { { "queue", queue }, { "by", isLearned ? "learned" : "declared" } });
}

void JobEstimates::reportMetrics() const
{
    m_metrics->set(Metric::WorkRunTimeKinds, {}, double(m_runTimes.kinds()));
}

} // namespace sardinerun::scheduling

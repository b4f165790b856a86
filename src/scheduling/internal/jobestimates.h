#pragma once

#include "estimation/runtimes.h"
#include "scheduling/internal/jobs.h"
#include "telemetry/metrics.h"

namespace sardinerun::scheduling {

//! What completed runs tell about the run times of jobs and the speeds of workers.
class JobEstimates {
public:
    JobEstimates(LearnedUses uses, telemetry::MetricsPtr metrics)
        : m_uses(uses)
        , m_metrics(std::move(metrics))
    {
    }

    const LearnedUses& uses() const { return m_uses; }
    //! Returns the steps of a submitted job with the expected run times as estimates.
    workflow::JobSpec expectedSpec(
        const workflow::JobSpec& spec, const workflow::QueuePolicy& queue, const core::TeamId& team) const;
    //! Updates the expected run times of all steps, and with them the objective.
    void update(Job& job) const;
    //! Updates the expected run times of one step from its own runs, and with them the objective.
    void update(Job& job, const Stage& stage) const;
    //! Returns what is expected of a run on a worker.
    estimation::Expectation expectationOf(const Job& job, const Stage& stage, const Worker& worker) const;
    //! Returns how long one percent of a long run may take.
    core::Duration timePerPercent(const Worker& worker, const Job& job, const Stage& stage) const;
    //! Returns the speed by which workers are chosen.
    estimation::LogSpeed speedForPlacing(const Worker& worker) const
    {
        return m_uses.speeds ? speedOf(worker) : estimation::LogSpeed(0);
    }

    //! Learns from a run that was completed from its beginning.
    void onCompleted(const Worker& worker, core::Duration runTime, Job& job, Stage& stage, core::TimePoint now);
    //! Returns whether a run that goes on is so much longer than expected that it is to be learned from.
    static bool isOverdue(const Job& job, const Stage& stage, const WorkerRun& run, core::TimePoint now);
    //! Learns from an overdue run.
    void onOverdue(const Worker& worker, const Job& job, const Stage& stage, core::Duration elapsed);
    void onJobAccepted(const Job& job);
    void removeWorker(const core::VmId& worker) { m_speeds.removeWorker(worker); }
    void reportMetrics() const;

private:
    static estimation::TaskKind kindOf(const std::string& queue, const core::TeamId& team,
        const workflow::StepSpec& step, std::size_t index, const Worker* worker);
    static estimation::TaskKind kindOf(const Job& job, const Stage& stage, const Worker* worker)
    {
        return kindOf(job.record.queue.name, job.record.team, job.stepOf(stage), stage.step, worker);
    }
    estimation::LogSpeed speedOf(const Worker& worker) const;
    //! Returns what is used of an expectation.
    StepExpectation stepExpectationOf(const workflow::StepSpec& step, const estimation::Expectation& it) const;
    static estimation::StepRuns stepRunsOf(const Job& job, const Stage& stage);
    void recordError(
        const Job& job, const workflow::StepSpec& step, const estimation::TaskKind& kind, core::Duration runTime);

    LearnedUses m_uses;
    telemetry::MetricsPtr m_metrics;
    estimation::WorkerSpeeds m_speeds;
    estimation::RunTimes m_runTimes;
};

} // namespace sardinerun::scheduling

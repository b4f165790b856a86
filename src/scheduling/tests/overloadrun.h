#pragma once

#include "fleet/testing/congestedorders.h"
#include "scheduling/tests/cell.h"

#include <random>

namespace sardinerun::scheduling::testing {

constexpr std::uint32_t overloadTasksPerJob = 4;

//! Returns the jobs per second that a leader can see through. A start costs the order, its answer, and a renewal that
//! acknowledges its end; each worker costs a renewal a second.
inline double overloadCapacity(int workers, double ordersPerSecond)
{
    return (ordersPerSecond - workers) / (3.0 * overloadTasksPerJob);
}

//! What became of the jobs of a run.
struct OverloadFigures {
    int asked = 0;
    int accepted = 0;
    int inTime = 0;
    std::size_t starts = 0;
};

//! Submits jobs at a rate to a leader that carries a limited number of orders per second.
inline OverloadFigures playOverload(
    int workers, double ordersPerSecond, double jobsPerSecond, int seconds, unsigned seed)
{
    constexpr std::int64_t milliCpuPerTask = 1000;
    constexpr int runMs = 1000;
    constexpr int ticksPerSecond = 100;
    Cell cell;
    cell.queue.stretch = 2;
    cell.queue.latencyTarget = ms(1000);
    cell.entries.clear();
    for (int n = 0; n < workers; ++n)
        cell.addWorker("i-" + std::to_string(10000 + n), 32000);
    cell.workers->pollPeriod = ms(10);
    cell.orders = std::make_shared<fleet::testing::CongestedOrders>(cell.loop, cell.workers, ordersPerSecond);
    cell.workers->started = [&cell](FakeWorker& worker, const fleet::StartOrder& order) {
        cell.loop->callAfter(ms(runMs), [&worker, run = order.runId] {
            if (worker.running.contains(run))
                worker.end(run, fleet::EndKind::Done);
        });
    };
    cell.lead(ms(3000));
    std::mt19937 random(seed);
    std::poisson_distribution<int> arrivals(jobsPerSecond / ticksPerSecond);
    OverloadFigures figures;
    std::vector<workflow::JobSpec> accepted;
    for (int tick = 0; tick < seconds * ticksPerSecond; ++tick) {
        for (int n = arrivals(random); n > 0; --n) {
            workflow::WorkflowCall call;
            call.kind = workflow::CallKind::Submit;
            call.host = "h";
            call.spec = jobOf("job" + std::to_string(figures.asked++), overloadTasksPerJob, milliCpuPerTask);
            call.path = "/q/" + call.spec.id.value();
            cell.engine->handle(call, [&, spec = call.spec](const workflow::WorkflowResult& it) {
                if (it.outcome != workflow::WorkflowOutcome::Accepted)
                    return;
                ++figures.accepted;
                // The objective is twice the run time and one second.
                cell.loop->callAfter(ms(2 * runMs + 1000), [&, spec] {
                    workflow::WorkflowCall read;
                    read.kind = workflow::CallKind::Read;
                    read.host = "h";
                    read.path = "/q/" + spec.id.value();
                    read.spec.id = spec.id;
                    cell.engine->handle(read, [&](const workflow::WorkflowResult& answer) {
                        figures.inTime += answer.state == workflow::JobState::Completed ? 1 : 0;
                    });
                });
            });
        }
        cell.advance(ms(1000 / ticksPerSecond));
    }
    cell.advance(ms(6000));
    figures.starts = cell.starts();
    return figures;
}

} // namespace sardinerun::scheduling::testing

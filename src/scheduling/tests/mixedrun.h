#pragma once

#include "scheduling/tests/cell.h"

#include <array>
#include <cmath>
#include <random>

namespace sardinerun::scheduling::testing {

//! A loop whose user takes time for what it does: each look at the clock, which decisions take in proportion to their
//! work, advances the clock.
class CostlyLoop : public runtime::ILoop {
public:
    CostlyLoop(runtime::ManualLoopPtr loop, runtime::ManualClockPtr clock, core::Duration cost)
        : m_loop(std::move(loop))
        , m_clock(std::move(clock))
        , m_cost(cost)
    {
    }

    void post(runtime::Work work) override { m_loop->post(std::move(work)); }
    runtime::TimerId callAfter(core::Duration delay, runtime::Work work) override
    {
        return m_loop->callAfter(delay, std::move(work));
    }
    void cancel(runtime::TimerId id) override { m_loop->cancel(id); }
    core::TimePoint now() const override
    {
        m_clock->advance(m_cost);
        return m_clock->now();
    }
    core::WallTime wallNow() const override { return m_loop->wallNow(); }

private:
    runtime::ManualLoopPtr m_loop;
    runtime::ManualClockPtr m_clock;
    core::Duration m_cost;
};

//! A kind of jobs that arrives in a mixed load.
struct JobKind {
    const char* queue = "";
    int priority = 0;
    double perSecond = 0;
    std::uint32_t tasks = 0;
    std::int64_t milliCpu = 0;
    core::Duration runTime {};
    double stretch = 1;
    core::Duration latencyTarget {};
    bool isGang = false;
    workflow::AdvicePolicy advice;
};

//! Urgent small jobs, gangs, and less urgent wide steps that together need nine tenths of 3,520 cores.
inline const std::array<JobKind, 3> mixedKinds { {
    { "check", 0, 12.5, 5, 7800, ms(1000), 1.5, ms(300), false, { ms(18), std::chrono::microseconds(260), ms(2500) } },
    { "plan", 1, 0.95, 30, 9000, ms(6200), 2.2, ms(1000), true,
        { ms(507), std::chrono::microseconds(7280), ms(2500) } },
    { "glaze", 2, 1.3, 56, 5500, ms(2700), 4, ms(3000), false, { ms(182), std::chrono::microseconds(2600), ms(2500) } },
} };

//! What became of the jobs of a kind.
struct KindFigures {
    int asked = 0;
    int refused = 0; //!< in the end; callers send a refused job again up to four times
    int inTime = 0;
    int late = 0; //!< by at most three times the objective

    //! Returns the share of the worth that was earned; late jobs are worth a fifth.
    double earned() const { return asked > 0 ? (inTime + 0.2 * late) / asked : 1; }
};

//! A leader with 110 workers under a mixed load with a burst, whose decisions take time.
class MixedRun {
public:
    MixedRun(core::Duration decisionCost, unsigned seed)
        : m_random(seed)
    {
        m_cell.engineLoop = std::make_shared<CostlyLoop>(m_cell.loop, m_cell.clock, decisionCost);
        m_cell.queue.name = "unused";
        m_cell.entries.clear();
        for (int n = 0; n < workers; ++n) {
            m_cell.addWorker("i-" + std::to_string(10000 + n), 32000);
            m_cell.entries.back().capacity.memory = core::MebiBytes(65536);
        }
        for (const JobKind& it : mixedKinds)
            m_cell.moreQueues.push_back(queueOf(it));
        m_cell.workers->pollPeriod = ms(20);
        m_cell.workers->started = [this](FakeWorker& worker, const fleet::StartOrder& order) {
            const core::Duration runTime = mixedKinds[m_kindOf.at(order.runId.task.job.value())].runTime;
            m_cell.loop->callAfter(runTime, [&worker, run = order.runId] {
                if (worker.running.contains(run))
                    worker.end(run, fleet::EndKind::Done);
            });
        };
    }

    std::array<KindFigures, 3> play(int seconds, double burst)
    {
        m_cell.lead(ms(3000));
        for (int n = 0; n < nodes; ++n)
            advise(core::NodeId("n" + std::to_string(n)));
        measureLateness(m_cell.clock->now());
        const core::TimePoint begin = m_cell.clock->now();
        core::TimePoint at = begin;
        for (; at < begin + std::chrono::seconds(seconds); at += tick) {
            const bool isBurst = at >= begin + ms(5000) && at < begin + ms(9000);
            for (std::size_t kind = 0; kind < mixedKinds.size(); ++kind) {
                const double rate = mixedKinds[kind].perSecond * (isBurst && kind != 1 ? burst : 1);
                std::poisson_distribution<int> arrivals(rate * std::chrono::duration<double>(tick).count());
                for (int n = arrivals(m_random); n > 0; --n)
                    submit(kind);
            }
            advanceTo(at + tick);
        }
        advanceTo(at + ms(20000));
        return m_figures;
    }

private:
    static constexpr int workers = 110;
    static constexpr int nodes = 40;
    static constexpr int maxResends = 4;
    static constexpr core::Duration tick = std::chrono::milliseconds(10);
    static constexpr core::Duration lagPeriod = std::chrono::milliseconds(50);
    static constexpr core::Duration readPeriod = std::chrono::milliseconds(100);

    workflow::QueuePolicy queueOf(const JobKind& kind) const
    {
        workflow::QueuePolicy it = m_cell.queue;
        it.name = kind.queue;
        it.pathPrefix = std::string("/") + kind.queue + "/";
        it.priority = kind.priority;
        it.stretch = kind.stretch;
        it.latencyTarget = kind.latencyTarget;
        it.advice = kind.advice;
        return it;
    }

    //! Advances to a time, which the leader's decisions may have passed already.
    void advanceTo(core::TimePoint at) { m_cell.advance(std::max(core::Duration(0), at - m_cell.clock->now())); }

    //! Does what the leader's task does: tells the engine how late the timers are.
    void measureLateness(core::TimePoint due)
    {
        const core::Duration late = std::max(core::Duration(0), m_cell.clock->now() - due);
        m_lateness = m_lateness + (late - m_lateness) / 8;
        m_cell.engine->setLoopLateness(m_lateness);
        const core::TimePoint next = m_cell.clock->now() + lagPeriod;
        m_cell.loop->callAfter(lagPeriod, [this, next] { measureLateness(next); });
    }

    void advise(const core::NodeId& node)
    {
        m_cell.advice->poll(node, [this, node](AdviceQueue::RequestId id, const fleet::AdviceRequest& request) {
            if (id == 0) {
                advise(node);
                return;
            }
            fleet::Advice advice;
            for (const core::VmId& it : request.workers) {
                if (std::hash<std::string>()(request.job.value() + it.value()) % 2 == 0)
                    advice.allowed.push_back({ it, "ticket" });
            }
            const core::Duration cost
                = mixedKinds[m_kindOf.at(request.job.value())].advice.costOf(request.workers.size());
            m_cell.loop->callAfter(cost, [this, node, id, advice] {
                m_cell.advice->answer(id, fleet::AdviceResult(advice));
                advise(node);
            });
        });
    }

    workflow::WorkflowCall callOf(workflow::CallKind what, std::size_t kind, const std::string& id) const
    {
        const JobKind& it = mixedKinds[kind];
        workflow::WorkflowCall call;
        call.kind = what;
        call.host = "h";
        call.spec = jobOf(id, it.tasks, it.milliCpu, it.isGang);
        call.spec.steps[0].need.memory = core::MebiBytes(it.milliCpu * 2);
        call.spec.steps[0].estimate = it.runTime;
        call.path = std::string("/") + it.queue + "/" + id;
        return call;
    }

    void submit(std::size_t kind)
    {
        const std::string id = "job" + std::to_string(m_jobs++);
        m_kindOf[id] = kind;
        ++m_figures[kind].asked;
        send(kind, id, m_cell.clock->now(), 0);
    }

    void send(std::size_t kind, const std::string& id, core::TimePoint firstSentAt, int resends)
    {
        m_cell.engine->handle(callOf(workflow::CallKind::Submit, kind, id),
            [this, kind, id, firstSentAt, resends](const workflow::WorkflowResult& it) {
                if (it.outcome == workflow::WorkflowOutcome::Accepted)
                    read(kind, id, firstSentAt);
                else if (resends == maxResends)
                    ++m_figures[kind].refused;
                else
                    m_cell.loop->callAfter(std::max(it.retryAfter, ms(100)),
                        [this, kind, id, firstSentAt, resends] { send(kind, id, firstSentAt, resends + 1); });
            });
    }

    //! Asks for the state of a job until it has ended or is worth nothing.
    void read(std::size_t kind, const std::string& id, core::TimePoint firstSentAt)
    {
        const core::Duration took = m_cell.clock->now() - firstSentAt;
        const JobKind& it = mixedKinds[kind];
        const core::Duration chain = it.runTime + it.advice.costOf(30);
        const auto objective = std::chrono::duration_cast<core::Duration>(chain * it.stretch) + it.latencyTarget;
        if (took > objective * 3)
            return;
        m_cell.engine->handle(callOf(workflow::CallKind::Read, kind, id),
            [this, kind, id, firstSentAt, isInTime = took <= objective](const workflow::WorkflowResult& it) {
                if (it.state == workflow::JobState::Completed) {
                    ++(isInTime ? m_figures[kind].inTime : m_figures[kind].late);
                    return;
                }
                m_cell.loop->callAfter(readPeriod, [this, kind, id, firstSentAt] { read(kind, id, firstSentAt); });
            });
    }

    Cell m_cell;
    std::mt19937 m_random;
    std::map<std::string, std::size_t> m_kindOf;
    std::array<KindFigures, 3> m_figures;
    core::Duration m_lateness {};
    int m_jobs = 0;
};

} // namespace sardinerun::scheduling::testing

#pragma once

#include "scheduling/tests/mixedrun.h"

namespace sardinerun::scheduling::testing {

//! How real run times differ from what is declared. Deviations are of logarithms.
struct Noise {
    double declaredError = 0.9; //!< of a job's declared estimate from its real length
    double spread = 0.5; //!< of the lengths of a queue's jobs
    double inStep = 0.2; //!< of the tasks of a step
    double tail = 0.03; //!< share of tasks that take seven times as long
    double speeds = 0.15; //!< of workers
};

//! What became of the jobs of a kind, by their worth: 0.3 and 0.7 times the ratio of their work to the mean.
struct WorthFigures {
    double asked = 0;
    double refused = 0; //!< in the end; callers send a refused job again up to four times
    double inTime = 0;
    double late = 0; //!< by at most three times the objective

    double earned() const { return asked > 0 ? (inTime + 0.2 * late) / asked : 1; }
};

//! A leader under the mixed load, without advice, whose callers declare inaccurate estimates.
class NoisyRun {
public:
    NoisyRun(const LearnedUses& uses, const Noise& noise, double load, unsigned seed)
        : m_noise(noise)
        , m_load(load)
        , m_random(seed)
    {
        m_cell.learnedUses = uses;
        m_cell.queue.name = "unused";
        m_cell.entries.clear();
        for (int n = 0; n < workers; ++n) {
            m_cell.addWorker("i-" + std::to_string(10000 + n), 32000);
            m_cell.entries.back().capacity.memory = core::MebiBytes(65536);
            m_speeds["i-" + std::to_string(10000 + n)] = std::exp(m_noise.speeds * m_normal(m_random));
        }
        for (const JobKind& it : mixedKinds) {
            workflow::QueuePolicy queue = m_cell.queue;
            queue.name = it.queue;
            queue.pathPrefix = std::string("/") + it.queue + "/";
            queue.priority = it.priority;
            queue.stretch = it.stretch;
            queue.latencyTarget = it.latencyTarget;
            m_cell.moreQueues.push_back(queue);
        }
        m_cell.workers->pollPeriod = ms(20);
        for (const fleet::WorkerEntry& it : m_cell.entries)
            m_speedOf[&m_cell.worker(it.id.value())] = m_speeds.at(it.id.value());
        m_cell.workers->started = [this](FakeWorker& worker, const fleet::StartOrder& order) { run(worker, order); };
        m_cell.workers->percentOf = [this](const fleet::RunId& it) {
            const auto& [begin, length] = m_runs.at(it);
            return int(std::min(99.0, 100 * double((m_cell.loop->now() - begin).count()) / double(length.count())));
        };
    }

    std::array<WorthFigures, 3> play(int seconds, double burst)
    {
        m_cell.lead(ms(3000));
        const core::TimePoint begin = m_cell.loop->now();
        while (m_cell.loop->now() < begin + std::chrono::seconds(seconds)) {
            const core::Duration since = m_cell.loop->now() - begin;
            const bool isBurst = since % ms(20000) >= ms(10000) && since % ms(20000) < ms(15000);
            for (std::size_t kind = 0; kind < mixedKinds.size(); ++kind) {
                const double rate = mixedKinds[kind].perSecond * m_load * (isBurst ? burst : 1);
                std::poisson_distribution<int> arrivals(rate * std::chrono::duration<double>(tick).count());
                for (int n = arrivals(m_random); n > 0; --n)
                    submit(kind);
            }
            m_cell.advance(tick);
        }
        m_cell.advance(ms(60000));
        return m_figures;
    }

private:
    static constexpr int workers = 110;
    static constexpr int maxResends = 4;
    static constexpr core::Duration tick = std::chrono::milliseconds(20);

    static core::Duration scaled(core::Duration it, double factor)
    {
        return core::Duration(std::int64_t(double(it.count()) * factor));
    }

    struct NoisyJob {
        std::size_t kind = 0;
        core::TimePoint submittedAt {};
        std::vector<core::Duration> lengths; //!< of its tasks, on a worker of mean speed
        core::Duration longest {};
        double worth = 0;
    };

    void run(FakeWorker& worker, const fleet::StartOrder& order)
    {
        const NoisyJob& job = m_jobs.at(order.runId.task.job.value());
        const bool isGang = mixedKinds[job.kind].isGang;
        const core::Duration length
            = isGang ? job.longest : scaled(job.lengths[order.runId.task.index], 1 / m_speedOf.at(&worker));
        m_runs[order.runId] = { m_cell.loop->now(), length };
        m_cell.loop->callAfter(length, [&worker, run = order.runId] {
            if (worker.running.contains(run))
                worker.end(run, fleet::EndKind::Done);
        });
    }

    void submit(std::size_t kind)
    {
        const JobKind& it = mixedKinds[kind];
        const std::string id = "job" + std::to_string(m_jobs.size());
        const double length = m_noise.spread * m_normal(m_random) - m_noise.spread * m_noise.spread / 2;
        NoisyJob job;
        job.kind = kind;
        job.submittedAt = m_cell.loop->now();
        // The members of a gang advance together, so one of them delays all.
        const bool isLongGang = it.isGang && m_uniform(m_random) < m_noise.tail;
        for (std::uint32_t n = 0; n < it.tasks; ++n) {
            const bool isLong = it.isGang ? isLongGang : m_uniform(m_random) < m_noise.tail;
            const double tail = isLong ? std::log(7) : 0;
            job.lengths.push_back(scaled(it.runTime, std::exp(length + m_noise.inStep * m_normal(m_random) + tail)));
            job.longest = std::max(job.longest, job.lengths.back());
        }
        job.worth = 0.3 + 0.7 * std::exp(length);
        m_figures[kind].asked += job.worth;
        workflow::WorkflowCall call;
        call.kind = workflow::CallKind::Submit;
        call.host = "h";
        call.spec = jobOf(id, it.tasks, it.milliCpu, it.isGang);
        call.spec.steps[0].need.memory = core::MebiBytes(it.milliCpu * 2);
        call.spec.steps[0].estimate = scaled(it.runTime, std::exp(length + m_noise.declaredError * m_normal(m_random)));
        call.path = std::string("/") + it.queue + "/" + id;
        m_jobs.emplace(id, std::move(job));
        send(kind, call, 0);
    }

    void send(std::size_t kind, const workflow::WorkflowCall& call, int resends)
    {
        m_cell.engine->handle(call, [this, kind, call, resends](const workflow::WorkflowResult& answer) {
            if (answer.outcome == workflow::WorkflowOutcome::Accepted)
                read(call);
            else if (resends == maxResends)
                m_figures[kind].refused += m_jobs.at(call.spec.id.value()).worth;
            else
                m_cell.loop->callAfter(std::max(answer.retryAfter, ms(100)),
                    [this, kind, call, resends] { send(kind, call, resends + 1); });
        });
    }

    //! Asks for the state of a job until it has ended or is worth nothing.
    void read(workflow::WorkflowCall call)
    {
        const NoisyJob& job = m_jobs.at(call.spec.id.value());
        const JobKind& it = mixedKinds[job.kind];
        const core::Duration objective = scaled(job.longest, it.stretch) + it.latencyTarget;
        const core::Duration took = m_cell.loop->now() - job.submittedAt;
        if (took > objective * 3)
            return;
        call.kind = workflow::CallKind::Read;
        m_cell.engine->handle(
            call, [this, call, kind = job.kind, isInTime = took <= objective](const workflow::WorkflowResult& answer) {
                if (answer.state == workflow::JobState::Completed)
                    (isInTime ? m_figures[kind].inTime : m_figures[kind].late) += m_jobs.at(call.spec.id.value()).worth;
                else
                    m_cell.loop->callAfter(ms(100), [this, call] { read(call); });
            });
    }

    Cell m_cell;
    Noise m_noise;
    double m_load;
    std::mt19937 m_random;
    std::normal_distribution<double> m_normal;
    std::uniform_real_distribution<double> m_uniform;
    std::map<std::string, double> m_speeds;
    std::map<const FakeWorker*, double> m_speedOf;
    std::map<std::string, NoisyJob> m_jobs;
    std::map<fleet::RunId, std::pair<core::TimePoint, core::Duration>> m_runs;
    std::array<WorthFigures, 3> m_figures;
};

} // namespace sardinerun::scheduling::testing

//! A leader under the load of a fleet, on the paused clock: what is served in time, what is refused, how full the
//! workers are, and the processor time that the decisions take. Arguments: workers, cores of a worker, load (share of
//! the cores that is asked for), seconds, seed.

#include "scheduling/tests/cell.h"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <random>

using namespace sardinerun;
using namespace sardinerun::scheduling::testing;

namespace {

//! One kind of job, as the deployments of this size have them.
struct Kind {
    const char* name;
    int priority;
    double shareOfLoad; //!< of the cores that are asked for
    int tasks;
    double cores; //!< of a task
    double gibiBytes; //!< of a task
    double seconds;
    double estimateSpread; //!< how far estimates are off
    double stretch;
    int aimMs;
    bool isGang;
    int decisionMs; //!< of a question to the advice service
    double eachMs; //!< more for each worker that it names
    double allowedShare; //!< of the workers, by the advice service
    int burstAt; //!< second at which twice as many come for `burstSeconds`
};

constexpr int burstSeconds = 4;
constexpr int drainSeconds = 15;
constexpr int warmUpSeconds = 5; //!< until the use of the workers counts
constexpr int ticksASecond = 100;
constexpr double gibiBytesOfCore = 2; //!< memory of a worker
constexpr double sizeSpread = 0.45;

const Kind kinds[] = { { "plan", 1, 0.52, 20, 4.5, 6.2, 4.0, 0.2, 2.2, 1000, true, 455, 6.5, 0.35, 17 },
    { "batch", 2, 0.34, 25, 1.7, 3.1, 2.7, 0.5, 4, 3000, false, 130, 1.82, 0.45, 4 },
    { "lookup", 0, 0.14, 3, 2.5, 3.5, 1.0, 0.2, 1.5, 300, false, 14, 0.21, 0.7, 8 } };

struct Tally {
    int asked = 0;
    int refused = 0;
    int inTime = 0;
    int late = 0;
};

class Load {
public:
    Load(int workers, double cores, double load, int seconds, unsigned seed, int adviceProxies, double width)
        : m_seconds(seconds)
        , m_random(seed)
        , m_width(width)
    {
        m_cell.entries.clear();
        for (int n = 0; n < workers; ++n) {
            m_cell.addWorker("i-" + std::to_string(10000 + n), std::int64_t(cores * 1000));
            m_cell.entries.back().capacity.memory = core::MebiBytes(std::int64_t(cores * gibiBytesOfCore * 1024));
            m_cell.entries.back().rack = "r-" + std::to_string(n / 12);
        }
        m_cores = workers * cores;
        m_coresOfWorker = cores;
        m_load = load;
        m_cell.workers->pollPeriod = ms(10);
        m_cell.workers->started = [this](FakeWorker& at, const fleet::StartOrder& order) { onStarted(at, order); };
        m_cell.workers->percentOf = [this](const fleet::RunId& run) { return percentOf(run); };
        for (const Kind& it : kinds)
            m_cell.moreQueues.push_back(queueOf(it));
        m_cell.lead();
        for (int n = 0; n < adviceProxies; ++n)
            poll(core::NodeId("n" + std::to_string(n)));
        m_beganAt = m_cell.loop->now();
    }

    void run()
    {
        for (int tick = 0; tick < (m_seconds + drainSeconds) * ticksASecond; ++tick) {
            if (tick < m_seconds * ticksASecond)
                arrive(double(tick) / ticksASecond);
            const auto before = std::chrono::steady_clock::now();
            m_cell.advance(ms(1000 / ticksASecond));
            m_spent += std::chrono::steady_clock::now() - before;
            if (tick >= warmUpSeconds * ticksASecond && tick < m_seconds * ticksASecond)
                m_usedCoreSeconds += m_busyCores / ticksASecond;
        }
    }

    void report() const
    {
        for (std::size_t n = 0; n < std::size(kinds); ++n) {
            const Tally& it = m_tallies[n];
            std::printf("%-8s asked %5d refused %5d in time %5d late %5d: %.3f in time\n", kinds[n].name, it.asked,
                it.refused, it.inTime, it.late, double(it.inTime) / std::max(1, it.asked));
        }
        std::printf("workers used %.3f of the time of arrivals, %.1f ms of processor a second\n",
            m_usedCoreSeconds / m_cores / (m_seconds - warmUpSeconds),
            std::chrono::duration<double, std::milli>(m_spent).count() / (m_seconds + drainSeconds));
    }

private:
    struct Work {
        core::TimePoint begin {};
        core::Duration lasts {};
    };
    //! A job as it was handed in, and how long its tasks really take.
    struct Truth {
        workflow::JobSpec spec;
        core::Duration lasts {};
    };
    struct Gang {
        std::vector<std::pair<FakeWorker*, fleet::RunId>> members;
    };

    static workflow::QueuePolicy queueOf(const Kind& it)
    {
        workflow::QueuePolicy queue;
        queue.name = it.name;
        queue.host = "h";
        queue.pathPrefix = std::string("/") + it.name + "/";
        queue.service = core::ServiceId("s");
        queue.priority = it.priority;
        queue.maxAttempts = 3;
        queue.stretch = it.stretch;
        queue.latencyTarget = ms(it.aimMs);
        queue.advice
            = workflow::AdvicePolicy { ms(it.decisionMs), core::Duration(std::int64_t(it.eachMs * 1000)), ms(2000) };
        return queue;
    }

    void arrive(double second)
    {
        for (std::size_t n = 0; n < std::size(kinds); ++n) {
            const Kind& kind = kinds[n];
            const bool isBurst = second >= kind.burstAt && second < kind.burstAt + burstSeconds;
            const double perSecond = m_cores * m_load * kind.shareOfLoad
                / (kind.tasks * m_width * kind.cores * kind.seconds) * (isBurst ? 2 : 1);
            std::poisson_distribution<int> count(perSecond / ticksASecond);
            for (int k = count(m_random); k > 0; --k)
                submit(n);
        }
    }

    //! A factor whose mean is one.
    double around(double spread) { return std::lognormal_distribution<double>(-spread * spread / 2, spread)(m_random); }

    void submit(std::size_t n)
    {
        const Kind& kind = kinds[n];
        workflow::WorkflowCall call;
        call.kind = workflow::CallKind::Submit;
        call.host = "h";
        call.spec = jobOf(std::to_string(m_jobs.size()), std::max(1u, unsigned(kind.tasks * m_width * around(0.8))),
            std::int64_t(1000 * std::min(kind.cores * around(sizeSpread), m_coresOfWorker / 2)), kind.isGang);
        workflow::StepSpec& step = call.spec.steps[0];
        step.need.memory = core::MebiBytes(
            std::int64_t(1024 * std::min(kind.gibiBytes * around(sizeSpread), m_coresOfWorker * gibiBytesOfCore / 2)));
        const core::Duration lasts = ms(std::int64_t(kind.seconds * 1000 * around(0.5)));
        step.estimate = core::Duration(std::int64_t(double(lasts.count()) * around(kind.estimateSpread)));
        call.path = std::string("/") + kind.name + "/" + call.spec.id.value();
        m_jobs.push_back(n);
        ++m_tallies[n].asked;
        const core::TimePoint until
            = m_cell.loop->now() + lasts * std::int64_t(kind.stretch * 10) / 10 + ms(kind.aimMs + kind.decisionMs);
        m_specs[call.spec.id] = { call.spec, lasts };
        m_cell.engine->handle(call, [this, n, until, id = call.spec.id](const workflow::WorkflowResult& answer) {
            if (answer.outcome != workflow::WorkflowOutcome::Accepted)
                ++m_tallies[n].refused;
            else
                watch(n, until, id);
        });
    }

    //! Asks for the job's state until it has ended.
    void watch(std::size_t n, core::TimePoint until, const core::JobId& id)
    {
        workflow::WorkflowCall call;
        call.kind = workflow::CallKind::Read;
        call.host = "h";
        call.path = std::string("/") + kinds[n].name + "/" + id.value();
        call.spec.id = id;
        m_cell.engine->handle(call, [this, n, until, id](const workflow::WorkflowResult& answer) {
            if (answer.state != workflow::JobState::Completed)
                m_cell.loop->callAfter(ms(50), [this, n, until, id] { watch(n, until, id); });
            else
                ++(m_cell.loop->now() <= until ? m_tallies[n].inTime : m_tallies[n].late);
        });
    }

    double coresOf(const fleet::RunId& run) const
    {
        return double(m_specs.at(run.task.job).spec.steps[0].need.cpu.value()) / 1000;
    }

    void onStarted(FakeWorker& at, const fleet::StartOrder& order)
    {
        const Truth& truth = m_specs.at(order.run.task.job);
        const workflow::StepSpec& step = truth.spec.steps[0];
        m_busyCores += coresOf(order.run);
        if (!step.isGang) {
            begin(order.run, truth.lasts);
            m_cell.loop->callAfter(truth.lasts, [this, &at, run = order.run] { end(at, run); });
            return;
        }
        Gang& gang = m_gangs[{ order.run.task.job, order.run.run }];
        gang.members.push_back({ &at, order.run });
        if (gang.members.size() < step.count)
            return;
        for (const auto& [worker, run] : gang.members) {
            begin(run, truth.lasts);
            m_cell.loop->callAfter(truth.lasts, [this, worker = worker, run = run] { end(*worker, run); });
        }
    }

    void begin(const fleet::RunId& run, core::Duration lasts) { m_work[run] = { m_cell.loop->now(), lasts }; }

    void end(FakeWorker& at, const fleet::RunId& run)
    {
        if (!at.running.contains(run))
            return;
        m_busyCores -= coresOf(run);
        at.end(run, fleet::EndKind::Done);
    }

    int percentOf(const fleet::RunId& run) const
    {
        const auto it = m_work.find(run);
        if (it == m_work.end())
            return 0;
        return std::min<int>(99, static_cast<int>((m_cell.loop->now() - it->second.begin) * 100 / it->second.lasts));
    }

    void poll(const core::NodeId& node)
    {
        m_cell.advice->poll(node, [this, node](std::uint64_t id, const fleet::AdviceRequest& question) {
            if (id == 0) {
                poll(node);
                return;
            }
            const Kind& kind = kinds[m_jobs[std::stoul(question.job.value())]];
            const auto takes = ms(std::int64_t(kind.decisionMs + kind.eachMs * double(question.workers.size())));
            m_cell.loop->callAfter(takes, [this, node, id, question, &kind] {
                fleet::Advice advice;
                for (const core::VmId& it : question.workers) {
                    const std::size_t hash = std::hash<std::string>()(question.job.value() + "/" + it.value());
                    if (double(hash % 1000) < kind.allowedShare * 1000)
                        advice.allowed.push_back({ it, "t" });
                }
                m_cell.advice->answer(id, advice);
                poll(node);
            });
        });
    }

    Cell m_cell;
    int m_seconds = 0;
    std::mt19937 m_random;
    double m_width = 1;
    double m_cores = 0;
    double m_coresOfWorker = 0;
    double m_load = 0;
    core::TimePoint m_beganAt {};
    std::vector<std::size_t> m_jobs; //!< kind of each job, by its number
    std::map<core::JobId, Truth> m_specs;
    std::map<fleet::RunId, Work> m_work;
    std::map<std::pair<core::JobId, fleet::RunNumber>, Gang> m_gangs;
    Tally m_tallies[std::size(kinds)];
    double m_busyCores = 0;
    double m_usedCoreSeconds = 0;
    std::chrono::steady_clock::duration m_spent {};
};

} // namespace

int main(int argc, char** argv)
{
    const auto number = [argc, argv](int n, double fallback) { return n < argc ? std::atof(argv[n]) : fallback; };
    Load load(int(number(1, 350)), number(2, 16), number(3, 1.0), int(number(4, 30)), unsigned(number(5, 1)),
        int(number(6, 35)), number(7, 1));
    load.run();
    load.report();
}

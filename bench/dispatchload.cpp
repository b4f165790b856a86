//! Runs a leader under the load of a fleet on a simulated clock. Reports the jobs that end in time, end late and are
//! refused, the use of the workers, and the time that the decisions take. Arguments: workers, cores of a worker, load
//! (requested share of all cores), seconds, seed, advice proxies, factor for the number of tasks of a job.

#include "scheduling/tests/cell.h"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <random>

using namespace sardinerun;
using namespace sardinerun::scheduling::testing;

namespace {

//! One kind of job, modeled on deployments of this size.
struct JobKind {
    const char* name;
    int priority;
    double loadShare; //!< share of the requested cores
    int tasks; //!< mean number for each job
    double cores; //!< for each task
    double gibiBytes; //!< for each task
    double seconds;
    double estimateSpread; //!< log-normal spread of the estimate around the run time
    double stretch;
    int latencyTargetMs;
    bool isGang;
    int decisionMs; //!< time of the advice service for one request
    double decisionMsPerWorker; //!< additional time for each worker in the request
    double allowedShare; //!< share of the workers that the advice service allows
    int burstAt; //!< second at which the arrival rate doubles for `burstSeconds`
};

constexpr int burstSeconds = 4;
constexpr int drainSeconds = 15;
constexpr int warmUpSeconds = 5; //!< excluded from the measured use of the workers
constexpr int ticksPerSecond = 100;
constexpr double gibiBytesPerCore = 2; //!< memory of a worker
constexpr double sizeSpread = 0.45;

const JobKind jobKinds[] = { { "plan", 1, 0.52, 20, 4.5, 6.2, 4.0, 0.2, 2.2, 1000, true, 455, 6.5, 0.35, 17 },
    { "batch", 2, 0.34, 25, 1.7, 3.1, 2.7, 0.5, 4, 3000, false, 130, 1.82, 0.45, 4 },
    { "lookup", 0, 0.14, 3, 2.5, 3.5, 1.0, 0.2, 1.5, 300, false, 14, 0.21, 0.7, 8 } };

struct Tally {
    int submitted = 0;
    int refused = 0;
    int inTime = 0;
    int late = 0;
};

class Load {
public:
    Load(int workers, double cores, double load, int seconds, unsigned seed, int adviceProxies, double width)
        : m_seconds(seconds)
        , m_random(seed)
        , m_widthFactor(width)
    {
        m_cell.entries.clear();
        for (int n = 0; n < workers; ++n) {
            m_cell.addWorker("i-" + std::to_string(10000 + n), std::int64_t(cores * 1000));
            m_cell.entries.back().capacity.memory = core::MebiBytes(std::int64_t(cores * gibiBytesPerCore * 1024));
            m_cell.entries.back().rack = "r-" + std::to_string(n / 12);
        }
        m_cores = workers * cores;
        m_coresPerWorker = cores;
        m_load = load;
        m_cell.workers->pollPeriod = ms(10);
        m_cell.workers->started
            = [this](FakeWorker& worker, const fleet::StartOrder& order) { onStarted(worker, order); };
        m_cell.workers->percentOf = [this](const fleet::RunId& run) { return percentOf(run); };
        for (const JobKind& it : jobKinds)
            m_cell.moreQueues.push_back(queueOf(it));
        m_cell.lead();
        for (int n = 0; n < adviceProxies; ++n)
            pollAdvice(core::NodeId("n" + std::to_string(n)));
        m_beganAt = m_cell.loop->now();
    }

    void run()
    {
        for (int tick = 0; tick < (m_seconds + drainSeconds) * ticksPerSecond; ++tick) {
            if (tick < m_seconds * ticksPerSecond)
                submitArrivals(double(tick) / ticksPerSecond);
            const auto before = std::chrono::steady_clock::now();
            m_cell.advance(ms(1000 / ticksPerSecond));
            m_engineTime += std::chrono::steady_clock::now() - before;
            if (tick >= warmUpSeconds * ticksPerSecond && tick < m_seconds * ticksPerSecond)
                m_usedCoreSeconds += m_busyCores / ticksPerSecond;
        }
    }

    void report() const
    {
        for (std::size_t n = 0; n < std::size(jobKinds); ++n) {
            const Tally& it = m_tallies[n];
            std::printf("%-8s asked %5d refused %5d in time %5d late %5d: %.3f in time\n", jobKinds[n].name,
                it.submitted, it.refused, it.inTime, it.late, double(it.inTime) / std::max(1, it.submitted));
        }
        std::printf("workers used %.3f of the time of arrivals, %.1f ms of processor a second\n",
            m_usedCoreSeconds / m_cores / (m_seconds - warmUpSeconds),
            std::chrono::duration<double, std::milli>(m_engineTime).count() / (m_seconds + drainSeconds));
    }

private:
    struct RunProgress {
        core::TimePoint begin {};
        core::Duration runTime {};
    };
    //! A submitted job and the real run time of its tasks.
    struct SubmittedJob {
        workflow::JobSpec spec;
        core::Duration runTime {};
    };
    struct Gang {
        std::vector<std::pair<FakeWorker*, fleet::RunId>> members;
    };

    static workflow::QueuePolicy queueOf(const JobKind& it)
    {
        workflow::QueuePolicy queue;
        queue.name = it.name;
        queue.host = "h";
        queue.pathPrefix = std::string("/") + it.name + "/";
        queue.service = core::ServiceId("s");
        queue.priority = it.priority;
        queue.maxAttempts = 3;
        queue.stretch = it.stretch;
        queue.latencyTarget = ms(it.latencyTargetMs);
        queue.advice = workflow::AdvicePolicy { ms(it.decisionMs),
            core::Duration(std::int64_t(it.decisionMsPerWorker * 1000)), ms(2000) };
        return queue;
    }

    void submitArrivals(double second)
    {
        for (std::size_t n = 0; n < std::size(jobKinds); ++n) {
            const JobKind& kind = jobKinds[n];
            const bool isInBurst = second >= kind.burstAt && second < kind.burstAt + burstSeconds;
            const double perSecond = m_cores * m_load * kind.loadShare
                / (kind.tasks * m_widthFactor * kind.cores * kind.seconds) * (isInBurst ? 2 : 1);
            std::poisson_distribution<int> count(perSecond / ticksPerSecond);
            for (int k = count(m_random); k > 0; --k)
                submit(n);
        }
    }

    //! Returns a log-normal random factor with mean 1.
    double randomFactor(double spread)
    {
        return std::lognormal_distribution<double>(-spread * spread / 2, spread)(m_random);
    }

    void submit(std::size_t n)
    {
        const JobKind& kind = jobKinds[n];
        workflow::WorkflowCall call;
        call.kind = workflow::CallKind::Submit;
        call.host = "h";
        call.spec = jobOf(std::to_string(m_jobKinds.size()),
            std::max(1u, unsigned(kind.tasks * m_widthFactor * randomFactor(0.8))),
            std::int64_t(1000 * std::min(kind.cores * randomFactor(sizeSpread), m_coresPerWorker / 2)), kind.isGang);
        workflow::StepSpec& step = call.spec.steps[0];
        step.need.memory = core::MebiBytes(std::int64_t(
            1024 * std::min(kind.gibiBytes * randomFactor(sizeSpread), m_coresPerWorker * gibiBytesPerCore / 2)));
        const core::Duration runTime = ms(std::int64_t(kind.seconds * 1000 * randomFactor(0.5)));
        step.estimate = core::Duration(std::int64_t(double(runTime.count()) * randomFactor(kind.estimateSpread)));
        call.path = std::string("/") + kind.name + "/" + call.spec.id.value();
        m_jobKinds.push_back(n);
        ++m_tallies[n].submitted;
        const core::TimePoint until = m_cell.loop->now() + runTime * std::int64_t(kind.stretch * 10) / 10
            + ms(kind.latencyTargetMs + kind.decisionMs);
        m_submittedJobs[call.spec.id] = { call.spec, runTime };
        m_cell.engine->handle(call, [this, n, until, id = call.spec.id](const workflow::WorkflowResult& answer) {
            if (answer.outcome != workflow::WorkflowOutcome::Accepted)
                ++m_tallies[n].refused;
            else
                pollUntilCompleted(n, until, id);
        });
    }

    //! Polls the job's state every 50 ms until the job is completed.
    void pollUntilCompleted(std::size_t n, core::TimePoint until, const core::JobId& id)
    {
        workflow::WorkflowCall call;
        call.kind = workflow::CallKind::Read;
        call.host = "h";
        call.path = std::string("/") + jobKinds[n].name + "/" + id.value();
        call.spec.id = id;
        m_cell.engine->handle(call, [this, n, until, id](const workflow::WorkflowResult& answer) {
            if (answer.state != workflow::JobState::Completed)
                m_cell.loop->callAfter(ms(50), [this, n, until, id] { pollUntilCompleted(n, until, id); });
            else
                ++(m_cell.loop->now() <= until ? m_tallies[n].inTime : m_tallies[n].late);
        });
    }

    double coresOf(const fleet::RunId& run) const
    {
        return double(m_submittedJobs.at(run.task.job).spec.steps[0].need.cpu.value()) / 1000;
    }

    void onStarted(FakeWorker& worker, const fleet::StartOrder& order)
    {
        const SubmittedJob& submittedJob = m_submittedJobs.at(order.runId.task.job);
        const workflow::StepSpec& step = submittedJob.spec.steps[0];
        m_busyCores += coresOf(order.runId);
        if (!step.isGang) {
            begin(order.runId, submittedJob.runTime);
            m_cell.loop->callAfter(submittedJob.runTime, [this, &worker, run = order.runId] { end(worker, run); });
            return;
        }
        Gang& gang = m_gangs[{ order.runId.task.job, order.runId.run }];
        gang.members.push_back({ &worker, order.runId });
        if (gang.members.size() < step.count)
            return;
        for (const auto& [worker, run] : gang.members) {
            begin(run, submittedJob.runTime);
            m_cell.loop->callAfter(submittedJob.runTime, [this, worker = worker, run = run] { end(*worker, run); });
        }
    }

    void begin(const fleet::RunId& run, core::Duration runTime) { m_progress[run] = { m_cell.loop->now(), runTime }; }

    void end(FakeWorker& worker, const fleet::RunId& run)
    {
        if (!worker.running.contains(run))
            return;
        m_busyCores -= coresOf(run);
        worker.end(run, fleet::EndKind::Done);
    }

    int percentOf(const fleet::RunId& run) const
    {
        const auto it = m_progress.find(run);
        if (it == m_progress.end())
            return 0;
        return std::min<int>(99, static_cast<int>((m_cell.loop->now() - it->second.begin) * 100 / it->second.runTime));
    }

    //! Polls for advice requests on behalf of a node's advice proxy, and answers them.
    void pollAdvice(const core::NodeId& node)
    {
        m_cell.advice->poll(node, [this, node](std::uint64_t id, const fleet::AdviceRequest& adviceRequest) {
            if (id == 0) {
                pollAdvice(node);
                return;
            }
            const JobKind& kind = jobKinds[m_jobKinds[std::stoul(adviceRequest.job.value())]];
            const auto decisionTime
                = ms(std::int64_t(kind.decisionMs + kind.decisionMsPerWorker * double(adviceRequest.workers.size())));
            m_cell.loop->callAfter(decisionTime, [this, node, id, adviceRequest, &kind] {
                fleet::Advice advice;
                for (const core::VmId& it : adviceRequest.workers) {
                    const std::size_t hash = std::hash<std::string>()(adviceRequest.job.value() + "/" + it.value());
                    if (double(hash % 1000) < kind.allowedShare * 1000)
                        advice.allowed.push_back({ it, "t" });
                }
                m_cell.advice->answer(id, advice);
                pollAdvice(node);
            });
        });
    }

    Cell m_cell;
    int m_seconds = 0;
    std::mt19937 m_random;
    double m_widthFactor = 1;
    double m_cores = 0;
    double m_coresPerWorker = 0;
    double m_load = 0;
    core::TimePoint m_beganAt {};
    std::vector<std::size_t> m_jobKinds; //!< index into `jobKinds`, by job number
    std::map<core::JobId, SubmittedJob> m_submittedJobs;
    std::map<fleet::RunId, RunProgress> m_progress;
    std::map<std::pair<core::JobId, fleet::RunNumber>, Gang> m_gangs;
    Tally m_tallies[std::size(jobKinds)];
    double m_busyCores = 0;
    double m_usedCoreSeconds = 0;
    std::chrono::steady_clock::duration m_engineTime {};
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

//! Compares policies for packing, waiting times and overload, with the code of one partition, a simulated clock and
//! fakes.
//!
//! The program also runs the baselines: other placement strategies for packing, and one queue without shares for
//! waiting.

#include "partition/tests/simulatedcell.h"
#include "placement/ledger.h"

#include <algorithm>
#include <cstdio>
#include <random>

using namespace sardinerun;
using namespace sardinerun::partition;
using namespace sardinerun::partition::testing;
using namespace std::chrono_literals;

namespace {

constexpr int workers = 50;
const core::Resources workerSize { core::MilliCpu(32'000), core::MebiBytes(131'072), {} };

// --- Packing

struct Size {
    std::int64_t cpu;
    std::int64_t memory;
    int gangSize; //!< number of tasks that arrive together
};

Size randomSize(std::mt19937& random)
{
    static constexpr std::array<Size, 6> sizes { { { 1000, 2048, 1 }, { 2000, 16'384, 1 }, { 4000, 4096, 1 },
        { 500, 8192, 1 }, { 8000, 16'384, 1 }, { 2000, 8192, 6 } } };
    return sizes[random() % sizes.size()];
}

//! Returns the dominant share of the fleet in use when the first task does not fit on any worker.
double packUntilFull(placement::StrategyKind kind, unsigned seed)
{
    std::mt19937 random(seed);
    placement::Ledger ledger;
    for (int n = 0; n < workers; ++n) {
        ledger.putWorker({ core::VmId("w" + std::to_string(n)), {}, {}, workerSize });
        ledger.setOpen(core::VmId("w" + std::to_string(n)), true);
    }
    const auto& strategy = placement::strategyOf(kind);
    for (int n = 0;; ++n) {
        const Size size = randomSize(random);
        for (int task = 0; task < size.gangSize; ++task) {
            const placement::Need need { { core::MilliCpu(size.cpu), core::MebiBytes(size.memory), {} } };
            const auto choice = ledger.choose(need, strategy);
            if (choice.failure != placement::PlacementFailure::None)
                return ledger.shareOf(jobs::Urgency::Normal);
            ledger.commit({ core::JobId(std::to_string(n)), core::TaskIndex(std::uint32_t(task)), {} },
                { choice.worker, need.resources });
        }
    }
}

void measurePacking()
{
    std::printf("packing: strategy, share of the fleet used when the first task waits (seeds 1 to 5); bound by total "
                "size 1.000\n");
    for (const auto kind : { placement::StrategyKind::DominantFit, placement::StrategyKind::BestFit,
             placement::StrategyKind::LeastLoaded, placement::StrategyKind::FirstFit }) {
        std::printf("%-12s", placement::nameOf(kind));
        for (unsigned seed = 1; seed <= 5; ++seed)
            std::printf(" %.3f", packUntilFull(kind, seed));
        std::printf("\n");
    }
}

// --- Waiting and overload

//! Jobs use 4 cores for about 10 seconds, so 40 jobs per second fill the fleet.
constexpr double jobsPerSecondAtFull = 40;
constexpr std::array<double, 3> loadShareOfClass { 0.2, 0.5, 0.3 };

struct Outcome {
    std::vector<double> waits; //!< seconds
    int submitted = 0;
    int ended = 0;
    int refused = 0;
};

//! Limits of the expected wait, as in the `peak` preset of the example configuration.
const jobs::ByUrgency<core::Duration> peakWaits { 3500ms, 8s, 8s };

class Simulation {
public:
    Simulation(bool hasShares, unsigned seed, const jobs::ByUrgency<core::Duration>& maxWait = {})
        : m_cell(1, workers, workerSize)
        , m_random(seed)
        , m_hasShares(hasShares)
    {
        Policy policy;
        if (hasShares)
            policy.shares = { { 30, 30, 10 } };
        policy.queues.maxWait = maxWait;
        policy.queues.jobs = { 2000, 2000, 2000 };
        policy.queues.jobsPerTeam = 6000;
        m_cell.setPolicy(policy);
        m_cell.run(1s);
    }

    //! Submits jobs at the given rates (jobs per second, by class) for the given time.
    void run(const std::array<double, 3>& rates, core::Duration time, const char* phase)
    {
        for (core::Duration passed {}; passed < time; passed += SimulatedCell::stepTime) {
            for (std::size_t n = 0; n < rates.size(); ++n)
                submit(n, rates[n], phase);
            m_cell.step();
        }
    }

    void runWithoutArrivals(core::Duration time) { m_cell.run(time); }

    Outcome outcome(std::size_t urgency, const std::string& phase)
    {
        Outcome it;
        for (const auto& [job, at] : m_cell.record.submittedAt) {
            if (!job.value().starts_with(phase + "-" + std::to_string(urgency) + "-"))
                continue;
            ++it.submitted;
            it.refused += m_cell.record.outcomes[job] == protocol::SubmitOutcome::Refused ? 1 : 0;
            it.ended += m_cell.record.lastSuccessAt.contains(job) ? 1 : 0;
            const auto start = m_cell.record.firstStartAt.find(job);
            if (start != m_cell.record.firstStartAt.end())
                it.waits.push_back(std::chrono::duration<double>(start->second - at).count());
        }
        std::sort(it.waits.begin(), it.waits.end());
        return it;
    }

private:
    void submit(std::size_t urgency, double rate, const char* phase)
    {
        const double seconds = std::chrono::duration<double>(SimulatedCell::stepTime).count();
        std::poisson_distribution<int> arrivals(rate * seconds);
        for (int n = arrivals(m_random); n > 0; --n) {
            auto spec
                = jobSpec(std::string(phase) + "-" + std::to_string(urgency) + "-" + std::to_string(++m_jobs), 1, 4000);
            std::uniform_real_distribution<double> run(5, 15);
            spec.runTime = std::chrono::milliseconds(std::int64_t(run(m_random) * 1000));
            spec.urgency = m_hasShares ? jobs::allUrgencies[urgency] : jobs::Urgency::Normal;
            spec.team = core::TeamId("team" + std::to_string(urgency));
            m_cell.submit(spec);
        }
    }

    SimulatedCell m_cell;
    std::mt19937 m_random;
    bool m_hasShares;
    int m_jobs = 0;
};

double at(const std::vector<double>& sorted, double fraction)
{
    return sorted.empty() ? -1 : sorted[std::min(sorted.size() - 1, std::size_t(double(sorted.size()) * fraction))];
}

std::array<double, 3> ratesAt(double load)
{
    std::array<double, 3> rates {};
    for (std::size_t n = 0; n < rates.size(); ++n)
        rates[n] = jobsPerSecondAtFull * load * loadShareOfClass[n];
    return rates;
}

void measureWaiting()
{
    std::printf("waiting: policy, load, seed, class, jobs, p50 s, p99 s, most s, refused\n");
    for (const bool hasShares : { true, false }) {
        for (const double load : { 0.7, 0.9, 1.0 }) {
            for (const unsigned seed : { 1U, 2U, 3U }) {
                Simulation simulation(hasShares, seed);
                simulation.run(ratesAt(load), 60s, "w");
                simulation.runWithoutArrivals(5s);
                for (std::size_t n = 0; n < 3; ++n) {
                    const Outcome it = simulation.outcome(n, "w");
                    std::printf("%-8s %.1f %u %-6s %5d %6.2f %6.2f %6.2f %5d\n", hasShares ? "shares" : "oneQueue",
                        load, seed, jobs::nameOf(jobs::allUrgencies[n]), it.submitted, at(it.waits, 0.5),
                        at(it.waits, 0.99), at(it.waits, 1), it.refused);
                }
            }
        }
    }
}

void measureFlood()
{
    std::printf("flood: policy, class in flood (ten times the fleet for 30 s), seed, class, submitted, ended, refused, "
                "p99 wait s\n");
    for (const bool hasShares : { true, false }) {
        for (const std::size_t flooding : { std::size_t(2), std::size_t(0) }) {
            for (const unsigned seed : { 1U, 2U }) {
                Simulation simulation(hasShares, seed, hasShares ? peakWaits : jobs::ByUrgency<core::Duration> {});
                // The other classes request less than their guaranteed shares.
                std::array<double, 3> rates { 8, 8, 2.5 };
                simulation.run(rates, 20s, "before");
                std::array<double, 3> flood = rates;
                flood[flooding] = 10 * jobsPerSecondAtFull;
                simulation.run(flood, 30s, "flood");
                simulation.run(rates, 10s, "recovery");
                simulation.run(rates, 20s, "after");
                simulation.runWithoutArrivals(40s);
                for (const char* phase : { "before", "flood", "recovery", "after" }) {
                    for (std::size_t n = 0; n < 3; ++n) {
                        const Outcome it = simulation.outcome(n, phase);
                        std::printf("%-8s %-6s %u %-8s %-6s %6d %6d %6d %7.2f\n", hasShares ? "shares" : "oneQueue",
                            jobs::nameOf(jobs::allUrgencies[flooding]), seed, phase,
                            jobs::nameOf(jobs::allUrgencies[n]), it.submitted, it.ended, it.refused,
                            at(it.waits, 0.99));
                    }
                }
            }
        }
    }
}

} // namespace

int main()
{
    measurePacking();
    measureWaiting();
    measureFlood();
    return 0;
}

//! Measures the cost of single decisions: a placement at several fleet sizes, and the choice of the next step after an
//! exchange with a runner.

#include "placement/ledger.h"
#include "routing/internal/retrystrategy.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <vector>

using namespace sardinerun;

namespace {

using Clock = std::chrono::steady_clock;
constexpr int decisions = 100'000;
constexpr int runningPerWorker = 15;

struct Figures {
    double p50 = 0; //!< microseconds
    double p99 = 0; //!< microseconds
    double perSecond = 0;
};

core::Resources randomNeed(std::mt19937& random)
{
    const std::int64_t cpu = 250 * (1 + std::int64_t(random() % 8));
    const std::int64_t memory = 256 * (1 + std::int64_t(random() % 32));
    return { core::MilliCpu(cpu), core::MebiBytes(memory), {} };
}

core::AttemptId attempt(int n)
{
    return { core::JobId("j" + std::to_string(n)), core::TaskIndex(0), core::AttemptNumber(1) };
}

void fillFleet(placement::Ledger& ledger, int workers, std::mt19937& random)
{
    for (int n = 0; n < workers; ++n) {
        const core::VmId id("w" + std::to_string(n));
        ledger.putWorker({ id, core::RackId(std::to_string(n / 8)), core::FailureDomainId(std::to_string(n % 7)),
            { core::MilliCpu(32'000), core::MebiBytes(131'072), {} } });
        ledger.setOpen(id, true);
    }
    const auto& strategy = placement::strategyOf(placement::StrategyKind::DominantFit);
    for (int n = 0; n < workers * runningPerWorker; ++n) {
        const placement::Need need { randomNeed(random) };
        const auto choice = ledger.choose(need, strategy);
        if (choice.failure == placement::PlacementFailure::None)
            ledger.commit(attempt(n), { choice.worker, need.resources });
    }
}

Figures measure(placement::StrategyKind kind, int workers, unsigned seed)
{
    std::mt19937 random(seed);
    placement::Ledger ledger;
    fillFleet(ledger, workers, random);
    const auto& strategy = placement::strategyOf(kind);
    std::vector<double> micros;
    micros.reserve(decisions);
    const auto begin = Clock::now();
    for (int n = 0; n < decisions; ++n) {
        const placement::Need need { randomNeed(random) };
        const core::AttemptId id = attempt(n % (workers * runningPerWorker));
        const auto from = Clock::now();
        ledger.release(id);
        const auto choice = ledger.choose(need, strategy);
        if (choice.failure == placement::PlacementFailure::None)
            ledger.commit(id, { choice.worker, need.resources });
        micros.push_back(std::chrono::duration<double, std::micro>(Clock::now() - from).count());
    }
    const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    std::sort(micros.begin(), micros.end());
    return { micros[micros.size() / 2], micros[micros.size() * 99 / 100], decisions / seconds };
}

void measurePlacement()
{
    std::printf("placement: workers, running tasks, strategy, seed, p50 us, p99 us, decisions/s on one core\n");
    for (const int workers : { 50, 200, 700, 1400 }) {
        for (const auto kind : { placement::StrategyKind::DominantFit, placement::StrategyKind::BestFit,
                 placement::StrategyKind::LeastLoaded, placement::StrategyKind::FirstFit }) {
            for (const unsigned seed : { 1U, 2U, 3U }) {
                const Figures it = measure(kind, workers, seed);
                std::printf("%5d %6d %-12s %u %8.2f %8.2f %10.0f\n", workers, workers * runningPerWorker,
                    placement::nameOf(kind), seed, it.p50, it.p99, it.perSecond);
            }
        }
    }
}

void measureRetryStrategy()
{
    constexpr int rounds = 10'000'000;
    int retries = 0;
    const auto begin = Clock::now();
    for (int n = 0; n < rounds; ++n) {
        routing::RetryStrategy it(n % 2 == 0, 3);
        const auto result = static_cast<routing::Attempt::Result>(n % 4);
        retries += it.decide({ result, 200 }, n % 3 == 0) == routing::Action::Retry ? 1 : 0;
    }
    const double nanos = std::chrono::duration<double, std::nano>(Clock::now() - begin).count() / rounds;
    std::printf("strategizer: %.1f ns a decision (%d retries)\n", nanos, retries);
}

} // namespace

int main()
{
    measurePlacement();
    measureRetryStrategy();
    return 0;
}

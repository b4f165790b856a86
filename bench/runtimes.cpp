//! Learns the run times of loads whose real run times are known. Prints for each load the error of the declared and of
//! the expected run times, and how wrong an order by slack is with each; then what an expectation costs.
//! Arguments: steps, seeds.

#include "estimation/tests/runmix.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>

using namespace sardinerun;
using namespace sardinerun::estimation;
using namespace sardinerun::estimation::testing;

namespace {

void printMix(const Mix& mix, int steps, int seeds)
{
    MixFigures sum;
    for (int seed = 1; seed <= seeds; ++seed) {
        RunTimes learned;
        const MixFigures it = playMix(mix, steps, unsigned(seed), learned, { "q", core::TeamId(""), "image" });
        sum.declaredError += it.declaredError / seeds;
        sum.error += it.error / seeds;
        sum.errorWithSiblings += it.errorWithSiblings / seeds;
        sum.beyond95 += it.beyond95 / seeds;
        sum.declaredRegret += it.declaredRegret / seeds;
        sum.regret += it.regret / seeds;
    }
    std::printf("%s,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f\n", mix.name, sum.declaredError, sum.error, sum.errorWithSiblings,
        sum.beyond95, sum.declaredRegret, sum.regret);
}

//! Measures expectations among the kinds of 180 teams.
void printCost()
{
    constexpr int teams = 180;
    constexpr int kindsOfTeam = 556;
    RunTimes learned;
    std::vector<TaskKind> kinds;
    kinds.reserve(std::size_t(teams) * kindsOfTeam);
    for (int n = 0; n < teams * kindsOfTeam; ++n)
        kinds.push_back({ "queue-" + std::to_string(n % 3), core::TeamId("team-" + std::to_string(n % teams)),
            "registry/image-" + std::to_string(n / teams) });
    using Clock = std::chrono::steady_clock;
    const auto nanosecondsEach = [&kinds](Clock::time_point begin) {
        return double((Clock::now() - begin) / std::chrono::nanoseconds(1)) / double(kinds.size());
    };
    Clock::time_point begin = Clock::now();
    for (const TaskKind& it : kinds)
        learned.onCompleted(it, { std::chrono::seconds(1), std::chrono::seconds(2) });
    const double learning = nanosecondsEach(begin);
    begin = Clock::now();
    double sum = 0;
    for (const TaskKind& it : kinds)
        sum += learned.expect(it, std::chrono::seconds(1)).logMedian;
    const double expecting = nanosecondsEach(begin);
    std::printf("\nkinds seen,kinds held,ns per sample,ns per expectation\n%zu,%zu,%.0f,%.0f\n", kinds.size(),
        learned.kinds(), learning, sum == 0 ? 0 : expecting);
}

} // namespace

int main(int argc, char** argv)
{
    const int steps = argc > 1 ? std::atoi(argv[1]) : 400;
    const int seeds = argc > 2 ? std::atoi(argv[2]) : 5;
    std::printf("load,declared,expected,with siblings,beyond 95 %%,regret declared,regret expected\n");
    for (const Mix& it : allMixes())
        printMix(it, steps, seeds);
    printCost();
}

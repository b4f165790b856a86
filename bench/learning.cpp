//! Runs a leader under a mixed load whose callers declare inaccurate estimates, on a simulated clock. Prints for each
//! set of decisions that use learned run times, and each kind of jobs, the share that was refused and the share of its
//! worth that was earned. Arguments: seconds, seeds, factor of the bursts, name of one set (default: all).

#include "scheduling/tests/noisyrun.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace sardinerun::scheduling;
using namespace sardinerun::scheduling::testing;

namespace {

struct UseSet {
    const char* name;
    LearnedUses uses;
};

const UseSet useSets[] = {
    { "none", LearnedUses::none() },
    { "admission", { true, false, false, false, false, false } },
    { "order", { false, true, false, false, false, false } },
    { "admission and order", { true, true, false, false, false, false } },
    { "work ahead", { false, false, true, false, false, false } },
    { "reservations", { false, false, false, true, false, false } },
    { "speeds", { false, false, false, false, true, false } },
    { "all", LearnedUses::all() },
    { "default", {} },
};

struct Estimates {
    const char* name;
    Noise noise;
};

const Estimates allEstimates[] = {
    { "factor 1.6", { .declaredError = 0.45, .tail = 0, .speeds = 0 } },
    { "factor 2.5 and tail", {} },
};

struct Arguments {
    int seconds = 40;
    int seeds = 4;
    double burst = 1.8;
};

void play(const UseSet& set, const Estimates& estimates, double load, const Arguments& arguments)
{
    std::array<WorthFigures, 3> sum;
    for (int seed = 1; seed <= arguments.seeds; ++seed) {
        NoisyRun run(set.uses, estimates.noise, load, unsigned(seed));
        const auto figures = run.play(arguments.seconds, arguments.burst);
        for (std::size_t n = 0; n < sum.size(); ++n) {
            sum[n].asked += figures[n].asked;
            sum[n].refused += figures[n].refused;
            sum[n].inTime += figures[n].inTime;
            sum[n].late += figures[n].late;
        }
    }
    std::printf("%s,%s,%.1f", set.name, estimates.name, load);
    for (const WorthFigures& it : sum)
        std::printf(",%.3f,%.3f", it.refused / it.asked, it.earned());
    std::printf(",%.3f\n", (sum[0].earned() + sum[1].earned() + sum[2].earned()) / 3);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    Arguments arguments;
    if (argc > 1)
        arguments.seconds = std::atoi(argv[1]);
    if (argc > 2)
        arguments.seeds = std::atoi(argv[2]);
    if (argc > 3)
        arguments.burst = std::atof(argv[3]);
    std::printf("uses,estimates,load");
    for (const JobKind& it : mixedKinds)
        std::printf(",%s refused,%s earned", it.queue, it.queue);
    std::printf(",mean earned\n");
    for (const UseSet& set : useSets) {
        if (argc > 4 && std::strcmp(argv[4], set.name) != 0)
            continue;
        for (const Estimates& estimates : allEstimates) {
            for (const double load : { 0.8, 1.0 })
                play(set, estimates, load, arguments);
        }
    }
}

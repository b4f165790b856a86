//! Runs a leader under a mixed load whose callers declare inaccurate estimates, on a simulated clock, with and without
//! learned run times. Prints for each kind of jobs the share that was refused and the share of its worth that was
//! earned. Arguments: seconds, seeds, factor of the bursts.

#include "scheduling/tests/noisyrun.h"

#include <cstdio>
#include <cstdlib>

using namespace sardinerun::scheduling::testing;

int main(int argc, char** argv)
{
    const int seconds = argc > 1 ? std::atoi(argv[1]) : 60;
    const int seeds = argc > 2 ? std::atoi(argv[2]) : 2;
    const double burst = argc > 3 ? std::atof(argv[3]) : 1.8;
    struct Row {
        const char* name;
        Noise noise;
    };
    const Row rows[] = {
        { "factor 1.6", { .declaredError = 0.45, .tail = 0, .speeds = 0 } },
        { "factor 2.5 and tail", {} },
    };
    std::printf("estimates,load,learns,kind,refused,earned\n");
    for (const Row& row : rows) {
        for (const double load : { 0.6, 0.8 }) {
            for (const bool learns : { false, true }) {
                std::array<KindFigures, 3> sum;
                for (int seed = 1; seed <= seeds; ++seed) {
                    const auto figures = NoisyRun(learns, row.noise, load, unsigned(seed)).play(seconds, burst);
                    for (std::size_t n = 0; n < sum.size(); ++n) {
                        sum[n].asked += figures[n].asked;
                        sum[n].refused += figures[n].refused;
                        sum[n].inTime += figures[n].inTime;
                        sum[n].late += figures[n].late;
                    }
                }
                for (std::size_t n = 0; n < sum.size(); ++n)
                    std::printf("%s,%.1f,%d,%s,%.3f,%.3f\n", row.name, load, int(learns), mixedKinds[n].queue,
                        double(sum[n].refused) / std::max(1, sum[n].asked), sum[n].earned());
                std::fflush(stdout);
            }
        }
    }
}

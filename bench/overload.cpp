//! Runs a leader whose processor or link carries a limited number of orders per second, under growing load, on a
//! simulated clock. Prints for each load how much work was asked, accepted and completed in time, each second, and how
//! often its tasks were started. Arguments: workers, orders per second that the leader carries, seconds, seed.

#include "scheduling/tests/overloadrun.h"

#include <cstdio>
#include <cstdlib>

using namespace sardinerun::scheduling::testing;

int main(int argc, char** argv)
{
    const auto number = [argc, argv](int n, double fallback) { return n < argc ? std::atof(argv[n]) : fallback; };
    const int workers = int(number(1, 100));
    const double ordersPerSecond = number(2, 1000);
    const int seconds = int(number(3, 20));
    const double capacity = overloadCapacity(workers, ordersPerSecond);
    std::printf("load,asked,accepted,in_time,starts_of_each_task\n");
    for (const double load : { 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 4.0 }) {
        const OverloadFigures it
            = playOverload(workers, ordersPerSecond, capacity * load, seconds, unsigned(number(4, 1)));
        std::printf("%.2f,%.1f,%.1f,%.1f,%.3f\n", load, double(it.asked) / seconds, double(it.accepted) / seconds,
            double(it.inTime) / seconds, double(it.starts) / std::max(1, it.accepted) / overloadTasksPerJob);
        std::fflush(stdout);
    }
}

#include "partition/tests/simulatedcell.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::partition;
using namespace sardinerun::partition::testing;
using namespace std::chrono_literals;

//! Guards against an order of teams that misses what starts, what ends, or a change of the weights. Load: eight tasks
//! at a time, of different lengths, and 200 waiting jobs of each of two teams.
BOOST_AUTO_TEST_CASE(theTeamWithTheLargerWeightStartsMore)
{
    SimulatedCell cell(1, 2, { core::MilliCpu(4000), core::MebiBytes(8000), {} });
    Policy policy;
    const auto startsOfA = [&cell] {
        return std::count_if(cell.record.starts.begin(), cell.record.starts.end(),
            [](const auto& it) { return it.first.first.value().front() == 'a'; });
    };
    policy.teamWeights = { { core::TeamId("a"), 1 }, { core::TeamId("b"), 3 } };
    cell.setPolicy(policy);
    for (int n = 0; n < 200; ++n) {
        for (const char* team : { "a", "b" }) {
            auto spec = jobSpec(team + std::to_string(n), 1);
            spec.team = core::TeamId(team);
            spec.runTime = 1s + n * 237ms % 1000ms;
            cell.submit(spec);
        }
    }
    // Tasks that are being placed don't count yet, so what starts at the same moment is of one team.
    cell.run(20s);
    const auto first = startsOfA();
    const auto all = std::ptrdiff_t(cell.record.starts.size());
    BOOST_TEST(all >= 80);
    BOOST_TEST(first <= all * 55 / 100);
    policy.teamWeights = { { core::TeamId("a"), 3 }, { core::TeamId("b"), 1 } };
    cell.setPolicy(policy);
    cell.run(20s);
    const auto later = std::ptrdiff_t(cell.record.starts.size()) - all;
    BOOST_TEST(startsOfA() - first >= later * 65 / 100);
    BOOST_TEST(startsOfA() - first <= later * 85 / 100);
}

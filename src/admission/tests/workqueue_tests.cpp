#include "admission/workqueue.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace sardinerun;
using namespace sardinerun::admission;

//! Guards against an order of teams that misses a change of usage or of weights. Load: 40 jobs of 7 teams that come,
//! start, end and are deferred at random; the reference reads the usage of all teams for each pick.
BOOST_AUTO_TEST_CASE(each_pick_is_of_the_team_that_uses_least_of_its_share_now)
{
    const core::TimePoint now { std::chrono::hours(1) };
    for (unsigned seed = 1; seed <= 30; ++seed) {
        std::mt19937 random(seed);
        WorkQueue queue;
        std::map<core::TeamId, double> used;
        std::map<core::TeamId, int> weights;
        std::map<core::JobId, core::TeamId> ready;
        PickContext context;
        context.ofTeam = [&](const core::TeamId& it) { return used[it] / std::max(weights[it], 1); };
        for (int n = 0; n < 400; ++n) {
            const core::TeamId team("t" + std::to_string(random() % 7));
            const core::JobId job("j" + std::to_string(random() % 40));
            switch (random() % 6) {
            case 0:
            case 1:
                if (!queue.contains(job)) {
                    queue.push({ job, team, jobs::Urgency::Normal, {}, now });
                    ready[job] = team;
                }
                break;
            case 2:
                used[team] = double(random() % 20);
                queue.onUsageChanged(team);
                break;
            case 3:
                weights[team] = 1 + int(random() % 3);
                queue.onWeightsChanged();
                break;
            case 4:
                queue.defer(job, now + std::chrono::seconds(1));
                ready.erase(job);
                break;
            default:
                queue.remove(job);
                ready.erase(job);
            }
            const auto picked = queue.pick(now, {}, context);
            BOOST_REQUIRE(picked.has_value() == !ready.empty());
            for (const auto& [id, other] : ready)
                BOOST_REQUIRE(context.ofTeam(ready.at(*picked)) <= context.ofTeam(other));
        }
    }
}

//! Checks the caps of teams in random sequences of work, faults and changes of caps. RC_PARAMS in CMakeLists.txt fixes
//! the seed.

#define BOOST_TEST_MODULE teamcaps
#include "scheduling/tests/teamcaps.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sardinerun::scheduling::testing;

//! Guards against a start that brings a team above its cap, and against a job that waits for ever below it.
BOOST_AUTO_TEST_CASE(no_start_exceeds_the_cap_of_its_team)
{
    BOOST_TEST(rc::check("no start exceeds the cap of its team", [] {
        const auto numbers
            = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1'000'000'000));
        CapsRun run;
        for (const std::uint32_t n : numbers) {
            run.apply(n);
            if (!run.faults.empty())
                RC_FAIL(run.faults.front());
        }
        run.finish();
        if (!run.faults.empty())
            RC_FAIL(run.faults.front());
    }));
}

#define BOOST_TEST_MODULE dispatch
#include "dispatch/lagmeter.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::dispatch;

namespace {

core::Duration ms(std::int64_t n)
{
    return std::chrono::milliseconds(n);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_leader_on_a_vm_that_turned_slow_counts_as_overloaded)
{
    LagMeter meter(ms(50));
    core::TimePoint now { std::chrono::hours(1) };
    for (int n = 0; n < 100; ++n)
        meter.onTimer(now += ms(52));
    BOOST_TEST(!meter.isOverloaded());
    for (int n = 0; n < 4; ++n)
        meter.onTimer(now += ms(130));
    BOOST_TEST(meter.isOverloaded());
}

BOOST_AUTO_TEST_CASE(one_long_pause_is_no_overload)
{
    LagMeter meter(ms(50));
    core::TimePoint now { std::chrono::hours(1) };
    for (int n = 0; n < 20; ++n)
        meter.onTimer(now += n == 10 ? ms(4000) : ms(51));
    BOOST_TEST(!meter.isOverloaded());
}

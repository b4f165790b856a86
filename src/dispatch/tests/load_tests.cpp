//! Load patterns of the leader's VM: too much work, and a VM that became slow.

#include "dispatch/vmspeed.h"
#include "dispatch/yieldpolicy.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace sardinerun;
using namespace sardinerun::dispatch;

namespace {

core::Duration ms(std::int64_t n)
{
    return std::chrono::milliseconds(n);
}

//! Returns how long after its beginning a leadership is released; nothing if it is kept for a minute.
std::optional<core::Duration> yieldTime(bool wasFormerOverloaded, core::Duration overloadedFor, bool isVmSlowed)
{
    const core::TimePoint start { std::chrono::hours(1) };
    YieldPolicy policy(start, wasFormerOverloaded);
    for (core::TimePoint now = start; now < start + std::chrono::seconds(59); now += ms(50)) {
        if (policy.mustYield(now, now - start < overloadedFor, isVmSlowed))
            return now - start;
    }
    return std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(leader_overload)

//! Guards against leaders that replace each other, each overloaded by the same load.
BOOST_AUTO_TEST_CASE(a_leader_with_too_much_work_keeps_the_lead)
{
    BOOST_TEST(!yieldTime(false, ms(7000), false).has_value());
    BOOST_TEST(!yieldTime(true, ms(58000), false).has_value());
}

BOOST_AUTO_TEST_CASE(a_leader_on_a_vm_that_became_slow_hands_over_soon)
{
    const auto at = yieldTime(false, ms(58000), true);
    BOOST_REQUIRE(at.has_value());
    BOOST_TEST((*at <= ms(2000)));
}

//! A VM may also be slow in a way that the computation does not show, such as a quota of processor time.
BOOST_AUTO_TEST_CASE(a_leader_that_stays_overloaded_although_it_rejects_work_hands_over_once)
{
    const auto at = yieldTime(false, ms(58000), false);
    BOOST_REQUIRE(at.has_value());
    BOOST_TEST((*at >= ms(8000)));
    BOOST_TEST((*at <= ms(11000)));
}

BOOST_AUTO_TEST_CASE(speed_of_a_vm_is_compared_with_its_best)
{
    VmSpeed speed;
    for (int n = 0; n < 40; ++n) {
        speed.onSample(std::chrono::microseconds(n % 3 == 0 ? 300 : 50)); // some samples are interrupted
        BOOST_REQUIRE(!speed.isSlowed());
    }
    for (int n = 0; n < 8; ++n)
        speed.onSample(std::chrono::microseconds(110));
    BOOST_TEST(speed.isSlowed());
    for (int n = 0; n < 2; ++n)
        speed.onSample(std::chrono::microseconds(52));
    BOOST_TEST(!speed.isSlowed());
}

BOOST_AUTO_TEST_SUITE_END()

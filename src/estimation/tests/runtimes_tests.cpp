#include "estimation/tests/runmix.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sardinerun;
using namespace sardinerun::estimation;
using namespace sardinerun::estimation::testing;

namespace {

//! By how much the mean absolute error of the logarithm may be larger than that of the declared estimate.
constexpr double errorBound = 0.1;

TaskKind kindOf(const std::string& team, const std::string& image = "image")
{
    return { "q", core::TeamId(team), image };
}

double errorOf(const RunTimes& learned, const TaskKind& kind)
{
    return std::abs(learned.expect(kind, std::chrono::seconds(1)).logMedian);
}

void runHonestly(RunTimes& learned, const TaskKind& kind, int steps)
{
    playMix({ .name = "", .declaredError = 0.2, .spread = 0.3 }, steps, 3, learned, kind);
}

} // namespace

//! Guards against learning that makes a load worse which the declared estimates describe well.
BOOST_AUTO_TEST_CASE(no_load_is_much_worse_than_by_its_declared_estimates)
{
    for (const Mix& mix : allMixes()) {
        RunTimes learned;
        const MixFigures it = playMix(mix, 300, 1, learned, kindOf(""));
        BOOST_TEST_CONTEXT(mix.name)
        {
            BOOST_TEST(it.error < it.declaredError + errorBound);
            BOOST_TEST(it.errorWithSiblings < it.declaredError + errorBound);
        }
    }
}

BOOST_AUTO_TEST_CASE(random_loads_stay_within_the_bound)
{
    const bool isHeld = rc::check("the error is bounded", [] {
        const auto percent = [](int below) { return double(*rc::gen::inRange(0, below)) / 100; };
        Mix mix;
        mix.declaredError = percent(120);
        mix.spread = percent(120);
        mix.inStep = percent(40);
        mix.tail = percent(10);
        mix.secondMode = percent(100);
        mix.broken = percent(10);
        mix.hung = percent(20);
        mix.isChanging = *rc::gen::arbitrary<bool>();
        mix.isNonsense = *rc::gen::arbitrary<bool>();
        mix.isLying = *rc::gen::arbitrary<bool>();
        mix.tasks = std::uint32_t(*rc::gen::inRange(2, 30));
        RunTimes learned;
        const MixFigures it = playMix(mix, 200, unsigned(*rc::gen::inRange(1, 1000)), learned, kindOf(""));
        RC_ASSERT(it.error < it.declaredError + errorBound);
    });
    BOOST_TEST(isHeld);
}

//! Guards against estimates that are no better than the declared ones where those are bad.
BOOST_AUTO_TEST_CASE(bad_estimates_are_replaced_by_what_is_learned)
{
    RunTimes learned;
    const MixFigures it = playMix({ .name = "", .declaredError = 0.9, .tail = 0.03 }, 300, 1, learned, kindOf(""));
    BOOST_TEST(it.error < it.declaredError * 0.7);
    BOOST_TEST(it.errorWithSiblings < it.declaredError * 0.5);
    BOOST_TEST(it.beyond95 > 0.02);
    BOOST_TEST(it.beyond95 < 0.1);
}

BOOST_AUTO_TEST_CASE(without_samples_the_declared_estimate_is_expected)
{
    const RunTimes learned;
    const Expectation it = learned.expect(kindOf("a"), std::chrono::seconds(3));
    BOOST_TEST(std::abs(core::toMs(it.median()) - 3000) <= 1);
    BOOST_TEST(it.learnedShare == 0);
}

//! Guards against a team that spoils the expectations of others by declaring nonsense, also with many jobs and kinds.
BOOST_AUTO_TEST_CASE(nonsense_of_one_team_changes_little_for_others)
{
    RunTimes learned;
    for (int n = 0; n < 10; ++n)
        runHonestly(learned, kindOf("honest" + std::to_string(n)), 40);
    const double before = errorOf(learned, kindOf("honest1"));
    const double beforeNew = errorOf(learned, kindOf("new"));
    for (int n = 0; n < 20'000; ++n)
        learned.onCompleted(kindOf("bad", std::to_string(n)), { std::chrono::milliseconds(1), std::chrono::hours(10) });
    BOOST_TEST(errorOf(learned, kindOf("honest1")) < before + 0.05);
    BOOST_TEST(errorOf(learned, kindOf("new")) < beforeNew + 0.5);
    BOOST_TEST(learned.kinds() < 16'384u / 8 + 20);
}

//! Guards against memory that grows with the number of kinds that callers invent.
BOOST_AUTO_TEST_CASE(the_least_recently_used_kind_is_forgotten)
{
    RunTimes learned(8);
    runHonestly(learned, kindOf("", "first"), 5);
    for (int n = 0; n < 100; ++n) {
        learned.onCompleted(kindOf("", "i" + std::to_string(n)), { std::chrono::seconds(1), std::chrono::seconds(1) });
        learned.onCompleted(kindOf("", "first"), { std::chrono::seconds(1), std::chrono::seconds(1) });
        BOOST_REQUIRE(learned.kinds() <= 8u);
    }
    BOOST_TEST(learned.expect(kindOf("", "first"), std::chrono::seconds(1)).samples > 50);
    BOOST_TEST(learned.expect(kindOf("", "i3"), std::chrono::seconds(1)).samples == 0);
}

//! Guards against expectations that contradict themselves, whatever was learned.
BOOST_AUTO_TEST_CASE(quantiles_and_remaining_times_are_ordered)
{
    const bool isHeld = rc::check("ordered", [] {
        RunTimes learned;
        const auto samples
            = *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(-5, 1000000));
        for (const std::int64_t it : samples) {
            const RunSample run { std::chrono::milliseconds(std::abs(it) % 977), std::chrono::milliseconds(it) };
            it % 3 == 0 ? learned.onStillRunning(kindOf(""), run) : learned.onCompleted(kindOf(""), run);
        }
        const core::Duration declared = std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(-10, 10'000'000));
        const Expectation it = learned.expect(kindOf(""), declared);
        RC_ASSERT(std::isfinite(it.logMedian));
        RC_ASSERT(it.learnedShare >= 0 && it.learnedShare <= 1);
        RC_ASSERT(it.quantile(0.1) <= it.quantile(0.5) && it.quantile(0.5) <= it.quantile(0.95));
        RC_ASSERT(it.median() > core::Duration(0));
        RC_ASSERT(it.mean() > core::Duration(0));
        RC_ASSERT(it.remainingAfter(it.median() * 3) >= core::Duration(0));
    });
    BOOST_TEST(isHeld);
}

//! Guards against a run that hangs for hours and makes its kind look endless.
BOOST_AUTO_TEST_CASE(a_run_that_goes_on_teaches_only_that_it_is_longer)
{
    RunTimes learned;
    runHonestly(learned, kindOf(""), 50);
    const core::Duration before = learned.expect(kindOf(""), std::chrono::seconds(1)).median();
    learned.onStillRunning(kindOf(""), { std::chrono::seconds(1), before / 2 });
    BOOST_TEST((learned.expect(kindOf(""), std::chrono::seconds(1)).median() == before));
    learned.onStillRunning(kindOf(""), { std::chrono::seconds(1), std::chrono::hours(9) });
    const core::Duration after = learned.expect(kindOf(""), std::chrono::seconds(1)).median();
    BOOST_TEST((after > before));
    BOOST_TEST((after < before * 11 / 10));
}

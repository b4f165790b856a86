#define BOOST_TEST_MODULE placement
#include "placement/ledger.h"
#include "placement/usageestimator.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sardinerun;
using namespace sardinerun::placement;

namespace {

core::Resources resources(std::int64_t cpu, std::int64_t memory, std::int64_t accelerators = 0)
{
    return { core::MilliCpu(cpu), core::MebiBytes(memory), core::Accelerators(accelerators) };
}

core::VmId vm(int n)
{
    return core::VmId("w" + std::to_string(n));
}

core::AttemptId attempt(int n)
{
    return { core::JobId("j" + std::to_string(n)), core::TaskIndex(0), core::AttemptNumber(1) };
}

void addWorkers(Ledger& ledger, int count, const core::Resources& capacity)
{
    for (int n = 0; n < count; ++n) {
        ledger.putWorker({ vm(n), core::RackId("r" + std::to_string(n / 2)),
            core::FailureDomainId("d" + std::to_string(n % 3)), capacity });
        ledger.setOpen(vm(n), true);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(aWorkerIsFilledToItsCapacityAndNoFurther)
{
    Ledger ledger;
    addWorkers(ledger, 1, resources(1000, 1000));
    const auto& strategy = strategyOf(StrategyKind::BestFit);
    for (int n = 0; n < 4; ++n) {
        const Choice choice = ledger.choose({ resources(250, 10) }, strategy);
        BOOST_REQUIRE((choice.failure == PlacementFailure::None));
        ledger.commit(attempt(n), { choice.worker, resources(250, 10) });
    }
    BOOST_TEST((ledger.choose({ resources(1, 1) }, strategy).failure == PlacementFailure::NoRoom));
    ledger.release(attempt(2));
    BOOST_TEST((ledger.choose({ resources(250, 1) }, strategy).failure == PlacementFailure::None));
}

BOOST_AUTO_TEST_CASE(aClosedWorkerGetsNoTask)
{
    Ledger ledger;
    addWorkers(ledger, 1, resources(1000, 1000));
    ledger.setOpen(vm(0), false);
    for (const auto kind : { StrategyKind::BestFit, StrategyKind::FirstFit, StrategyKind::LeastLoaded })
        BOOST_TEST((ledger.choose({ resources(1, 1) }, strategyOf(kind)).failure == PlacementFailure::NoRoom));
}

BOOST_AUTO_TEST_CASE(servicesSpreadOverFailureDomains)
{
    Ledger ledger;
    addWorkers(ledger, 6, resources(8000, 8000));
    Spread spread;
    for (int n = 0; n < 3; ++n) {
        Need need { resources(500, 500) };
        need.spread = &spread;
        const Choice choice = ledger.choose(need, strategyOf(StrategyKind::BestFit));
        ledger.commit(attempt(n), { choice.worker, need.resources });
        ++spread.byFailureDomain[ledger.worker(choice.worker)->failureDomain];
        ++spread.byRack[ledger.worker(choice.worker)->rack];
    }
    BOOST_TEST(spread.byFailureDomain.size() == 3U);
}

BOOST_AUTO_TEST_CASE(tasksWithoutAcceleratorsLeaveAcceleratedWorkersFree)
{
    Ledger ledger;
    ledger.putWorker({ vm(0), {}, {}, resources(1000, 1000, 4) });
    ledger.setOpen(vm(0), true);
    ledger.putWorker({ vm(1), {}, {}, resources(1000, 1000) });
    ledger.setOpen(vm(1), true);
    const auto& strategy = strategyOf(StrategyKind::LeastLoaded);
    BOOST_TEST((ledger.choose({ resources(100, 100) }, strategy).worker == vm(1)));
    BOOST_TEST((ledger.choose({ resources(100, 100, 1) }, strategy).worker == vm(0)));
}

BOOST_AUTO_TEST_CASE(aClassOverItsShareBorrowsOnlyForPreemptibleTasks)
{
    Ledger ledger;
    addWorkers(ledger, 1, resources(1000, 1000));
    ledger.setShares({ { 30, 30, 10 } });
    const auto& strategy = strategyOf(StrategyKind::BestFit);
    ledger.commit(attempt(0), { vm(0), resources(400, 400), jobs::Urgency::Low });
    Need need { resources(100, 100), jobs::Urgency::Low };
    BOOST_TEST((ledger.choose(need, strategy).failure == PlacementFailure::OverShare));
    need.isPreemptible = true;
    const Choice choice = ledger.choose(need, strategy);
    BOOST_TEST((choice.failure == PlacementFailure::None));
    BOOST_TEST(choice.isBorrowed);

    ledger.commit(attempt(1), { vm(0), resources(600, 600), jobs::Urgency::Low, true, true });
    const Need urgent { resources(200, 200), jobs::Urgency::Urgent };
    BOOST_TEST((ledger.choose(urgent, strategy).failure == PlacementFailure::NoRoom));
    BOOST_TEST(ledger.isWithinGuarantee(urgent));
    const auto victims = ledger.victimsFor(urgent);
    BOOST_REQUIRE(victims.size() == 1U);
    BOOST_TEST((victims[0] == attempt(1)));
}

BOOST_AUTO_TEST_CASE(aTaskLargerThanTheShareOfItsClassStartsWhenItIsTheOnlyOne)
{
    // In a partition with one worker, a task as large as the worker was neither placed nor refused.
    Ledger ledger;
    addWorkers(ledger, 1, resources(8000, 8000));
    ledger.setShares({ { 30, 30, 10 } });
    const Need need { resources(8000, 100) };
    BOOST_TEST((ledger.choose(need, strategyOf(StrategyKind::DominantFit)).failure == PlacementFailure::None));
}

BOOST_AUTO_TEST_CASE(noOrderOfOperationsOvercommitsAWorker)
{
    const bool passed = rc::check("committed never exceeds capacity", [](const std::vector<std::uint16_t>& steps) {
        Ledger ledger;
        addWorkers(ledger, 5, resources(4000, 4000));
        std::vector<int> live;
        int next = 0;
        for (const std::uint16_t step : steps) {
            const auto kind = static_cast<StrategyKind>(step % 4);
            const core::Resources need = resources(100 + step % 1700, 100 + (step / 7) % 1900);
            if (step % 5 == 0 && !live.empty()) {
                ledger.release(attempt(live.back()));
                live.pop_back();
                continue;
            }
            if (step % 11 == 0)
                ledger.setOpen(vm(step % 5), step % 2 == 0);
            const Choice choice = ledger.choose({ need }, strategyOf(kind));
            if (choice.failure != PlacementFailure::None)
                continue;
            RC_ASSERT(ledger.isOpen(choice.worker));
            ledger.commit(attempt(next), { choice.worker, need });
            live.push_back(next++);
            RC_ASSERT(ledger.committedOn(choice.worker).fitsIn(resources(4000, 4000)));
        }
        core::Resources sum;
        for (int n = 0; n < 5; ++n)
            sum = sum + ledger.committedOn(vm(n));
        RC_ASSERT(sum == ledger.committed());
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(theIndexFindsAWorkerWheneverAScanFindsOne)
{
    const bool passed = rc::check("index and scan agree", [](const std::vector<std::uint16_t>& sizes, std::uint16_t n) {
        Ledger ledger;
        addWorkers(ledger, 8, resources(3000, 5000));
        for (std::size_t it = 0; it < sizes.size(); ++it)
            ledger.commit(attempt(int(it)), { vm(int(it % 8)), resources(sizes[it] % 900, sizes[it] % 1300) });
        const Need need { resources(n % 3000, (n / 3) % 5000) };
        const auto scan = ledger.choose(need, strategyOf(StrategyKind::FirstFit)).failure;
        RC_ASSERT(ledger.choose(need, strategyOf(StrategyKind::BestFit)).failure == scan);
        RC_ASSERT(ledger.choose(need, strategyOf(StrategyKind::LeastLoaded)).failure == scan);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(committedUsageRisesFastAndFallsSlowly)
{
    UsageEstimator estimator;
    const UsagePolicy policy;
    const core::Resources declared = resources(1000, 1000);
    estimator.report("scan", declared, resources(2000, 500));
    BOOST_TEST(estimator.toCommit("scan", declared, policy).cpu.value() > 2000);
    BOOST_TEST(estimator.toCommit("scan", declared, policy).memory.value() >= 1000);
    for (int n = 0; n < 15; ++n)
        estimator.report("scan", declared, resources(100, 500));
    BOOST_TEST(estimator.toCommit("scan", declared, policy).cpu.value() > 2000);
    for (int n = 0; n < 2000; ++n)
        estimator.report("scan", declared, resources(100, 500));
    BOOST_TEST(estimator.toCommit("scan", declared, policy).cpu.value() == 600);
    BOOST_TEST(estimator.toCommitRunning("scan", declared, resources(900, 1), policy).cpu.value() >= 900);
}

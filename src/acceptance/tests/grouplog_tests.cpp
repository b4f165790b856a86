#define BOOST_TEST_MODULE acceptance
#include "acceptance/grouplog.h"
#include "services/testing/fakestore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sardinerun;
using namespace sardinerun::acceptance;
using namespace std::chrono_literals;
using services::testing::FakeStore;

namespace {

const std::string fenceKey = "cell/partition/00001";

//! A log on a store that fails as told.
struct Bench {
    explicit Bench(FakeStore& it)
        : store(it)
        , log(core::PartitionId(1), { fenceKey, it.versionOf(fenceKey) }, options())
    {
    }

    static LogOptions options()
    {
        LogOptions it;
        it.compactAboveRows = 4;
        return it;
    }

    //! Does what the log asks for, once.
    LogEvents step(FakeStore::Fault fault = FakeStore::Fault::None)
    {
        now += 300ms;
        const GroupLog::Action action = log.next(now);
        if (action.commit)
            return log.onCommitted(store.commitNow(*action.commit, fault), now);
        if (action.readPrefix)
            return log.onRead(store.listNow(*action.readPrefix, fault), now);
        return {};
    }

    FakeStore& store;
    GroupLog log;
    core::TimePoint now { 1h };
};

FakeStore storeWithFence()
{
    FakeStore store;
    store.put(fenceKey, "owner a");
    return store;
}

} // namespace

BOOST_AUTO_TEST_CASE(aGroupIsKeptInOneTransaction)
{
    FakeStore store = storeWithFence();
    Bench bench(store);
    bench.log.append(ItemId("a"), "1", true);
    bench.log.append(ItemId("b"), "2", true);
    const std::uint64_t before = store.commits();
    BOOST_TEST(bench.step().kept.size() == 2U);
    BOOST_TEST(store.commits() == before + 1);
}

BOOST_AUTO_TEST_CASE(aStoreThatIsDownRefusesWhatIsNewAndKeepsTheRestForLater)
{
    FakeStore store = storeWithFence();
    Bench bench(store);
    bench.log.append(ItemId("new"), "1", true);
    bench.log.append(ItemId("end"), "2", false);
    const LogEvents events = bench.step(FakeStore::Fault::Down);
    BOOST_REQUIRE(events.refused.size() == 1U);
    BOOST_TEST((events.refused[0] == ItemId("new")));
    BOOST_TEST(!bench.log.isHealthy());
    const LogEvents later = bench.step();
    BOOST_REQUIRE(later.kept.size() == 1U);
    BOOST_TEST((later.kept[0].item == ItemId("end")));
    BOOST_TEST(bench.log.isHealthy());
}

BOOST_AUTO_TEST_CASE(aLostAnswerIsResolvedByTheOwnWriteId)
{
    FakeStore store = storeWithFence();
    Bench bench(store);
    bench.log.append(ItemId("a"), "1", true);
    LogEvents events = bench.step(FakeStore::Fault::LostAfterEffect);
    BOOST_TEST(events.kept.empty());
    BOOST_TEST(events.refused.empty());
    bench.step(); // the same group again: a conflict with its own effect
    events = bench.step(); // the read that tells
    BOOST_TEST(events.kept.size() == 1U);
    BOOST_TEST(!events.isLost);
}

BOOST_AUTO_TEST_CASE(aFormerOwnerCannotWrite)
{
    FakeStore store = storeWithFence();
    Bench bench(store);
    store.put(fenceKey, "owner b");
    bench.log.append(ItemId("a"), "1", true);
    bench.step();
    const LogEvents events = bench.step();
    BOOST_TEST(events.isLost);
    BOOST_TEST(events.kept.empty());
    BOOST_TEST(store.listNow("log/").value().empty());
}

BOOST_AUTO_TEST_CASE(anItemThatEndedBeforeACompactionDoesNotComeBack)
{
    // Dropping the newer record of an item while an older row still holds a record of it would make the item
    // live again after a takeover.
    FakeStore store = storeWithFence();
    Bench bench(store);
    bench.log.append(ItemId("job"), "accepted", true);
    bench.step();
    bench.log.append(ItemId("job"), "ended", false);
    bench.step();
    for (int n = 0; n < 20; ++n) {
        bench.log.append(ItemId("other" + std::to_string(n)), "x", true);
        bench.step();
        if (n == 3)
            bench.log.forget(ItemId("job"));
        Bench successor(store);
        const auto records = successor.log.recover(store.listNow(GroupLog::prefixOf(core::PartitionId(1))).value());
        if (const auto it = records.find(ItemId("job")); it != records.end())
            BOOST_TEST(it->second == "ended");
    }
}

BOOST_AUTO_TEST_CASE(whatWasKeptIsRecoveredWhateverTheStoreDoes)
{
    const bool isHeld = rc::check("newest kept record wins", [](const std::vector<std::uint8_t>& steps) {
        FakeStore store = storeWithFence();
        Bench bench(store);
        std::map<ItemId, std::string> kept;
        std::map<ItemId, std::string> asked;
        std::set<ItemId> refused;
        int n = 0;
        for (const std::uint8_t step : steps) {
            const ItemId item("i" + std::to_string(step % 7));
            if (step % 3 != 0 && !refused.contains(item)) {
                asked[item] = std::to_string(++n);
                bench.log.append(item, asked[item], !kept.contains(item));
            }
            const auto fault = static_cast<FakeStore::Fault>((step / 16) % 4);
            const LogEvents events = bench.step(fault);
            RC_ASSERT(!events.isLost);
            for (const PersistedRecord& it : events.kept)
                kept[it.item] = "kept";
            for (const ItemId& it : events.refused) {
                if (!kept.contains(it))
                    refused.insert(it);
            }
        }
        for (int it = 0; it < 4; ++it)
            bench.step();
        Bench successor(store);
        const auto records = successor.log.recover(store.listNow(GroupLog::prefixOf(core::PartitionId(1))).value());
        for (const auto& it : kept)
            RC_ASSERT(records.contains(it.first));
        for (const ItemId& it : refused)
            RC_ASSERT(!records.contains(it));
    });
    BOOST_TEST(isHeld);
}

#define BOOST_TEST_MODULE acceptance
#include "acceptance/grouplog.h"
#include "codec/json.h"
#include "services/testing/fakestore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sardinerun;
using namespace sardinerun::acceptance;
using namespace std::chrono_literals;
using services::testing::FakeStore;

namespace {

const std::string fenceKey = "cell/partition/00001";

//! A log on a store with injected faults.
struct LogFixture {
    explicit LogFixture(FakeStore& it)
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

    //! Executes the log's next store operation.
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

BOOST_AUTO_TEST_CASE(aGroupIsCommittedInOneTransaction)
{
    FakeStore store = storeWithFence();
    LogFixture fixture(store);
    fixture.log.append(ItemId("a"), "1", true);
    fixture.log.append(ItemId("b"), "2", true);
    const std::uint64_t before = store.commits();
    BOOST_TEST(fixture.step().persisted.size() == 2U);
    BOOST_TEST(store.commits() == before + 1);
}

//! Guards against a row of another writer among the groups ending the process that reads them.
BOOST_AUTO_TEST_CASE(rowsWithOddKeysAreRejected)
{
    FakeStore store = storeWithFence();
    LogFixture fixture(store);
    for (const char* key : { "log/00001/", "log/00001/x", "log/00001/-1", "log/00001/fffffffffffffffff" }) {
        services::Row row;
        row.key = key;
        row.value = R"({"records":[]})";
        BOOST_CHECK_THROW(fixture.log.recover({ row }), codec::DecodeError);
    }
}

BOOST_AUTO_TEST_CASE(aStoreOutageRefusesNewRecordsAndRetriesTheOthers)
{
    FakeStore store = storeWithFence();
    LogFixture fixture(store);
    fixture.log.append(ItemId("new"), "1", true);
    fixture.log.append(ItemId("end"), "2", false);
    const LogEvents events = fixture.step(FakeStore::Fault::Down);
    BOOST_REQUIRE(events.notPersisted.size() == 1U);
    BOOST_TEST((events.notPersisted[0] == ItemId("new")));
    BOOST_TEST(!fixture.log.isHealthy());
    const LogEvents later = fixture.step();
    BOOST_REQUIRE(later.persisted.size() == 1U);
    BOOST_TEST((later.persisted[0].item == ItemId("end")));
    BOOST_TEST(fixture.log.isHealthy());
}

//! Guards against a partition refusing all work for ever: while its log is unhealthy no record is appended, and a log
//! without records wrote nothing that could have succeeded.
BOOST_AUTO_TEST_CASE(aLogThatRefusedAllItsRecordsIsHealthySoonAfterTheOutage)
{
    FakeStore store = storeWithFence();
    LogFixture fixture(store);
    fixture.log.append(ItemId("new"), "1", true);
    const LogEvents events = fixture.step(FakeStore::Fault::Down);
    BOOST_TEST(events.notPersisted.size() == 1U);
    BOOST_TEST(fixture.log.pendingCount() == 0U);
    fixture.step(FakeStore::Fault::Down);
    BOOST_TEST(!fixture.log.isHealthy());
    fixture.step();
    BOOST_TEST(fixture.log.isHealthy());
    LogFixture successor(store);
    const auto records = successor.log.recover(store.listNow(GroupLog::prefixOf(core::PartitionId(1))).value());
    BOOST_TEST(records.empty());
}

//! Guards against an unhealthy log that writes on after another owner has taken the partition over.
BOOST_AUTO_TEST_CASE(aFormerOwnerWithoutRecordsNoticesTheTakeoverAfterAnOutage)
{
    FakeStore store = storeWithFence();
    LogFixture fixture(store);
    fixture.log.append(ItemId("new"), "1", true);
    fixture.step(FakeStore::Fault::Down);
    store.put(fenceKey, "owner b");
    fixture.step();
    const LogEvents events = fixture.step();
    BOOST_TEST(events.isOwnershipLost);
    BOOST_TEST(!fixture.log.isHealthy());
}

BOOST_AUTO_TEST_CASE(aHealthyLogWithoutRecordsWritesNothing)
{
    FakeStore store = storeWithFence();
    LogFixture fixture(store);
    const std::uint64_t before = store.commits();
    for (int n = 0; n < 10; ++n)
        fixture.step();
    BOOST_TEST(store.commits() == before);
}

BOOST_AUTO_TEST_CASE(aLostAnswerIsResolvedByTheOwnWriteId)
{
    FakeStore store = storeWithFence();
    LogFixture fixture(store);
    fixture.log.append(ItemId("a"), "1", true);
    LogEvents events = fixture.step(FakeStore::Fault::LostAfterEffect);
    BOOST_TEST(events.persisted.empty());
    BOOST_TEST(events.notPersisted.empty());
    fixture.step(); // retries the group, which conflicts with its own row
    events = fixture.step(); // reads the row and finds the group's write id
    BOOST_TEST(events.persisted.size() == 1U);
    BOOST_TEST(!events.isOwnershipLost);
}

BOOST_AUTO_TEST_CASE(aFormerOwnerCannotWrite)
{
    FakeStore store = storeWithFence();
    LogFixture fixture(store);
    store.put(fenceKey, "owner b");
    fixture.log.append(ItemId("a"), "1", true);
    fixture.step();
    const LogEvents events = fixture.step();
    BOOST_TEST(events.isOwnershipLost);
    BOOST_TEST(events.persisted.empty());
    BOOST_TEST(store.listNow("log/").value().empty());
}

BOOST_AUTO_TEST_CASE(anItemRemovedBeforeACompactionDoesNotComeBack)
{
    // If compaction dropped the newer record of an item while an older row still had a record of it, the item
    // would be recovered as live by the next owner.
    FakeStore store = storeWithFence();
    LogFixture fixture(store);
    fixture.log.append(ItemId("job"), "accepted", true);
    fixture.step();
    fixture.log.append(ItemId("job"), "ended", false);
    fixture.step();
    for (int n = 0; n < 20; ++n) {
        fixture.log.append(ItemId("other" + std::to_string(n)), "x", true);
        fixture.step();
        if (n == 3)
            fixture.log.remove(ItemId("job"));
        LogFixture successor(store);
        const auto records = successor.log.recover(store.listNow(GroupLog::prefixOf(core::PartitionId(1))).value());
        if (const auto it = records.find(ItemId("job")); it != records.end())
            BOOST_TEST(it->second == "ended");
    }
}

BOOST_AUTO_TEST_CASE(persistedRecordsAreRecoveredAfterAnyStoreFaults)
{
    const bool passed = rc::check("persisted items are recovered", [](const std::vector<std::uint8_t>& steps) {
        FakeStore store = storeWithFence();
        LogFixture fixture(store);
        std::map<ItemId, std::string> persisted;
        std::map<ItemId, std::string> appended;
        std::set<ItemId> notPersisted;
        int n = 0;
        for (const std::uint8_t step : steps) {
            const ItemId item("i" + std::to_string(step % 7));
            if (step % 3 != 0 && !notPersisted.contains(item)) {
                appended[item] = std::to_string(++n);
                fixture.log.append(item, appended[item], !persisted.contains(item));
            }
            const auto fault = static_cast<FakeStore::Fault>((step / 16) % 4);
            const LogEvents events = fixture.step(fault);
            RC_ASSERT(!events.isOwnershipLost);
            for (const PersistedRecord& it : events.persisted)
                persisted[it.item] = "kept";
            for (const ItemId& it : events.notPersisted) {
                if (!persisted.contains(it))
                    notPersisted.insert(it);
            }
        }
        for (int it = 0; it < 4; ++it)
            fixture.step();
        LogFixture successor(store);
        const auto records = successor.log.recover(store.listNow(GroupLog::prefixOf(core::PartitionId(1))).value());
        for (const auto& it : persisted)
            RC_ASSERT(records.contains(it.first));
        for (const ItemId& it : notPersisted)
            RC_ASSERT(!records.contains(it));
    });
    BOOST_TEST(passed);
}

#define BOOST_TEST_MODULE membership
#include "membership/assignment.h"
#include "membership/cellcodec.h"
#include "membership/membership.h"
#include "platform/testing/fakestore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sardinerun;
using namespace sardinerun::membership;
using namespace std::chrono_literals;
using platform::testing::FakeStore;

namespace {

constexpr core::Duration stepTime = 50ms;

//! Nodes' memberships on one paused clock and one store.
class Nodes {
public:
    struct Node {
        MembershipPtr machine;
        FakeStore::Fault fault = FakeStore::Fault::None;
        bool isPaused = false;
        //! What the tasks of the node hold to be in force, as they were last told.
        Standing told;
    };

    explicit Nodes(int count)
    {
        for (int n = 0; n < count; ++n)
            start(n);
    }

    void start(int n)
    {
        Membership::Options options;
        options.node = core::NodeId("n" + std::to_string(n));
        options.address = { "127.0.0.1", static_cast<std::uint16_t>(1000 + n) };
        options.partitionCount = 8;
        nodes[n] = {};
        nodes[n].machine = Membership::create(options);
    }

    void step()
    {
        now += stepTime;
        for (auto& [n, it] : nodes) {
            if (it.isPaused)
                continue;
            serve(it);
            it.told = it.machine->standing(now);
            if (it.told.confirming.value() > 0)
                it.machine->onStoppedActing(it.told.confirming);
            for (const core::PartitionId id : it.machine->handingOver())
                it.machine->onAtRest(id, true);
            for (const core::PartitionId id : it.machine->releasing())
                it.machine->onSlotsIdle(id);
        }
        check();
    }

    void run(core::Duration time)
    {
        for (core::Duration passed {}; passed < time; passed += stepTime)
            step();
    }

    //! An operator's change, as a node carries it out: conditional on the version that it has read.
    bool configure(const std::string& preset)
    {
        const CellView view = decodeCell(store.listNow(cellPrefix).value());
        ConfigRow row { core::ConfigVersion(view.config.version.value() + 1), core::PresetName(preset), "x", {}, {} };
        return bool(
            store.commitNow({ core::WriteId("op"), {}, { { configKey, view.config.row, encodeConfig(row) } } }));
    }

    core::ConfigVersion inForce(int n) { return nodes[n].machine->standing(now).actsUnder; }

    int owners(std::uint32_t partition)
    {
        int n = 0;
        for (auto& [id, it] : nodes)
            n += it.machine->standing(now).owned.contains(core::PartitionId(partition)) ? 1 : 0;
        return n;
    }

    //! Promises that hold at any moment, of what the nodes may do by their own clocks.
    void check()
    {
        std::set<core::ConfigVersion> inForce;
        std::map<core::PartitionId, int> certainOwners;
        std::map<core::PartitionId, int> holders;
        for (auto& [n, it] : nodes) {
            const bool isCertain = it.told.isMember && now < it.told.certainUntil;
            if (isCertain && it.told.actsUnder.value() > 0)
                inForce.insert(it.told.actsUnder);
            for (const auto& [id, row] : it.told.owned)
                certainOwners[id] += isCertain ? 1 : 0;
            for (const core::PartitionId id : it.told.slots)
                holders[id] += now < it.told.slotsUntil ? 1 : 0;
            if (it.told.actsUnder.value() > 0)
                RC_ASSERT(it.told.actsUnder >= highest || !isCertain);
            if (isCertain)
                highest = std::max(highest, it.told.actsUnder);
        }
        RC_ASSERT(inForce.size() <= 1U);
        for (const auto& [id, n] : certainOwners)
            RC_ASSERT(n <= 1);
        for (const auto& [id, n] : holders)
            RC_ASSERT(n <= 1);
    }

    FakeStore store;
    std::map<int, Node> nodes;
    core::TimePoint now { 1h };
    core::ConfigVersion highest;

private:
    void serve(Node& node)
    {
        for (int n = 0; n < 4; ++n) {
            auto request = node.machine->next(now);
            if (!request)
                return;
            if (request->isLook)
                node.machine->onLooked(store.listNow(cellPrefix, node.fault), now);
            else
                node.machine->onCommitted(store.commitNow(*request->commit, node.fault), now);
        }
    }
};

void storm(const std::vector<std::uint32_t>& events)
{
    Nodes nodes(3);
    nodes.run(1s);
    for (const std::uint32_t event : events) {
        const int n = static_cast<int>(event / 8 % 3);
        Nodes::Node& node = nodes.nodes[n];
        switch (event % 8) {
        case 0:
        case 1:
            nodes.configure("p" + std::to_string(event % 5));
            break;
        case 2:
            node.isPaused = !node.isPaused;
            break;
        case 3:
        case 4:
            node.fault = static_cast<FakeStore::Fault>(event / 24 % 4);
            break;
        case 5:
            nodes.start(n); // the process was replaced; its former run has ended
            break;
        case 6:
            for (auto& [id, it] : nodes.nodes)
                it.fault = FakeStore::Fault::Down;
            break;
        default:
            for (auto& [id, it] : nodes.nodes)
                it.fault = FakeStore::Fault::None;
        }
        nodes.run(stepTime * (1 + event / 8 % 100));
    }
    for (auto& [id, it] : nodes.nodes) {
        it.fault = FakeStore::Fault::None;
        it.isPaused = false;
    }
    nodes.run(40s);
    for (std::uint32_t n = 0; n < 8; ++n)
        RC_ASSERT(nodes.owners(n) == 1);
    const CellView view = decodeCell(nodes.store.listNow(cellPrefix).value());
    RC_ASSERT(view.active.version == view.config.version);
}

} // namespace

BOOST_AUTO_TEST_CASE(partitionsAreSharedEvenlyAndFewMove)
{
    const std::vector<core::NodeId> seven { core::NodeId("a"), core::NodeId("b"), core::NodeId("c"), core::NodeId("d"),
        core::NodeId("e"), core::NodeId("f"), core::NodeId("g") };
    std::map<core::NodeId, int> loads;
    for (const auto& [id, owner] : assignPartitions(64, seven))
        ++loads[owner];
    for (const auto& [node, n] : loads)
        BOOST_TEST(n <= 10);
    BOOST_TEST(assignPartitions(8, {}).empty());
}

BOOST_AUTO_TEST_CASE(everyPartitionGetsOneOwner)
{
    Nodes nodes(3);
    nodes.run(3s);
    for (std::uint32_t n = 0; n < 8; ++n)
        BOOST_TEST(nodes.owners(n) == 1);
}

BOOST_AUTO_TEST_CASE(aConfigurationIsInForceEverywhereWithinFourSeconds)
{
    Nodes nodes(7);
    nodes.run(3s);
    BOOST_TEST(nodes.configure("ordinary"));
    nodes.run(4s);
    for (int n = 0; n < 7; ++n)
        BOOST_TEST(nodes.inForce(n).value() == 1U);
}

BOOST_AUTO_TEST_CASE(aConfigurationIsInForceWithinFourSecondsWithANodeLost)
{
    Nodes nodes(7);
    nodes.run(3s);
    nodes.nodes.erase(3);
    BOOST_TEST(nodes.configure("ordinary"));
    nodes.run(4s);
    for (int n = 0; n < 7; ++n) {
        if (n != 3)
            BOOST_TEST(nodes.inForce(n).value() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(aPausedNodeIsReplacedAndDoesNothingWhenItComesBack)
{
    Nodes nodes(3);
    nodes.configure("ordinary");
    nodes.run(4s);
    nodes.nodes[1].isPaused = true;
    nodes.run(5s);
    // It still believes what it was told, but by its own clock nothing of that counts any more.
    BOOST_TEST((nodes.now > nodes.nodes[1].told.certainUntil));
    for (std::uint32_t n = 0; n < 8; ++n)
        BOOST_TEST(nodes.owners(n) >= 1);
    nodes.nodes[1].isPaused = false;
    nodes.run(5s);
    for (std::uint32_t n = 0; n < 8; ++n)
        BOOST_TEST(nodes.owners(n) == 1);
}

BOOST_AUTO_TEST_CASE(slotsOfALostNodeMoveOnlyWhenItsEndIsProved)
{
    Nodes nodes(2);
    nodes.run(3s);
    const auto held = nodes.nodes[1].machine->standing(nodes.now).slots;
    const NodeRun run = nodes.nodes[1].machine->standing(nodes.now).self;
    BOOST_TEST(!held.empty());
    nodes.nodes[1].isPaused = true;
    nodes.run(60s);
    const core::PartitionId share = *held.begin();
    BOOST_TEST(!nodes.nodes[0].machine->standing(nodes.now).slots.contains(share));
    BOOST_TEST(nodes.nodes[0].machine->wanted().size() == 1U);
    nodes.nodes.erase(1);
    nodes.nodes[0].machine->onProvedGone(run, nodes.now);
    nodes.run(29s);
    BOOST_TEST(!nodes.nodes[0].machine->standing(nodes.now).slots.contains(share));
    nodes.run(3s);
    BOOST_TEST(nodes.nodes[0].machine->standing(nodes.now).slots.contains(share));
}

BOOST_AUTO_TEST_CASE(slotsAreKeptThroughAnOutageOfAnHour)
{
    Nodes nodes(3);
    nodes.run(3s);
    for (auto& [n, it] : nodes.nodes)
        it.fault = FakeStore::Fault::Down;
    nodes.run(1h);
    std::size_t shares = 0;
    for (auto& [n, it] : nodes.nodes)
        shares += it.machine->standing(nodes.now).slots.size();
    BOOST_TEST(shares == 8U);
}

BOOST_AUTO_TEST_CASE(anOutageOfTheStoreDropsNobody)
{
    // The first node back took the others as lapsed, since their rows had not changed while nobody could write.
    Nodes nodes(3);
    nodes.run(3s);
    std::map<int, NodeRun> before;
    for (auto& [n, it] : nodes.nodes) {
        before[n] = it.machine->standing(nodes.now).self;
        it.fault = FakeStore::Fault::Down;
    }
    nodes.run(10s);
    for (auto& [n, it] : nodes.nodes) {
        it.fault = FakeStore::Fault::None;
        nodes.run(200ms); // they are back one after the other
    }
    nodes.run(5s);
    for (auto& [n, it] : nodes.nodes)
        BOOST_TEST((it.machine->standing(nodes.now).self == before[n]));
}

BOOST_AUTO_TEST_CASE(aPlannedStopHandsEverythingOver)
{
    Nodes nodes(2);
    nodes.run(3s);
    nodes.nodes[0].machine->leave();
    nodes.run(3s);
    BOOST_TEST(nodes.nodes[0].machine->hasLeft());
    nodes.run(2s);
    BOOST_TEST(nodes.nodes[1].machine->standing(nodes.now).owned.size() == 8U);
    BOOST_TEST(nodes.nodes[1].machine->standing(nodes.now).slots.size() == 8U);
}

BOOST_AUTO_TEST_CASE(noOrderOfFaultsMakesTwoOwnersOrTwoPresets)
{
    BOOST_TEST(rc::check("one owner, one holder, one preset", storm));
}

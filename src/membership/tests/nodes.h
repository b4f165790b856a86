#pragma once

#include "membership/cellcodec.h"
#include "membership/membership.h"
#include "services/testing/fakestore.h"

#include <functional>
#include <stdexcept>

namespace sardinerun::membership::testing {

inline constexpr core::Duration stepTime = std::chrono::milliseconds(50);
inline constexpr int stepsBetweenLateEffects = 17; // no multiple of a node's own rhythm

//! Throws if a promise is broken, so that it serves in properties and in plain tests alike.
inline void demand(bool holds, const char* promise)
{
    if (!holds)
        throw std::logic_error(std::string("broken: ") + promise);
}

//! Nodes' memberships on one paused clock and one store.
class Nodes {
public:
    struct Node {
        MembershipPtr machine;
        services::testing::FakeStore::Fault fault = services::testing::FakeStore::Fault::None;
        bool isPaused = false;
        //! What the tasks of the node hold to be in force, as they were last told.
        MemberState told;
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
        if (++steps % stepsBetweenLateEffects == 0)
            store.applyLate();
        for (auto& [n, it] : nodes) {
            if (it.isPaused)
                continue;
            serve(n, it);
            it.told = it.machine->memberState(now);
            if (it.told.confirming.value() > 0)
                it.machine->onOlderConfigsDrained(it.told.confirming);
            for (const core::PartitionId id : it.machine->handingOver())
                it.machine->onQuiescent(id, true);
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

    core::ConfigVersion inForce(int n) { return nodes[n].machine->memberState(now).activeConfig; }

    int owners(std::uint32_t partition)
    {
        int n = 0;
        for (auto& [id, it] : nodes)
            n += it.machine->memberState(now).owned.contains(core::PartitionId(partition)) ? 1 : 0;
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
            if (isCertain && it.told.activeConfig.value() > 0)
                inForce.insert(it.told.activeConfig);
            for (const auto& [id, row] : it.told.owned)
                certainOwners[id] += isCertain ? 1 : 0;
            for (const core::PartitionId id : it.told.slots)
                holders[id] += now < it.told.slotsUntil ? 1 : 0;
            if (it.told.activeConfig.value() > 0)
                demand(it.told.activeConfig >= highest || !isCertain, "a configuration never goes back");
            if (isCertain)
                highest = std::max(highest, it.told.activeConfig);
        }
        demand(inForce.size() <= 1U, "one configuration in force");
        for (const auto& [id, n] : certainOwners)
            demand(n <= 1, "one owner of a partition");
        for (const auto& [id, n] : holders)
            demand(n <= 1, "one holder of a share");
    }

    services::testing::FakeStore store;
    std::map<int, Node> nodes;
    core::TimePoint now { std::chrono::hours(1) };
    core::ConfigVersion highest;
    int steps = 0;

    //! Told of each write of a node that took effect.
    std::function<void(int node, const services::Transaction& transaction)> committed
        = [](int, const services::Transaction&) {};

private:
    void commit(int n, Node& node, const services::Transaction& transaction)
    {
        const services::CommitResult result = store.commitNow(transaction, node.fault);
        if (result)
            committed(n, transaction);
        node.machine->onCommitted(result, now);
    }

    void serve(int n, Node& node)
    {
        for (int round = 0; round < 4; ++round) {
            auto request = node.machine->next(now);
            if (!request)
                return;
            if (request->isRefresh)
                node.machine->onRefreshed(store.listNow(cellPrefix, node.fault), now);
            else
                commit(n, node, *request->commit);
        }
    }
};

} // namespace sardinerun::membership::testing

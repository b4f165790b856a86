#pragma once

#include "membership/cellcodec.h"
#include "membership/membership.h"
#include "services/testing/fakestore.h"

#include <functional>
#include <stdexcept>

namespace sardinerun::membership::testing {

inline constexpr core::Duration stepTime = std::chrono::milliseconds(50);
inline constexpr int stepsBetweenLateCommits = 17; // 850 ms, not a multiple of the nodes' refresh and renewal intervals

//! Throws if an invariant is violated; usable in properties and in plain tests.
inline void require(bool holds, const char* invariant)
{
    if (!holds)
        throw std::logic_error(std::string("invariant violated: ") + invariant);
}

//! Memberships of several nodes on one simulated clock and one store.
class Nodes {
public:
    struct Node {
        MembershipPtr membership;
        services::testing::FakeStore::Fault fault = services::testing::FakeStore::Fault::None;
        bool isPaused = false;
        bool reportsQuiescence = true; //!< its tasks say when partitions and shares are no longer used
        //! The state that the node's tasks received last and act on.
        MemberState lastState;
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
        nodes[n].membership = Membership::create(options);
    }

    void step()
    {
        now += stepTime;
        if (++steps % stepsBetweenLateCommits == 0)
            store.applyLate();
        for (auto& [n, it] : nodes) {
            if (it.isPaused)
                continue;
            serve(n, it);
            it.lastState = it.membership->memberState(now);
            if (it.lastState.confirming.value() > 0)
                it.membership->onOlderConfigsDrained(it.lastState.confirming);
            if (it.reportsQuiescence)
                reportQuiescence(n);
        }
        check();
    }

    void run(core::Duration time)
    {
        for (core::Duration passed {}; passed < time; passed += stepTime)
            step();
    }

    void reportQuiescence(int n)
    {
        Membership& it = *nodes[n].membership;
        for (const core::PartitionId id : it.handingOver())
            it.onQuiescent(id, true);
        for (const core::PartitionId id : it.releasing())
            it.onSlotsIdle(id);
    }

    //! Applies an operator's change of configuration, conditional on the version read before, as a node does.
    bool configure(const std::string& preset)
    {
        const CellView view = decodeCell(store.listNow(cellPrefix).value());
        ConfigRow row { core::ConfigVersion(view.config.version.value() + 1), core::PresetName(preset), "x", {}, {} };
        return bool(
            store.commitNow({ core::WriteId("op"), {}, { { configKey, view.config.row, encodeConfig(row) } } }));
    }

    core::ConfigVersion inForce(int n) { return nodes[n].membership->memberState(now).activeConfig; }

    int owners(std::uint32_t partition)
    {
        int n = 0;
        for (auto& [id, it] : nodes)
            n += it.membership->memberState(now).owned.contains(core::PartitionId(partition)) ? 1 : 0;
        return n;
    }

    //! Checks the invariants on the rights that the nodes have by their own clocks.
    void check()
    {
        std::set<core::ConfigVersion> inForce;
        std::map<core::PartitionId, int> certainOwners;
        std::map<core::PartitionId, int> holders;
        for (auto& [n, it] : nodes) {
            const bool hasLease = it.lastState.isMember && now < it.lastState.leaseValidUntil;
            if (hasLease && it.lastState.activeConfig.value() > 0)
                inForce.insert(it.lastState.activeConfig);
            for (const auto& [id, row] : it.lastState.owned)
                certainOwners[id] += hasLease ? 1 : 0;
            for (const core::PartitionId id : it.lastState.slots)
                holders[id] += now < it.lastState.slotsValidUntil ? 1 : 0;
            if (it.lastState.activeConfig.value() > 0)
                require(it.lastState.activeConfig >= newestConfig || !hasLease,
                    "the configuration in force never becomes older");
            if (hasLease)
                newestConfig = std::max(newestConfig, it.lastState.activeConfig);
        }
        require(inForce.size() <= 1U, "at most one configuration is in force");
        for (const auto& [id, n] : certainOwners)
            require(n <= 1, "a partition has at most one owner");
        for (const auto& [id, n] : holders)
            require(n <= 1, "a share of slots has at most one holder");
    }

    services::testing::FakeStore store;
    std::map<int, Node> nodes;
    core::TimePoint now { std::chrono::hours(1) };
    core::ConfigVersion newestConfig;
    int steps = 0;

    //! Called for each write of a node that was answered as committed.
    std::function<void(int node, const services::Transaction& transaction)> onWriteCommitted
        = [](int, const services::Transaction&) {};

private:
    void commit(int n, Node& node, const services::Transaction& transaction)
    {
        const services::CommitResult result = store.commitNow(transaction, node.fault);
        if (result)
            onWriteCommitted(n, transaction);
        node.membership->onCommitted(result, now);
    }

    void serve(int n, Node& node)
    {
        for (int round = 0; round < 4; ++round) {
            auto request = node.membership->next(now);
            if (!request)
                return;
            if (request->isRefresh)
                node.membership->onRefreshed(store.listNow(cellPrefix, node.fault), now);
            else
                commit(n, node, *request->commit);
        }
    }
};

} // namespace sardinerun::membership::testing

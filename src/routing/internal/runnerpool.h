#pragma once

#include "routing/routingtypes.h"

#include <map>

namespace sardinerun::routing {

//! Slots of a runner that a node may use, by the shares that it holds: slot n of a runner belongs to the share
//! (hash of the runner + n) modulo the number of partitions. Every node reckons the same, without a message.
std::int64_t slotsOf(
    const services::VmInfo& runner, const std::set<core::PartitionId>& shares, std::uint32_t partitionCount);

//! The runners of one service as one node may use them.
class RunnerPool {
public:
    void update(const std::vector<services::VmInfo>& runners, const std::set<core::PartitionId>& shares,
        std::uint32_t partitionCount);

    //! The usable runner that should answer soonest, with one slot taken; nothing when all slots are in use.
    std::optional<core::VmId> take(const std::set<core::VmId>& avoid, core::TimePoint now);
    void giveBack(const core::VmId& runner, const Attempt& attempt, core::Duration took, core::TimePoint now);
    //! The runner itself said whether it is leaving.
    void setOwnWord(const core::VmId& runner, bool isLeaving);

    const services::VmInfo* find(const core::VmId& runner) const;
    //! Requests do not belong to one share: a share is idle when those on each runner fit into the other ones.
    bool isShareIdle(
        core::PartitionId share, const std::set<core::PartitionId>& shares, std::uint32_t partitionCount) const;
    std::int64_t totalInUse() const { return m_totalInUse; }
    //! Slots that can be used now.
    std::int64_t usableSlots(core::TimePoint now) const;
    //! Runners on which this node has slots.
    std::vector<services::VmInfo> own() const;

private:
    struct Runner {
        services::VmInfo vm;
        std::int64_t slots = 0;
        std::int64_t inUse = 0;
        bool isListed = true;
        bool saysLeaving = false;
        double meanSeconds = 0;
        int failuresInRow = 0;
        int timesOpened = 0;
        core::TimePoint openUntil {}; //!< the circuit lets nothing through before
    };

    bool isUsable(const Runner& runner, core::TimePoint now) const;
    void noteFailure(Runner& runner, core::TimePoint now);
    bool maySetAside(core::TimePoint now) const;

    std::map<core::VmId, Runner> m_runners;
    std::int64_t m_totalInUse = 0;
};

} // namespace sardinerun::routing

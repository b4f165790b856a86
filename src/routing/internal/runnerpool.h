#pragma once

#include "routing/routingtypes.h"

#include <map>

namespace sardinerun::routing {

//! Returns the number of slots of a runner that a node with these shares may use. Slot n of a runner belongs to the
//! share (hash of the runner + n) modulo the number of partitions, so all nodes agree on the assignment without
//! messages.
std::int64_t slotsOf(
    const services::VmInfo& runner, const std::set<core::PartitionId>& shares, std::uint32_t partitionCount);

//! The runners of one service, with the slots that this node may use and a circuit breaker for each runner.
class RunnerPool {
public:
    void update(const std::vector<services::VmInfo>& runners, const std::set<core::PartitionId>& shares,
        std::uint32_t partitionCount);

    //! Acquires a slot of the usable runner with the shortest expected response time. Returns nothing if no runner
    //! outside of `avoid` has a free slot.
    std::optional<core::VmId> acquire(const std::set<core::VmId>& avoid, core::TimePoint now);
    //! Releases a slot and records the outcome of the exchange.
    void release(const core::VmId& runner, const Attempt& attempt, core::Duration elapsed, core::TimePoint now);
    //! Records whether the runner reports that it is leaving.
    void setLeaving(const core::VmId& runner, bool isLeaving);

    const services::VmInfo* find(const core::VmId& runner) const;
    //! Returns true if no request needs the share. Requests are not assigned to shares, so a share is idle when the
    //! requests on each runner fit into the slots of the other shares.
    bool isShareIdle(
        core::PartitionId share, const std::set<core::PartitionId>& shares, std::uint32_t partitionCount) const;
    std::int64_t totalInUse() const { return m_totalInUse; }
    //! Returns the number of slots of all usable runners, including slots in use.
    std::int64_t usableSlots(core::TimePoint now) const;
    //! Returns the listed runners on which this node may use slots.
    std::vector<services::VmInfo> runnersWithSlots() const;

private:
    struct Runner {
        services::VmInfo vm;
        std::int64_t slots = 0;
        std::int64_t inUse = 0;
        bool isListed = true;
        bool isLeaving = false;
        double meanSeconds = 0;
        int failuresInRow = 0;
        int timesOpened = 0;
        core::TimePoint circuitOpenUntil {}; //!< the circuit breaker blocks requests until this time
    };

    bool isUsable(const Runner& runner, core::TimePoint now) const;
    void recordFailure(Runner& runner, core::TimePoint now);
    bool mayOpenCircuit(core::TimePoint now) const;

    std::map<core::VmId, Runner> m_runners;
    std::int64_t m_totalInUse = 0;
};

} // namespace sardinerun::routing

#include "membership/assignment.h"

#include "core/hashing.h"

namespace sardinerun::membership {

std::map<core::PartitionId, core::NodeId> assignPartitions(
    std::uint32_t partitionCount, const std::vector<core::NodeId>& members)
{
    std::map<core::PartitionId, core::NodeId> owners;
    if (members.empty())
        return owners;
    const std::size_t maxLoad = (partitionCount + members.size() - 1) / members.size();
    std::map<core::NodeId, std::size_t> loads;
    for (std::uint32_t n = 0; n < partitionCount; ++n) {
        std::vector<core::NodeId> candidates;
        for (const core::NodeId& it : members) {
            if (loads[it] < maxLoad)
                candidates.push_back(it);
        }
        const core::NodeId& owner = core::rendezvous(std::to_string(n), candidates);
        ++loads[owner];
        owners.emplace(core::PartitionId(n), owner);
    }
    return owners;
}

} // namespace sardinerun::membership

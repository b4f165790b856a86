#pragma once

#include "core/types.h"

#include <map>
#include <vector>

namespace sardinerun::membership {

//! Returns the intended owner of each partition; the result is the same on every node with the same list of members.
//!
//! Each member gets at most an even share, rounded up. A change of the members moves few partitions.
std::map<core::PartitionId, core::NodeId> assignPartitions(
    std::uint32_t partitionCount, const std::vector<core::NodeId>& members);

} // namespace sardinerun::membership

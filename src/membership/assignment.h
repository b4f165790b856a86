#pragma once

#include "core/types.h"

#include <map>
#include <vector>

namespace sardinerun::membership {

//! Which member should own each partition: the same on every node that sees the same members.
//!
//! Each member gets at most its even part, rounded up; a change of the members moves few partitions.
std::map<core::PartitionId, core::NodeId> assignPartitions(
    std::uint32_t partitionCount, const std::vector<core::NodeId>& members);

} // namespace sardinerun::membership

#pragma once

#include "core/types.h"

#include <string_view>
#include <vector>

namespace sardinerun::core {

//! Stable 64-bit hash: the same on every node and in every release.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

//! Partition of a key among `count` partitions; `count` is at least 1.
PartitionId partitionOf(std::string_view key, std::uint32_t count);

//! Member with the highest weight for `key` (rendezvous hashing); `members` must not be empty.
const NodeId& rendezvous(std::string_view key, const std::vector<NodeId>& members);

//! Random id of 128 bits in hex, for incarnations, writes and traces.
std::string randomId();

} // namespace sardinerun::core

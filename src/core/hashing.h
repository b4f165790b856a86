#pragma once

#include "core/types.h"

#include <string>
#include <string_view>
#include <vector>

namespace sardinerun::core {

//! Returns a 64-bit hash of the text that is the same on every node and in every release.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

//! Returns the partition of a key among `count` partitions; `count` must be at least 1.
PartitionId partitionOf(std::string_view key, std::uint32_t count);

//! Returns the member with the highest weight for `key` (rendezvous hashing); `members` must not be empty.
const NodeId& rendezvous(std::string_view key, const std::vector<NodeId>& members);

//! Returns the SHA-256 hash of a text in lower-case hex.
std::string sha256Hex(std::string_view text);

//! Returns a random 128-bit ID as 32 hexadecimal digits, for incarnations, writes and traces.
std::string randomId();

} // namespace sardinerun::core

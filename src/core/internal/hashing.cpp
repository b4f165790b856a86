#include "core/hashing.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>
#include <xxhash.h>

namespace sardinerun::core {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

PartitionId partitionOf(std::string_view key, std::uint32_t count)
{
    return PartitionId(static_cast<std::uint32_t>(stableHash(key) % count));
}

const NodeId& rendezvous(std::string_view key, const std::vector<NodeId>& members)
{
    const std::uint64_t seed = stableHash(key);
    const auto weight = [seed](const NodeId& it) { return stableHash(it.value(), seed); };
    const auto hasLowerWeight
        = [&weight](const NodeId& a, const NodeId& b) { return std::pair(weight(a), a) < std::pair(weight(b), b); };
    return *std::max_element(members.begin(), members.end(), hasLowerWeight);
}

std::string randomId()
{
    static thread_local std::mt19937_64 generator { std::random_device {}() };
    std::array<char, 33> buf {};
    std::snprintf(buf.data(), buf.size(), "%016lx%016lx", generator(), generator());
    return std::string(buf.data(), 32);
}

} // namespace sardinerun::core

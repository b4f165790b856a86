#include "core/hashing.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <openssl/sha.h>
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

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    static constexpr const char* digits = "0123456789abcdef";
    std::string hex;
    for (const unsigned char it : digest) {
        hex += digits[it >> 4];
        hex += digits[it & 15];
    }
    return hex;
}

std::string randomId()
{
    static thread_local std::mt19937_64 generator { std::random_device {}() };
    std::array<char, 33> buf {};
    std::snprintf(buf.data(), buf.size(), "%016lx%016lx", generator(), generator());
    return std::string(buf.data(), 32);
}

} // namespace sardinerun::core

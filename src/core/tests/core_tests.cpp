#define BOOST_TEST_MODULE core
#include "core/hashing.h"
#include "core/numbers.h"
#include "core/ret.h"
#include "core/types.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun::core;

BOOST_AUTO_TEST_CASE(resourcesFitOnlyWhenEveryDimensionFits)
{
    const Resources room { MilliCpu(1000), MebiBytes(512), Accelerators(0) };
    BOOST_TEST((Resources { MilliCpu(1000), MebiBytes(512), Accelerators(0) }).fitsIn(room));
    BOOST_TEST(!(Resources { MilliCpu(1001), MebiBytes(512), Accelerators(0) }).fitsIn(room));
    BOOST_TEST(!(Resources { MilliCpu(10), MebiBytes(513), Accelerators(0) }).fitsIn(room));
    BOOST_TEST(!(Resources { MilliCpu(10), MebiBytes(1), Accelerators(1) }).fitsIn(room));
}

BOOST_AUTO_TEST_CASE(partitionOfAKeyNeverChanges)
{
    // Nodes of different releases must compute the same partition of a key, so the hash values are fixed.
    BOOST_TEST(partitionOf("lid-orders", 8).value() == partitionOf("lid-orders", 8).value());
    BOOST_TEST(stableHash("") == 0xef46db3751d8e999ULL);
}

BOOST_AUTO_TEST_CASE(rendezvousMovesOnlyTheKeysOfALostMember)
{
    const std::vector<NodeId> three { NodeId("a"), NodeId("b"), NodeId("c") };
    const std::vector<NodeId> two { NodeId("a"), NodeId("b") };
    for (int n = 0; n < 100; ++n) {
        const std::string key = std::to_string(n);
        const NodeId before = rendezvous(key, three);
        if (before != NodeId("c"))
            BOOST_TEST((rendezvous(key, two) == before));
    }
}

BOOST_AUTO_TEST_CASE(only_whole_texts_that_spell_numbers_within_the_limit_are_numbers)
{
    BOOST_TEST((parseUnsigned("0", 9) == std::optional<std::uint64_t>(0)));
    BOOST_TEST((parseUnsigned("007", 9) == std::optional<std::uint64_t>(7)));
    BOOST_TEST((parseUnsigned("ff", 255, 16) == std::optional<std::uint64_t>(255)));
    BOOST_TEST((parseUnsigned("18446744073709551615", UINT64_MAX) == std::optional<std::uint64_t>(UINT64_MAX)));
    for (const char* it :
        { "", " 1", "1 ", "+1", "-1", "1.0", "1x", "0x1", "10", "18446744073709551616", "99999999999999999999999" })
        BOOST_TEST(!parseUnsigned(it, 9).has_value());
}

#define BOOST_TEST_MODULE core
#include "core/hashing.h"
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

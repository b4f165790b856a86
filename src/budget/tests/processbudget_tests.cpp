#define BOOST_TEST_MODULE budget
#include "budget/processbudget.h"
#include "scheduling/jobmemory.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace sardinerun;

namespace {

constexpr std::size_t mebibyte = std::size_t(1) << 20;
constexpr std::size_t smallestVmMb = 120;
constexpr std::size_t smallestVmDescriptors = 3075;
//! A node of `dispatch` at rest, and the leader's view of 1,100 workers and 147 nodes with their connections.
constexpr std::size_t dispatchBytes = 18 * mebibyte;
constexpr std::size_t fleetBytes = 12 * mebibyte;
//! A node of `serve`, and its share of 1,400 workers.
constexpr std::size_t serveBytes = 30 * mebibyte;
constexpr std::size_t otherDescriptors = 200; //!< files, the store, other nodes and the advice service

std::size_t sumOf(const std::vector<budget::Part>& parts)
{
    return std::accumulate(parts.begin(), parts.end(), std::size_t(0),
        [](std::size_t sum, const budget::Part& it) { return sum + it.bytes; });
}

budget::VmSize vmOf(std::size_t memoryMb, std::size_t descriptors)
{
    return { memoryMb * mebibyte, descriptors };
}

} // namespace

//! Guards against limits of which each fits the smallest VM, but not all of them together beside what a leader needs.
BOOST_AUTO_TEST_CASE(allPartsOfADispatchingLeaderFitTheSmallestVm)
{
    const auto budget = budget::dispatchBudgetFor(vmOf(smallestVmMb, smallestVmDescriptors));
    for (const budget::Part& it : budget::partsOf(budget))
        BOOST_TEST_MESSAGE(it.name << ": " << double(it.bytes) / mebibyte << " MB");
    const std::size_t parts = sumOf(budget::partsOf(budget));
    BOOST_TEST(dispatchBytes + fleetBytes + scheduling::maxJobBytes + parts <= smallestVmMb * mebibyte);
}

BOOST_AUTO_TEST_CASE(allPartsOfAServingNodeFitTheSmallestVm)
{
    for (const bool hasTls : { false, true }) {
        const auto budget = budget::serveBudgetFor(vmOf(smallestVmMb, smallestVmDescriptors), hasTls);
        for (const budget::Part& it : budget::partsOf(budget))
            BOOST_TEST_MESSAGE(it.name << ": " << double(it.bytes) / mebibyte << " MB");
        BOOST_TEST(serveBytes + sumOf(budget::partsOf(budget)) <= smallestVmMb * mebibyte);
    }
}

//! Guards against limits that leave a leader without descriptors for its workers, or other nodes without connections.
BOOST_AUTO_TEST_CASE(descriptorsAreLeftForWorkers)
{
    for (const auto& vm : { vmOf(120, 3075), vmOf(160, 4100), vmOf(260, 4100), vmOf(512, 8192) }) {
        const auto it = budget::dispatchBudgetFor(vm);
        const std::size_t accepted = it.callers.connections + it.inner.connections + it.readiness.connections;
        BOOST_TEST(accepted + otherDescriptors <= vm.descriptors / 2);
        BOOST_TEST(it.inner.connections >= 2 * 147U); // nodes of the largest fleet
        BOOST_TEST(it.callers.connections >= 190U);
    }
}

//! Guards against a share that is below what one request of legal size needs.
BOOST_AUTO_TEST_CASE(oneRequestOfLegalSizeFits)
{
    for (const std::size_t memoryMb : { 64, 120, 160, 512, 4096 }) {
        const auto serve = budget::serveBudgetFor(vmOf(memoryMb, 4096), false);
        BOOST_TEST(serve.inner.unfinishedBytes >= http::bufferBytesFor(serve.inner.headBytes, serve.maxInnerBodyBytes));
        BOOST_TEST(serve.maxInnerBodyBytes >= mebibyte);
    }
}

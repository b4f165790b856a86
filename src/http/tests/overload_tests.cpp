#include "http/internal/overloadpolicy.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using http::ConnectionView;
using Phase = ConnectionView::Phase;

namespace {

constexpr core::TimePoint now { std::chrono::seconds(100) };

struct Fixture {
    Fixture() { limits.unfinishedBytes = limits.servedBytes = 1000; }

    void add(Phase phase, std::size_t bytes, int ageMs, bool hasServed = false)
    {
        views.push_back({ views.size(), phase, bytes, now - std::chrono::milliseconds(ageMs), hasServed });
    }
    std::vector<std::size_t> relieved() const
    {
        std::vector<std::size_t> result;
        for (const auto& it : http::OverloadPolicy(limits).relieve(views, now))
            result.push_back(it.index);
        return result;
    }
    std::optional<std::size_t> room() const { return http::OverloadPolicy(limits).makeRoom(views, now); }

    http::ConnectionLimits limits;
    std::vector<ConnectionView> views;
};

using Indexes = std::vector<std::size_t>;

} // namespace

//! Guards against a small request that is closed because others hold the memory.
BOOST_FIXTURE_TEST_CASE(theLargestUnfinishedRequestsAreClosedAndOfEqualOnesTheOldest, Fixture)
{
    add(Phase::Receiving, 10, 9000);
    add(Phase::Receiving, 400, 1);
    add(Phase::Receiving, 400, 2);
    add(Phase::Receiving, 300, 3);
    BOOST_TEST((relieved() == Indexes { 2 }));
    views[0].heldBytes = 600;
    BOOST_TEST((relieved() == Indexes { 0, 2 }));
}

//! Guards against a request that was accepted and whose connection is then closed, so that its caller does not know.
BOOST_FIXTURE_TEST_CASE(aRequestInProgressIsNeverClosed, Fixture)
{
    add(Phase::Serving, 5000, 9000);
    add(Phase::Sending, 5000, 10);
    BOOST_TEST(relieved().empty());
    BOOST_TEST(!room());
    add(Phase::Sending, 100, 1000);
    BOOST_TEST((relieved() == Indexes { 2 }));
    BOOST_TEST((room() == 2U));
}

//! Guards against a limit that refuses a request of legal size in calm.
BOOST_FIXTURE_TEST_CASE(aSingleRequestIsServedWhateverItsSize, Fixture)
{
    add(Phase::Receiving, 2000, 1);
    BOOST_TEST(relieved().empty());
    const http::OverloadPolicy policy(limits);
    BOOST_TEST(policy.admits(2000, 0));
    BOOST_TEST(policy.admits(500, 500));
    BOOST_TEST(!policy.admits(501, 500));
}

BOOST_FIXTURE_TEST_CASE(nothingIsClosedBelowTheLimits, Fixture)
{
    add(Phase::Receiving, 1000, 99000);
    add(Phase::Sending, 1000, 99000);
    BOOST_TEST(relieved().empty());
    BOOST_TEST(!http::OverloadPolicy(limits).isUnderPressure(1000, 1000));
    BOOST_TEST(http::OverloadPolicy(limits).isUnderPressure(1001, 0));
    BOOST_TEST(http::OverloadPolicy(limits).isUnderPressure(0, 1001));
}

BOOST_FIXTURE_TEST_CASE(aConnectionThatNeverSentARequestGivesRoomFirst, Fixture)
{
    add(Phase::Idle, 0, 5000, true);
    add(Phase::Receiving, 10, 7000);
    BOOST_TEST((room() == 1U));
    add(Phase::Idle, 0, 2000);
    add(Phase::Idle, 0, 1000);
    BOOST_TEST((room() == 2U));
}

//! Guards against a crowd that connects all the time, sends one byte each, and so keeps out callers whose request has
//! not been read yet.
BOOST_FIXTURE_TEST_CASE(aConnectionThatWasJustAcceptedDoesNotGiveRoomFirst, Fixture)
{
    add(Phase::Receiving, 1, 7000);
    add(Phase::Idle, 0, 0);
    BOOST_TEST((room() == 0U));
    views[1].since = now - limits.graceTime;
    BOOST_TEST((room() == 1U));
}

//! Guards against an HTTP/2 connection whose unfinished bodies are never closed, as another of its requests is in
//! service.
BOOST_FIXTURE_TEST_CASE(connectionsWithRequestsInProgressAreClosedLastAndOnlyForTheirUnfinishedOnes, Fixture)
{
    add(Phase::Serving, 5000, 10);
    views[0].unfinishedBytes = 900;
    add(Phase::Receiving, 400, 20);
    add(Phase::Receiving, 300, 30);
    BOOST_TEST((relieved() == Indexes { 1, 0 })); // one of those that receive is kept
    views[0].unfinishedBytes = 500;
    BOOST_TEST((relieved() == Indexes { 1 }));
    views[0].unfinishedBytes = 0;
    BOOST_TEST(relieved().empty());
}

//! Guards against a share that is exceeded by the buffers of connections.
BOOST_AUTO_TEST_CASE(connectionsKeepToTheirShare)
{
    using http::ListenerKind;
    for (const auto kind : { ListenerKind::Callers, ListenerKind::CallersWithTls, ListenerKind::Nodes }) {
        const std::size_t share = std::size_t(8) << 20;
        const auto it = http::connectionLimitsFor({ kind, share, 1000, 2000, 10000 });
        BOOST_TEST(it.connections * http::bytesOfConnection(kind) <= share);
        BOOST_TEST((it.connections + 1) * http::bytesOfConnection(kind) > share);
        BOOST_TEST(http::connectionLimitsFor({ kind, share, 1000, 2000, 70 }).connections == 70U);
    }
}

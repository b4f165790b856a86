#define BOOST_TEST_MODULE once
#include "once/claimcodec.h"
#include "once/claimtable.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::once;
using namespace std::chrono_literals;

namespace {

const RequestKey key { core::TeamId("dealers"), core::IdempotencyKey("fit-77") };
const ClaimId claimId { "n1/7" };
const core::TimePoint start { 1h };
constexpr core::WallTime wall { 1'000'000 };
const StoredAnswer answer { 200, "text/plain", "fits", true };

} // namespace

BOOST_AUTO_TEST_CASE(aKeyIsGrantedOnceAndThenReplayed)
{
    ClaimTable table { ClaimTimes {} };
    BOOST_TEST((table.claim(key, 1, claimId, start, wall).result == ClaimResult::Granted));
    BOOST_TEST((table.claim(key, 1, claimId, start, wall).result == ClaimResult::InProgress));
    BOOST_TEST((table.claim(key, 2, claimId, start, wall).result == ClaimResult::Mismatch));
    BOOST_TEST(table.finish(key, claimId, answer));
    const auto again = table.claim(key, 1, claimId, start, wall);
    BOOST_TEST((again.result == ClaimResult::Replayed));
    BOOST_TEST((again.answer == answer));
    BOOST_TEST(!table.finish(key, claimId, answer));
}

BOOST_AUTO_TEST_CASE(aClaimWithoutAnAnswerIsNeverGrantedAgain)
{
    ClaimTable table { ClaimTimes {} };
    table.claim(key, 1, claimId, start, wall);
    BOOST_TEST((table.claim(key, 1, claimId, start + 36s, wall).result == ClaimResult::Unknown));
}

BOOST_AUTO_TEST_CASE(aRequestThatCertainlyDidNotRunMayBeClaimedAgain)
{
    ClaimTable table { ClaimTimes {} };
    table.claim(key, 1, claimId, start, wall);
    BOOST_TEST(table.abandon(key, claimId));
    BOOST_TEST((table.claim(key, 1, claimId, start, wall).result == ClaimResult::Granted));
}

BOOST_AUTO_TEST_CASE(onlyTheClaimantEndsAClaim)
{
    // A node abandons its own claim if the grant arrives too late; that must not end the claim of another node.
    ClaimTable table { ClaimTimes {} };
    table.claim(key, 1, claimId, start, wall);
    BOOST_TEST(!table.abandon(key, ClaimId("n2/9")));
    BOOST_TEST(!table.finish(key, ClaimId("n2/9"), answer));
    BOOST_TEST((table.claim(key, 1, ClaimId("n3/1"), start, wall).result == ClaimResult::InProgress));
}

BOOST_AUTO_TEST_CASE(aNewOwnerDoesNotGrantAClaimThatAFormerOneGranted)
{
    ClaimTable former { ClaimTimes {} };
    former.claim(key, 1, claimId, start, wall);
    const Json::Value value = encodeSnapshot(*former.snapshot(key));
    ClaimTable table { ClaimTimes {} };
    table.recover(decodeSnapshot(codec::ObjectReader(value)), start, 1s);
    BOOST_TEST((table.claim(key, 1, claimId, start, wall).result == ClaimResult::InProgress));
    BOOST_TEST((table.claim(key, 1, claimId, start + 35s, wall).result == ClaimResult::Unknown));
    BOOST_TEST(table.finish(key, claimId, answer));
}

BOOST_AUTO_TEST_CASE(claimsAreRemovedAfterTheRetention)
{
    ClaimTable table { ClaimTimes {} };
    table.claim(key, 1, claimId, start, wall);
    table.finish(key, claimId, answer);
    BOOST_TEST(table.removeExpired(start + 10min).empty());
    BOOST_TEST(table.removeExpired(start + 10min + 1s).size() == 1U);
    BOOST_TEST(table.size() == 0U);
}

namespace {

RequestKey keyOf(int n)
{
    return { core::TeamId("dealers"), core::IdempotencyKey("key-" + std::to_string(n)) };
}

} // namespace

//! Guards against callers that leave an answer of 60 KB under a new key each time, for ten minutes.
BOOST_AUTO_TEST_CASE(theLargestStoredBodiesAreDroppedWhileClaimsAndStatesStay)
{
    constexpr std::size_t maxBytes = 1'000'000;
    ClaimTable table { ClaimTimes {}, maxBytes };
    const StoredAnswer longAnswer { 200, "text/plain", std::string(60'000, 'x'), true };
    table.claim(key, 1, claimId, start, wall);
    table.finish(key, claimId, answer);
    std::size_t dropped = 0;
    for (int n = 0; n < 100; ++n) {
        BOOST_TEST((table.claim(keyOf(n), 1, claimId, start, wall).result == ClaimResult::Granted));
        table.finish(keyOf(n), claimId, longAnswer);
        for (const RequestKey& it : table.dropBodies()) {
            ++dropped;
            BOOST_TEST(!table.snapshot(it)->answer.isBodyStored);
        }
        BOOST_TEST(table.heldBytes() <= maxBytes);
    }
    BOOST_TEST(dropped > 80U);
    BOOST_TEST((table.claim(key, 1, claimId, start, wall).answer == answer)); // a short one stays
    for (int n = 0; n < 100; ++n)
        BOOST_TEST((table.claim(keyOf(n), 1, claimId, start, wall).result == ClaimResult::Replayed));
    table.removeExpired(start + 20min);
    BOOST_TEST(table.heldBytes() == 0U);
}

//! Guards against claims without end, and against a key that is forgotten so that its request runs twice.
BOOST_AUTO_TEST_CASE(newKeysAreRefusedWhileClaimsTakeAllMemory)
{
    constexpr std::size_t maxBytes = 100'000;
    ClaimTable table { ClaimTimes {}, maxBytes };
    int granted = 0;
    while (table.claim(keyOf(granted), 1, claimId, start, wall).result == ClaimResult::Granted)
        ++granted;
    BOOST_TEST(granted > 10);
    BOOST_TEST(table.heldBytes() <= maxBytes);
    BOOST_TEST((table.claim(keyOf(granted), 1, claimId, start, wall).result == ClaimResult::NotPersisted));
    BOOST_TEST((table.claim(keyOf(0), 1, claimId, start, wall).result == ClaimResult::InProgress));
    table.abandon(keyOf(0), claimId);
    BOOST_TEST((table.claim(keyOf(0), 1, claimId, start, wall).result == ClaimResult::Granted));
    table.removeExpired(start + 20min);
    BOOST_TEST((table.claim(keyOf(granted), 1, claimId, start, wall).result == ClaimResult::Granted));
}

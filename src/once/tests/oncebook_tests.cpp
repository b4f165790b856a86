#define BOOST_TEST_MODULE once
#include "once/oncebook.h"
#include "once/oncecodec.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::once;
using namespace std::chrono_literals;

namespace {

const OnceKey key { core::TeamId("dealers"), core::IdempotencyKey("fit-77") };
const ClaimId claimId { "n1/7" };
const core::TimePoint start { 1h };
constexpr core::WallTime wall { 1'000'000 };
const StoredAnswer answer { 200, "text/plain", "fits", true };

} // namespace

BOOST_AUTO_TEST_CASE(aKeyIsGrantedOnceAndThenReplayed)
{
    OnceBook book { OnceTimes {} };
    BOOST_TEST((book.claim(key, 1, claimId, start, wall).result == ClaimResult::Granted));
    BOOST_TEST((book.claim(key, 1, claimId, start, wall).result == ClaimResult::InProgress));
    BOOST_TEST((book.claim(key, 2, claimId, start, wall).result == ClaimResult::Mismatch));
    BOOST_TEST(book.finish(key, claimId, answer));
    const auto again = book.claim(key, 1, claimId, start, wall);
    BOOST_TEST((again.result == ClaimResult::Replayed));
    BOOST_TEST((again.answer == answer));
    BOOST_TEST(!book.finish(key, claimId, answer));
}

BOOST_AUTO_TEST_CASE(aClaimWithoutAnAnswerIsNeverGrantedAgain)
{
    OnceBook book { OnceTimes {} };
    book.claim(key, 1, claimId, start, wall);
    BOOST_TEST((book.claim(key, 1, claimId, start + 36s, wall).result == ClaimResult::Unknown));
}

BOOST_AUTO_TEST_CASE(whatCertainlyDidNotRunMayBeClaimedAgain)
{
    OnceBook book { OnceTimes {} };
    book.claim(key, 1, claimId, start, wall);
    BOOST_TEST(book.abandon(key, claimId));
    BOOST_TEST((book.claim(key, 1, claimId, start, wall).result == ClaimResult::Granted));
}

BOOST_AUTO_TEST_CASE(onlyTheClaimantEndsAClaim)
{
    // A node whose own claim was answered too late gives it back; the claim of another node must stand.
    OnceBook book { OnceTimes {} };
    book.claim(key, 1, claimId, start, wall);
    BOOST_TEST(!book.abandon(key, ClaimId("n2/9")));
    BOOST_TEST(!book.finish(key, ClaimId("n2/9"), answer));
    BOOST_TEST((book.claim(key, 1, ClaimId("n3/1"), start, wall).result == ClaimResult::InProgress));
}

BOOST_AUTO_TEST_CASE(aNewOwnerDoesNotGrantWhatAnEarlierOneGranted)
{
    OnceBook former { OnceTimes {} };
    former.claim(key, 1, claimId, start, wall);
    const Json::Value value = encodeSnapshot(*former.snapshot(key));
    OnceBook book { OnceTimes {} };
    book.recover(decodeSnapshot(codec::ObjectReader(value)), start, 1s);
    BOOST_TEST((book.claim(key, 1, claimId, start, wall).result == ClaimResult::InProgress));
    BOOST_TEST((book.claim(key, 1, claimId, start + 35s, wall).result == ClaimResult::Unknown));
    BOOST_TEST(book.finish(key, claimId, answer));
}

BOOST_AUTO_TEST_CASE(answersAreForgottenAfterTheRetention)
{
    OnceBook book { OnceTimes {} };
    book.claim(key, 1, claimId, start, wall);
    book.finish(key, claimId, answer);
    BOOST_TEST(book.forgetOld(start + 10min).empty());
    BOOST_TEST(book.forgetOld(start + 10min + 1s).size() == 1U);
    BOOST_TEST(book.size() == 0U);
}

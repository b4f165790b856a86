#define BOOST_TEST_MODULE once
#include "once/oncebook.h"
#include "once/oncecodec.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::once;
using namespace std::chrono_literals;

namespace {

const OnceKey key { core::TeamId("dealers"), core::IdempotencyKey("fit-77") };
const core::TimePoint start { 1h };
constexpr core::WallTime wall { 1'000'000 };
const StoredAnswer answer { 200, "text/plain", "fits", true };

} // namespace

BOOST_AUTO_TEST_CASE(aKeyIsGrantedOnceAndThenReplayed)
{
    OnceBook book { OnceTimes {} };
    BOOST_TEST((book.claim(key, 1, start, wall).result == ClaimResult::Granted));
    BOOST_TEST((book.claim(key, 1, start, wall).result == ClaimResult::InProgress));
    BOOST_TEST((book.claim(key, 2, start, wall).result == ClaimResult::Mismatch));
    BOOST_TEST(book.finish(key, answer, start));
    const auto again = book.claim(key, 1, start, wall);
    BOOST_TEST((again.result == ClaimResult::Replayed));
    BOOST_TEST((again.answer == answer));
    BOOST_TEST(!book.finish(key, answer, start));
}

BOOST_AUTO_TEST_CASE(aClaimWithoutAnAnswerIsNeverGrantedAgain)
{
    OnceBook book { OnceTimes {} };
    book.claim(key, 1, start, wall);
    BOOST_TEST((book.claim(key, 1, start + 36s, wall).result == ClaimResult::Unknown));
}

BOOST_AUTO_TEST_CASE(whatCertainlyDidNotRunMayBeClaimedAgain)
{
    OnceBook book { OnceTimes {} };
    book.claim(key, 1, start, wall);
    BOOST_TEST(book.abandon(key, start));
    BOOST_TEST((book.claim(key, 1, start, wall).result == ClaimResult::Granted));
}

BOOST_AUTO_TEST_CASE(aNewOwnerDoesNotGrantWhatAnEarlierOneGranted)
{
    OnceBook former { OnceTimes {} };
    former.claim(key, 1, start, wall);
    const Json::Value value = encodeSnapshot(*former.snapshot(key));
    OnceBook book { OnceTimes {} };
    book.recover(decodeSnapshot(codec::ObjectReader(value)), start, 1s);
    BOOST_TEST((book.claim(key, 1, start, wall).result == ClaimResult::InProgress));
    BOOST_TEST((book.claim(key, 1, start + 35s, wall).result == ClaimResult::Unknown));
    BOOST_TEST(book.finish(key, answer, start));
}

BOOST_AUTO_TEST_CASE(answersAreForgottenAfterTheRetention)
{
    OnceBook book { OnceTimes {} };
    book.claim(key, 1, start, wall);
    book.finish(key, answer, start);
    BOOST_TEST(book.forgetOld(start + 10min).empty());
    BOOST_TEST(book.forgetOld(start + 10min + 1s).size() == 1U);
    BOOST_TEST(book.size() == 0U);
}

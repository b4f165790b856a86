#define BOOST_TEST_MODULE teams
#include "teams/keyring.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::teams;

namespace {

Team teamWith(const std::string& id, const std::vector<std::string>& keys)
{
    Team it;
    it.id = core::TeamId(id);
    for (const std::string& key : keys)
        it.keys.push_back({ digestOf(key), Role::Submitter });
    return it;
}

} // namespace

//! Guards against callers that are served under a key that no team has.
BOOST_AUTO_TEST_CASE(only_the_keys_of_a_team_identify_it)
{
    const KeyRing ring({ teamWith("a", { "first", "second" }), teamWith("b", { "third" }) });
    BOOST_TEST((ring.identify("second") == Identity { core::TeamId("a"), Role::Submitter }));
    BOOST_TEST((ring.identify("third") == Identity { core::TeamId("b"), Role::Submitter }));
    for (const char* unknown : { "", "firs", "firstx", "First", "fourth" })
        BOOST_TEST(!ring.identify(unknown), unknown);
    BOOST_TEST(!ring.identify(KeyDigest("")));
}

//! Guards against a configuration with an empty key, which everybody could show.
BOOST_AUTO_TEST_CASE(an_empty_key_identifies_nobody)
{
    BOOST_TEST(!KeyRing({ teamWith("a", { "" }) }).identify(""));
}

//! Guards against keys that are read from headers of another scheme.
BOOST_AUTO_TEST_CASE(keys_are_read_from_bearer_headers_only)
{
    BOOST_TEST(bearerKey("Bearer abc").value() == "abc");
    BOOST_TEST(bearerKey("Bearer ").value().empty());
    for (const char* other : { "", "abc", "Basic abc", "bearer", "Bearer" })
        BOOST_TEST(!bearerKey(other), other);
}

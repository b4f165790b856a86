#define BOOST_TEST_MODULE configuration
#include "codec/yaml.h"
#include "configuration/configuration.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::configuration;

namespace {

const std::string document = R"(
services:
  - name: lid-orders
    hosts: [lids.example]
    pathPrefix: /lids
    routes:
      - { method: GET, path: /status, repeatable: true, urgency: urgent }
      - { method: POST, path: /fit-checks }
teams:
  - name: dealers
    tokens:
      - { sha256: "b94d27b9934d3e08a52e52d7da7dabfac484efe37a5380ee9088f7ace2efcde9", role: submitter }
presets:
  ordinary:
    shares: { urgent: 30, normal: 30, low: 10 }
  peak:
    shares: { urgent: 50, normal: 20, low: 5 }
    placement: bestFit
)";

struct InvalidDocument {
    const char* text;
    int line;
    int column;
    const char* key;
};

} // namespace

BOOST_AUTO_TEST_CASE(aDocumentIsReadCompletely)
{
    const Configuration it = readConfiguration(document, "c.yaml");
    BOOST_TEST(it.services.size() == 1U);
    BOOST_TEST(it.presets.size() == 2U);
    BOOST_TEST((it.presets.at(core::PresetName("peak")).placement == placement::StrategyKind::BestFit));
    const Preset none = makeTransitionPreset(it);
    BOOST_TEST(none.shares.percent[0] == 30);
    BOOST_TEST(none.shares.percent[1] == 20);
    BOOST_TEST(none.shares.percent[2] == 5);
    BOOST_TEST(!none.mayBorrow);
}

BOOST_AUTO_TEST_CASE(requestsAreMatchedByHostOrPath)
{
    const Configuration it = readConfiguration(document, "c.yaml");
    const auto byHost = match(it, "lids.example", "GET", "/status/7");
    BOOST_REQUIRE(bool(byHost));
    BOOST_TEST(byHost->route.isRepeatable);
    BOOST_TEST((byHost->route.urgency == jobs::Urgency::Urgent));
    const auto byPath = match(it, "other", "POST", "/lids/fit-checks");
    BOOST_REQUIRE(bool(byPath));
    BOOST_TEST(byPath->path == "/fit-checks");
    BOOST_TEST(!byPath->route.isRepeatable);
    BOOST_TEST(!match(it, "other", "GET", "/lidsx"));
    BOOST_TEST(!match(it, "lids.example", "GET", "/unknown")->route.isRepeatable);
}

BOOST_AUTO_TEST_CASE(tokensAreIdentifiedByTheirHash)
{
    const Configuration it = readConfiguration(document, "c.yaml");
    const auto identity = it.keys.identify("hello world");
    BOOST_REQUIRE(bool(identity));
    BOOST_TEST(identity->team.value() == "dealers");
    BOOST_TEST(!it.keys.identify("hello"));
}

BOOST_AUTO_TEST_CASE(errorsNameLineColumnAndKey)
{
    const std::vector<InvalidDocument> all {
        { "presets: {a: {shares: {urgent: 101, normal: 0, low: 0}}}", 1, 32, "presets.a.shares.urgent" },
        { "presets:\n  a:\n    shares: {urgent: 60, normal: 60, low: 0}", 3, 22, "presets.a.shares.urgent" },
        { "presets:\n  a:\n    shape: x", 3, 5, "presets.a.shares" },
        { "services: 7", 1, 11, "services" },
        { "presets: [", 1, 1, "" }, // the library reports no position when the document ends prematurely
        { "presets: {}", 1, 10, "presets" },
        { "presets: {none: {shares: {urgent: 1, normal: 1, low: 1}}}", 1, 17, "presets.none" },
        { "extra: 1\npresets: {a: {shares: {urgent: 1, normal: 1, low: 1}}}", 1, 1, "extra" },
    };
    for (const InvalidDocument& it : all) {
        try {
            readConfiguration(it.text, "c.yaml");
            BOOST_ERROR(std::string("accepted: ") + it.text);
        } catch (const codec::YamlError& error) {
            BOOST_TEST(error.line() == it.line, it.text << " -> " << error.what());
            BOOST_TEST(error.column() == it.column, it.text << " -> " << error.what());
            BOOST_TEST(std::string(error.what()).find(it.key) != std::string::npos, error.what());
        }
    }
}

#define BOOST_TEST_MODULE settings
#include "codec/yaml.h"
#include "settings/nodesettings.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;

namespace {

//! Lines of a valid file; each test case replaces one of them.
const std::vector<std::string> validLines {
    "node: n1",
    "failureDomain: kiln-shed",
    "callers: { address: 127.0.0.1:8080 }",
    "inner: 127.0.0.1:8081",
    "platform: 127.0.0.1:9000",
    "innerSecret: 0123456789abcdef",
    "partitions: 8",
    "membership: { leaseMs: 2000, renewMs: 500 }",
};

std::string fileWith(std::size_t line, const std::string& text)
{
    std::string all;
    for (std::size_t n = 0; n < validLines.size(); ++n)
        all += (n == line ? text : validLines[n]) + "\n";
    return all;
}

struct InvalidLine {
    std::size_t line; //!< line of the file that is replaced, counted from 0
    std::string text;
    std::string key; //!< key that the error has to name
};

} // namespace

BOOST_AUTO_TEST_CASE(aValidFileIsRead)
{
    const auto it = settings::readNodeSettings(fileWith(99, ""), "node.yaml");
    BOOST_TEST(it.node.value() == "n1");
    BOOST_TEST(it.inner.port == 8081);
}

BOOST_AUTO_TEST_CASE(errorsNameTheLineAndKey)
{
    const std::vector<InvalidLine> all {
        { 0, "node: 'n 1'", "node" },
        { 0, "node: ''", "node" },
        { 0, "node: [n1]", "node" },
        { 0, "nod: n1", "node" },
        { 1, "failureDomain: a/b", "failureDomain" },
        { 2, "callers: 127.0.0.1:8080", "callers" },
        { 2, "callers: { address: localhost:8080 }", "callers.address" },
        { 2, "callers: { address: 127.0.0.1 }", "callers.address" },
        { 2, "callers: { address: 127.0.0.1:99999 }", "callers.address" },
        { 2, "callers: { address: 127.0.0.1:80, certificate: a.pem }", "callers.key" },
        { 2, "callers: { address: 127.0.0.1:80, tls: true }", "callers.tls" },
        { 3, "inner: :8081", "inner" },
        { 4, "platform: 9000", "platform" },
        { 5, "innerSecret: short", "innerSecret" },
        { 6, "partitions: 0", "partitions" },
        { 6, "partitions: many", "partitions" },
        { 6, "partitions: 1.5", "partitions" },
        { 7, "membership: { leaseMs: 600, renewMs: 500 }", "membership.leaseMs" },
        { 7, "membership: { lease: 600 }", "membership.lease" },
        { 7, "membership: [1]", "membership" },
        { 7, "log: { groupMs: -1 }", "log.groupMs" },
        { 7, "administerFromLoopback: perhaps", "administerFromLoopback" },
        { 7, "node: n2", "node" },
        { 7, "workers: { heartbeatMs: 1 }", "workers.heartbeatMs" },
    };
    for (const InvalidLine& it : all) {
        try {
            settings::readNodeSettings(fileWith(it.line, it.text), "node.yaml");
            BOOST_ERROR("accepted although invalid: " + it.text);
        } catch (const codec::YamlError& error) {
            const bool isMissing = std::string(error.what()).find("missing") != std::string::npos;
            BOOST_TEST((isMissing || error.line() == int(it.line) + 1), it.text << " -> " << error.what());
            BOOST_TEST(std::string(error.what()).find(it.key) != std::string::npos, it.text << " -> " << error.what());
        }
    }
}

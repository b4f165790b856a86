#define BOOST_TEST_MODULE settings
#include "codec/yaml.h"
#include "settings/nodesettings.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;

namespace {

//! A right file as lines; a test replaces one of them.
const std::vector<std::string> rightLines {
    "node: n1",
    "failureDomain: kiln-shed",
    "callers: { address: 127.0.0.1:8080 }",
    "inner: 127.0.0.1:8081",
    "platform: 127.0.0.1:9000",
    "innerSecret: 0123456789abcdef",
    "partitions: 8",
    "membership: { leaseMs: 2000, renewMs: 500 }",
};

std::string with(std::size_t line, const std::string& text)
{
    std::string all;
    for (std::size_t n = 0; n < rightLines.size(); ++n)
        all += (n == line ? text : rightLines[n]) + "\n";
    return all;
}

struct Wrong {
    std::size_t line; //!< of the file, from 0
    std::string text;
    std::string key;
};

} // namespace

BOOST_AUTO_TEST_CASE(aRightFileIsRead)
{
    const auto it = settings::readNodeSettings(with(99, ""), "node.yaml");
    BOOST_TEST(it.node.value() == "n1");
    BOOST_TEST(it.inner.port == 8081);
}

BOOST_AUTO_TEST_CASE(twentyWrongFilesNameThePlace)
{
    const std::vector<Wrong> all {
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
    for (const Wrong& it : all) {
        try {
            settings::readNodeSettings(with(it.line, it.text), "node.yaml");
            BOOST_ERROR("taken: " + it.text);
        } catch (const codec::YamlError& error) {
            const bool isMissing = std::string(error.what()).find("missing") != std::string::npos;
            BOOST_TEST((isMissing || error.line() == int(it.line) + 1), it.text << " -> " << error.what());
            BOOST_TEST(std::string(error.what()).find(it.key) != std::string::npos, it.text << " -> " << error.what());
        }
    }
}

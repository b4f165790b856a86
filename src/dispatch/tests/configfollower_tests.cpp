//! The configuration of a node that the store rejects, or that has just started.

#include "codec/json.h"
#include "dispatch/configfollower.h"
#include "runtime/manualloop.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::dispatch;

namespace {

core::Duration ms(std::int64_t n)
{
    return std::chrono::milliseconds(n);
}

//! A source whose documents are the decimal numbers of their versions.
class FakeSource : public workflow::IConfigSource {
public:
    void start(workflow::ConfigSourceHooks hooks) override { m_hooks = std::move(hooks); }
    workflow::QueueConfigPtr decode(const std::string& document) const override
    {
        if (document.find_first_not_of("0123456789") != std::string::npos)
            return nullptr;
        workflow::QueueConfig config;
        config.version = core::ConfigVersion(std::stoull(document));
        config.document = document;
        return std::make_shared<const workflow::QueueConfig>(config);
    }
    //! The source answers, and its newest version is this one.
    void show(std::uint64_t version, core::TimePoint at)
    {
        m_hooks.availability(true);
        m_hooks.changed(decode(std::to_string(version)));
        m_hooks.confirmed(at);
    }
    void reject() { m_hooks.availability(false); }

private:
    workflow::ConfigSourceHooks m_hooks;
};

//! Nodes that reach each other; a dead or frozen node never answers.
class Nodes : public http::IHttpClient {
public:
    struct Node {
        std::shared_ptr<FakeSource> source;
        ConfigFollowerPtr follower;
        bool isSilent = false;
        std::optional<std::string> oddBody; //!< answers each question with this
        std::size_t questions = 0;
        std::vector<std::uint64_t> adopted;
    };

    explicit Nodes(std::size_t count)
        : loop(std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>()))
        , m_nodes(count)
    {
    }
    void start()
    {
        std::vector<core::HostPort> addresses;
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            addresses.push_back(addressOf(n));
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            restart(n);
            m_nodes[n].follower->address().send(KnownNodes { addresses });
        }
        advance(1);
    }
    void restart(std::size_t n)
    {
        Node& it = m_nodes[n];
        it.source = std::make_shared<FakeSource>();
        it.adopted.clear();
        it.follower = ConfigFollower::create(loop,
            { std::shared_ptr<Nodes>(std::shared_ptr<Nodes>(), this), it.source, addressOf(n),
                [&it](const workflow::QueueConfigPtr& config) { it.adopted.push_back(config->version.value()); } });
        it.follower->start();
    }
    void send(http::ClientRequest request, http::ClientCallback callback) override
    {
        Node& it = m_nodes[request.to.port];
        ++it.questions;
        if (it.isSilent) {
            loop->callAfter(request.timeout, [callback] {
                callback(core::Failure { http::ClientError { http::ClientError::Code::TimedOut, true, "timeout" } });
            });
            return;
        }
        const auto answer = [callback](std::string body) {
            http::ClientResponse response;
            response.status = 200;
            response.body = std::move(body);
            callback(std::move(response));
        };
        if (it.oddBody) {
            answer(*it.oddBody);
            return;
        }
        it.follower->address().send(ConfigRequest { protocol::decodeConfigQuery(request.body),
            runtime::Reply<protocol::ConfigAnswer>(
                loop, [answer](const protocol::ConfigAnswer& it) { answer(protocol::encodeConfigAnswer(it)); }) });
    }
    Node& operator[](std::size_t n) { return m_nodes[n]; }
    std::uint64_t versionOf(std::size_t n)
    {
        const auto& config = m_nodes[n].follower->config();
        return config ? config->version.value() : 0;
    }
    void setLeader(std::size_t leader)
    {
        lead::LeaderRow row;
        row.address = addressOf(leader);
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            m_nodes[n].follower->address().send(LeaderUpdate { row, n == leader });
        advance(1);
    }
    void advance(std::int64_t n) { loop->advance(ms(n)); }

    runtime::ManualLoopPtr loop;

private:
    static core::HostPort addressOf(std::size_t n) { return { "10.0.0.1", static_cast<std::uint16_t>(n) }; }
    std::vector<Node> m_nodes;
};

} // namespace

BOOST_AUTO_TEST_SUITE(config_follower)

//! Guards against a withdrawn key that works on where the store rejects the node.
BOOST_AUTO_TEST_CASE(a_rejected_node_learns_the_newest_version_from_others)
{
    Nodes nodes(4);
    nodes.start();
    for (std::size_t n = 0; n < 4; ++n)
        nodes[n].source->show(3, nodes.loop->now());
    nodes.setLeader(0);
    nodes[1].source->reject();
    nodes[2].source->reject();
    for (const std::size_t n : { 0, 3 })
        nodes[n].source->show(7, nodes.loop->now());
    nodes.advance(1000);
    BOOST_TEST(nodes.versionOf(1) == 7u);
    BOOST_TEST(nodes.versionOf(2) == 7u);
    BOOST_TEST((nodes[1].adopted == std::vector<std::uint64_t> { 3, 7 }));
}

//! Guards against a rejected node that learns nothing because the leader is rejected, too, or does not answer.
BOOST_AUTO_TEST_CASE(other_nodes_are_asked_beside_the_leader)
{
    Nodes nodes(5);
    nodes.start();
    for (std::size_t n = 0; n < 5; ++n)
        nodes[n].source->show(3, nodes.loop->now());
    nodes.setLeader(0);
    for (const std::size_t n : { 0, 1, 2 })
        nodes[n].source->reject();
    nodes[0].isSilent = true;
    nodes[3].isSilent = true;
    nodes[4].source->show(7, nodes.loop->now());
    nodes.advance(5000);
    BOOST_TEST(nodes.versionOf(1) == 7u);
    BOOST_TEST(nodes.versionOf(2) == 7u);
}

//! Guards against a restart that brings a withdrawn key back.
BOOST_AUTO_TEST_CASE(a_restarted_node_starts_with_the_newest_version_or_none)
{
    Nodes nodes(3);
    nodes.start();
    for (std::size_t n = 0; n < 3; ++n)
        nodes[n].source->show(7, nodes.loop->now());
    nodes.restart(1);
    nodes.advance(2000);
    BOOST_TEST(nodes.versionOf(1) == 0u); // it knows no other node yet
    nodes.setLeader(2);
    nodes.advance(1000);
    BOOST_TEST(nodes.versionOf(1) == 7u);
    nodes[1].source->show(3, nodes.loop->now()); // a late answer of the store
    BOOST_TEST(nodes.versionOf(1) == 7u);
    BOOST_TEST((nodes[1].adopted == std::vector<std::uint64_t> { 7 }));
}

//! Guards against questions at rest, whose number would grow with the nodes.
BOOST_AUTO_TEST_CASE(nobody_is_asked_while_the_source_answers)
{
    Nodes nodes(3);
    nodes.start();
    nodes.setLeader(0);
    for (std::size_t n = 0; n < 3; ++n) {
        nodes[n].source->show(3, nodes.loop->now());
        nodes[n].questions = 0;
    }
    nodes.advance(10'000);
    BOOST_TEST(nodes[0].questions + nodes[1].questions + nodes[2].questions == 0u);
}

//! Guards against keys that count as valid though the configuration was not confirmed by anyone.
BOOST_AUTO_TEST_CASE(a_confirmation_is_as_old_as_that_of_the_node_which_gives_it)
{
    Nodes nodes(2);
    nodes.start();
    nodes.setLeader(0);
    const core::TimePoint confirmedAt = nodes.loop->now();
    for (std::size_t n = 0; n < 2; ++n) {
        nodes[n].source->show(3, confirmedAt);
        nodes[n].source->reject();
    }
    nodes.advance(5000);
    BOOST_TEST((nodes[1].follower->confirmedAt() <= confirmedAt));
    nodes[0].source->show(3, nodes.loop->now());
    const core::TimePoint before = nodes.loop->now();
    nodes.advance(1000);
    BOOST_TEST((nodes[1].follower->confirmedAt() >= before - ms(2)));
}

//! Guards against a malformed answer that ends the node or replaces its configuration.
BOOST_AUTO_TEST_CASE(odd_answers_change_nothing)
{
    Nodes nodes(2);
    nodes.start();
    nodes.setLeader(0);
    nodes[1].source->show(3, nodes.loop->now());
    nodes[1].source->reject();
    for (const char* odd : { "", "7", "[]", R"({"version":-1})", R"({"version":9,"document":"no number"})",
             R"({"version":9,"document":7})", R"({"version":1,"document":"1"})" }) {
        nodes[0].oddBody = odd;
        nodes.advance(900);
        BOOST_TEST(nodes.versionOf(1) == 3u, odd);
    }
}

//! Guards against a configuration that nodes can't get from each other any more when its source has been silent for
//! more than a day.
BOOST_AUTO_TEST_CASE(an_answer_that_was_confirmed_long_ago_is_readable)
{
    protocol::ConfigAnswer answer;
    answer.version = core::ConfigVersion(2);
    answer.document = "{}";
    answer.confirmedAge = std::chrono::hours(25);
    const protocol::ConfigAnswer decoded = protocol::decodeConfigAnswer(protocol::encodeConfigAnswer(answer));
    BOOST_TEST(decoded.document == "{}");
    BOOST_TEST(!decoded.confirmedAge.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

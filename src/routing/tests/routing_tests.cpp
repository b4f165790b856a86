#define BOOST_TEST_MODULE routing
#include "routing/internal/requestqueue.h"
#include "routing/internal/runnerpool.h"
#include "routing/internal/strategizer.h"
#include "routing/irouter.h"
#include "runtime/manualloop.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace sardinerun;
using namespace sardinerun::routing;
using namespace std::chrono_literals;

namespace {

//! Keeps what is sent; the test answers.
class FakeClient : public http::IHttpClient {
public:
    struct Sent {
        http::ClientRequest request;
        http::ClientCallback callback;
    };
    void send(http::ClientRequest request, http::ClientCallback callback) override
    {
        if (request.target != "/runner-state")
            sent.push_back({ std::move(request), std::move(callback) });
    }
    void answer(int status, const std::string& body, http::Headers headers = {})
    {
        Sent it = std::move(sent.front());
        sent.pop_front();
        it.callback(http::Response { status, std::move(headers), body });
    }
    //! The beginning of a long answer.
    void begin(const http::IBodySourcePtr& stream)
    {
        Sent it = std::move(sent.front());
        sent.pop_front();
        it.callback(http::Response { 200, {}, "begin", http::BodyStream { stream, std::nullopt } });
    }
    void breakOff(bool maybeSent)
    {
        Sent it = std::move(sent.front());
        sent.pop_front();
        const auto code = maybeSent ? http::ClientError::Code::Broken : http::ClientError::Code::NotConnected;
        it.callback(core::Failure { http::ClientError { code, maybeSent, "" } });
    }
    std::deque<Sent> sent;
};

//! A body whose parts the test gives.
class FakeRest : public http::IBodySource {
public:
    void pull(PartCallback it) override { taken = std::move(it); }
    void cancel() override { isCancelled = true; }
    PartCallback taken;
    bool isCancelled = false;
};

class FakeOnce : public IClaimClient {
public:
    void claim(const once::RequestKey& key, std::uint64_t, Claimed callback) override
    {
        claims.push_back(key);
        callback(result, kept);
    }
    void finish(const once::RequestKey&, once::StoredAnswer answer) override { finished.push_back(answer); }
    void abandon(const once::RequestKey&) override { ++abandoned; }
    void leaveOpen(const once::RequestKey&) override { ++leftOpen; }
    once::ClaimResult result = once::ClaimResult::Granted;
    once::StoredAnswer kept;
    std::vector<once::RequestKey> claims;
    std::vector<once::StoredAnswer> finished;
    int abandoned = 0;
    int leftOpen = 0;
};

struct Fixture {
    Fixture()
    {
        RouterHooks hooks;
        hooks.shareIdle = [this](core::PartitionId it) { idleShares.insert(it); };
        router = createRouter(loop, client, once, telemetry::Metrics::create(), hooks, 1 << 20);
        news.partitionCount = 2;
        news.shares = { core::PartitionId(0), core::PartitionId(1) };
        news.sharesUntil = loop->now() + 1h;
        news.acting.shares = { { 30, 30, 10 } };
        news.actingUntil = loop->now() + 1h;
        for (int n = 0; n < 3; ++n) {
            services::VmInfo vm;
            vm.id = core::VmId("r" + std::to_string(n));
            vm.role = services::VmRole::Runner;
            vm.service = core::ServiceId("labdesk");
            vm.slots = core::Slots(2);
            vm.address = { "127.0.0.1", static_cast<std::uint16_t>(n + 1) };
            news.runners.push_back(vm);
        }
        tell();
    }

    void tell()
    {
        router->routerAddress().send(news);
        loop->runReady();
    }

    std::shared_ptr<http::Response> ask(
        bool isRepeatable, const std::string& key = "", jobs::Urgency urgency = jobs::Urgency::Normal)
    {
        auto answer = std::make_shared<http::Response>();
        answer->status = 0;
        ServiceRequest request;
        request.request.method = "POST";
        if (!key.empty())
            request.request.headers.push_back({ "idempotency-key", key });
        request.responder = http::Responder([answer](http::Response it) { *answer = std::move(it); });
        request.service.id = core::ServiceId("labdesk");
        request.route.isRepeatable = isRepeatable;
        request.route.urgency = urgency;
        request.path = "/orders";
        request.trace = telemetry::TraceContext::start(false);
        router->routerAddress().send(std::move(request));
        loop->runReady();
        return answer;
    }

    bool says(const http::Response& response, const std::string& run)
    {
        return response.body.find("\"run\":\"" + run + "\"") != std::string::npos;
    }

    runtime::ManualLoopPtr loop = std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>());
    std::shared_ptr<FakeClient> client = std::make_shared<FakeClient>();
    std::shared_ptr<FakeOnce> once = std::make_shared<FakeOnce>();
    std::set<core::PartitionId> idleShares;
    RouterUpdate news;
    IRouterPtr router;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aRequestIsAnsweredByARunner, Fixture)
{
    const auto answer = ask(true);
    BOOST_REQUIRE(client->sent.size() == 1U);
    client->answer(200, "ready");
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(answer->body == "ready");
}

BOOST_FIXTURE_TEST_CASE(aRepeatableRequestIsTriedAtAnotherRunner, Fixture)
{
    const auto answer = ask(true);
    const auto first = client->sent.front().request.to;
    client->breakOff(true);
    BOOST_REQUIRE(client->sent.size() == 1U);
    BOOST_TEST((client->sent.front().request.to != first));
    client->answer(200, "ready");
    BOOST_TEST(answer->status == 200);
}

BOOST_FIXTURE_TEST_CASE(aRequestThatMayNotBeRepeatedIsSentOnceOnly, Fixture)
{
    const auto answer = ask(false, "fit-1");
    client->breakOff(true);
    BOOST_TEST(client->sent.empty());
    BOOST_TEST(answer->status == 502);
    BOOST_TEST(says(*answer, "unknown"));
    BOOST_TEST(once->abandoned == 0);
    BOOST_TEST(once->leftOpen == 1);
}

BOOST_FIXTURE_TEST_CASE(whatWasNotSentMayGoToAnotherRunner, Fixture)
{
    const auto answer = ask(false, "fit-1");
    client->breakOff(false);
    BOOST_REQUIRE(client->sent.size() == 1U);
    client->answer(201, "fits");
    BOOST_TEST(answer->status == 201);
    BOOST_REQUIRE(once->finished.size() == 1U);
    BOOST_TEST(once->finished[0].body == "fits");
}

BOOST_FIXTURE_TEST_CASE(withoutAKeyItIsNotRun, Fixture)
{
    const auto answer = ask(false);
    BOOST_TEST(answer->status == 400);
    BOOST_TEST(says(*answer, "no"));
    BOOST_TEST(client->sent.empty());
}

BOOST_FIXTURE_TEST_CASE(aResendGetsTheSameAnswerAlsoInAFlood, Fixture)
{
    for (int n = 0; n < 500; ++n)
        ask(true);
    once->result = once::ClaimResult::Replayed;
    once->kept = { 201, "text/plain", "fits", true };
    const std::size_t before = client->sent.size();
    const auto answer = ask(false, "fit-1");
    BOOST_TEST(answer->status == 201);
    BOOST_TEST(answer->body == "fits");
    BOOST_TEST(client->sent.size() == before);
}

BOOST_FIXTURE_TEST_CASE(noRunnerGetsMoreThanItsSlots, Fixture)
{
    // Two classes, since one alone leaves a slot free for the others.
    for (int n = 0; n < 50; ++n) {
        ask(true);
        ask(true, "", jobs::Urgency::Urgent);
    }
    BOOST_TEST(client->sent.size() == 6U);
    std::map<core::HostPort, int> byRunner;
    for (const auto& it : client->sent)
        ++byRunner[it.request.to];
    for (const auto& [runner, n] : byRunner)
        BOOST_TEST(n == 2);
}

BOOST_FIXTURE_TEST_CASE(aLongAnswerKeepsItsSlotToItsEnd, Fixture)
{
    for (const auto state : { http::BodyPart::State::Complete, http::BodyPart::State::Truncated }) {
        client->sent.clear();
        const auto answer = ask(true);
        auto stream = std::make_shared<FakeRest>();
        client->begin(stream);
        BOOST_TEST(answer->body == "begin");
        BOOST_REQUIRE(answer->stream.has_value());
        for (int n = 0; n < 50; ++n) {
            ask(true);
            ask(true, "", jobs::Urgency::Urgent);
        }
        BOOST_TEST(client->sent.size() == 5U); // of six slots one is in use
        answer->stream->source->pull([](const http::BodyPart&) {});
        std::exchange(stream->taken, nullptr)({ state, "" });
        loop->runReady();
        BOOST_TEST(client->sent.size() == 6U);
        while (!client->sent.empty())
            client->answer(200, "");
    }
}

BOOST_FIXTURE_TEST_CASE(aLongAnswerThatNobodyReadsFreesItsSlot, Fixture)
{
    const auto answer = ask(true);
    auto stream = std::make_shared<FakeRest>();
    client->begin(stream);
    answer->stream->source->cancel();
    loop->runReady();
    BOOST_TEST(stream->isCancelled);
    BOOST_TEST(ask(false, "")->status == 400);
    for (int n = 0; n < 50; ++n) {
        ask(true);
        ask(true, "", jobs::Urgency::Urgent);
    }
    BOOST_TEST(client->sent.size() == 6U);
}

BOOST_FIXTURE_TEST_CASE(whatIsKeptForAResendIsTakenWhole, Fixture)
{
    ask(false, "fit-1");
    BOOST_TEST(client->sent.front().request.streamAboveBytes == 0U);
    client->answer(200, "fits");
    ask(true);
    BOOST_TEST(client->sent.front().request.streamAboveBytes > 0U);
}

BOOST_FIXTURE_TEST_CASE(aNodeUsesOnlyTheSlotsOfItsShares, Fixture)
{
    news.shares = { core::PartitionId(0) };
    tell();
    for (int n = 0; n < 50; ++n)
        ask(true);
    BOOST_TEST(client->sent.size() == 3U);
    loop->advance(2h);
    BOOST_TEST(ask(true)->status == 503); // the shares have lapsed
}

BOOST_FIXTURE_TEST_CASE(aShareIsGivenUpOnlyWhenItsRequestsAreOver, Fixture)
{
    for (int n = 0; n < 6; ++n)
        ask(true);
    news.shares = { core::PartitionId(0) };
    news.releasing = { core::PartitionId(1) };
    tell();
    BOOST_TEST(idleShares.empty());
    for (int n = 0; n < 6; ++n)
        client->answer(200, "ready");
    BOOST_TEST(idleShares.contains(core::PartitionId(1)));
}

BOOST_FIXTURE_TEST_CASE(aFloodLeavesASlotToTheOtherClasses, Fixture)
{
    for (int n = 0; n < 200; ++n)
        ask(true, "", jobs::Urgency::Low);
    const std::size_t before = client->sent.size();
    ask(true, "", jobs::Urgency::Urgent);
    BOOST_TEST(client->sent.size() == before + 1);
}

BOOST_FIXTURE_TEST_CASE(aRunnerThatSaysItLeavesGetsNothingMore, Fixture)
{
    ask(true);
    const auto leaving = client->sent.front().request.to;
    client->answer(200, "ready", { { runnerStateHeader, runnerLeaving } });
    for (int n = 0; n < 20; ++n)
        ask(true);
    for (const auto& it : client->sent)
        BOOST_TEST((it.request.to != leaving));
}

BOOST_FIXTURE_TEST_CASE(retriesStayWithinTheirBudget, Fixture)
{
    int sent = 0;
    for (int n = 0; n < 100; ++n) {
        ask(true);
        while (!client->sent.empty()) {
            ++sent;
            client->breakOff(true);
        }
        loop->advance(2s); // circuits close again
    }
    BOOST_TEST(sent <= 100 + 10 + 10);
}

BOOST_AUTO_TEST_CASE(theStrategizerNeverRepeatsWhatMayHaveRun)
{
    for (const bool hasBudget : { false, true }) {
        Strategizer once(false, 3);
        BOOST_TEST((once.decide({ Attempt::Result::Broken }, hasBudget) == Action::FailUnknown));
        BOOST_TEST((Strategizer(false, 1).decide({ Attempt::Result::NotSent }, hasBudget) == Action::FailUnrun));
        BOOST_TEST((Strategizer(true, 3).decide({ Attempt::Result::Answered, 500 }, hasBudget) == Action::Deliver));
    }
    BOOST_TEST((Strategizer(false, 3).decide({ Attempt::Result::Refused }, true) == Action::Retry));
    BOOST_TEST((Strategizer(true, 3).decide({ Attempt::Result::Broken }, true) == Action::Retry));
    BOOST_TEST((Strategizer(true, 3).decide({ Attempt::Result::Broken }, false) == Action::FailUnknown));
}

BOOST_AUTO_TEST_CASE(theSharesOfAllNodesMakeUpEachRunner)
{
    services::VmInfo runner;
    runner.slots = core::Slots(8);
    for (int n = 0; n < 50; ++n) {
        runner.id = core::VmId("r" + std::to_string(n));
        std::int64_t sum = 0;
        for (std::uint32_t share = 0; share < 5; ++share)
            sum += slotsOf(runner, { core::PartitionId(share) }, 5);
        BOOST_TEST(sum == 8);
    }
}

#define BOOST_TEST_MODULE routing
#include "routing/internal/requestqueue.h"
#include "routing/internal/retrystrategy.h"
#include "routing/internal/runnerpool.h"
#include "routing/irouter.h"
#include "runtime/manualloop.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace sardinerun;
using namespace sardinerun::routing;
using namespace std::chrono_literals;

namespace {

//! Records sent requests; the test supplies the answers.
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
        it.callback(http::ClientResponse(http::Response { status, std::move(headers), body }));
    }
    //! Delivers the head and the first part of a streamed answer.
    void beginAnswer(const http::IBodySourcePtr& stream)
    {
        Sent it = std::move(sent.front());
        sent.pop_front();
        it.callback(
            http::ClientResponse(http::Response { 200, {}, "begin", http::BodyStream { stream, std::nullopt } }));
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

//! A body whose parts are supplied by the test.
class FakeBodySource : public http::IBodySource {
public:
    void pull(PartCallback it) override { callback = std::move(it); }
    void cancel() override { isCancelled = true; }
    PartCallback callback;
    bool isCancelled = false;
};

class FakeClaimClient : public IClaimClient {
public:
    void claim(const once::RequestKey& key, std::uint64_t, Claimed callback) override
    {
        claims.push_back(key);
        callback(result, storedAnswer);
    }
    void finish(const once::RequestKey&, once::StoredAnswer answer) override { finished.push_back(answer); }
    void abandon(const once::RequestKey&) override { ++abandoned; }
    void leaveOpen(const once::RequestKey&) override { ++leftOpen; }
    once::ClaimResult result = once::ClaimResult::Granted;
    once::StoredAnswer storedAnswer;
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
        router = createRouter(loop, client, claimClient, telemetry::Metrics::create(), hooks, 1 << 20);
        update.partitionCount = 2;
        update.shares = { core::PartitionId(0), core::PartitionId(1) };
        update.sharesUntil = loop->now() + 1h;
        update.activePreset.shares = { { 30, 30, 10 } };
        update.activeUntil = loop->now() + 1h;
        for (int n = 0; n < 3; ++n) {
            services::VmInfo vm;
            vm.id = core::VmId("r" + std::to_string(n));
            vm.role = services::VmRole::Runner;
            vm.service = core::ServiceId("labdesk");
            vm.slots = core::Slots(2);
            vm.address = { "127.0.0.1", static_cast<std::uint16_t>(n + 1) };
            update.runners.push_back(vm);
        }
        sendUpdate();
    }

    void sendUpdate()
    {
        router->routerAddress().send(update);
        loop->runReady();
    }

    std::shared_ptr<http::Response> sendRequest(
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

    bool reportsRun(const http::Response& response, const std::string& run)
    {
        return response.body.find("\"run\":\"" + run + "\"") != std::string::npos;
    }

    runtime::ManualLoopPtr loop = std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>());
    std::shared_ptr<FakeClient> client = std::make_shared<FakeClient>();
    std::shared_ptr<FakeClaimClient> claimClient = std::make_shared<FakeClaimClient>();
    std::set<core::PartitionId> idleShares;
    RouterUpdate update;
    IRouterPtr router;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aRequestIsAnsweredByARunner, Fixture)
{
    const auto answer = sendRequest(true);
    BOOST_REQUIRE(client->sent.size() == 1U);
    client->answer(200, "ready");
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(answer->body == "ready");
}

BOOST_FIXTURE_TEST_CASE(aRepeatableRequestIsRetriedAtAnotherRunner, Fixture)
{
    const auto answer = sendRequest(true);
    const auto first = client->sent.front().request.to;
    client->breakOff(true);
    BOOST_REQUIRE(client->sent.size() == 1U);
    BOOST_TEST((client->sent.front().request.to != first));
    client->answer(200, "ready");
    BOOST_TEST(answer->status == 200);
}

BOOST_FIXTURE_TEST_CASE(aRequestThatMayNotBeRepeatedIsSentOnceOnly, Fixture)
{
    const auto answer = sendRequest(false, "fit-1");
    client->breakOff(true);
    BOOST_TEST(client->sent.empty());
    BOOST_TEST(answer->status == 502);
    BOOST_TEST(reportsRun(*answer, "unknown"));
    BOOST_TEST(claimClient->abandoned == 0);
    BOOST_TEST(claimClient->leftOpen == 1);
}

BOOST_FIXTURE_TEST_CASE(anUnsentRequestMayGoToAnotherRunner, Fixture)
{
    const auto answer = sendRequest(false, "fit-1");
    client->breakOff(false);
    BOOST_REQUIRE(client->sent.size() == 1U);
    client->answer(201, "fits");
    BOOST_TEST(answer->status == 201);
    BOOST_REQUIRE(claimClient->finished.size() == 1U);
    BOOST_TEST(claimClient->finished[0].body == "fits");
}

BOOST_FIXTURE_TEST_CASE(aNonRepeatableRequestWithoutAKeyIsNotRun, Fixture)
{
    const auto answer = sendRequest(false);
    BOOST_TEST(answer->status == 400);
    BOOST_TEST(reportsRun(*answer, "no"));
    BOOST_TEST(client->sent.empty());
}

BOOST_FIXTURE_TEST_CASE(aResendGetsTheStoredAnswerUnderOverload, Fixture)
{
    for (int n = 0; n < 500; ++n)
        sendRequest(true);
    claimClient->result = once::ClaimResult::Replayed;
    claimClient->storedAnswer = { 201, "text/plain", "fits", true };
    const std::size_t before = client->sent.size();
    const auto answer = sendRequest(false, "fit-1");
    BOOST_TEST(answer->status == 201);
    BOOST_TEST(answer->body == "fits");
    BOOST_TEST(client->sent.size() == before);
}

BOOST_FIXTURE_TEST_CASE(noRunnerGetsMoreThanItsSlots, Fixture)
{
    // Two classes, since a single class leaves a slot free for the others.
    for (int n = 0; n < 50; ++n) {
        sendRequest(true);
        sendRequest(true, "", jobs::Urgency::Urgent);
    }
    BOOST_TEST(client->sent.size() == 6U);
    std::map<core::HostPort, int> byRunner;
    for (const auto& it : client->sent)
        ++byRunner[it.request.to];
    for (const auto& [runner, n] : byRunner)
        BOOST_TEST(n == 2);
}

BOOST_FIXTURE_TEST_CASE(aStreamedAnswerOccupiesItsSlotUntilItEnds, Fixture)
{
    for (const auto state : { http::BodyPart::State::Complete, http::BodyPart::State::Truncated }) {
        client->sent.clear();
        const auto answer = sendRequest(true);
        auto stream = std::make_shared<FakeBodySource>();
        client->beginAnswer(stream);
        BOOST_TEST(answer->body == "begin");
        BOOST_REQUIRE(answer->stream.has_value());
        for (int n = 0; n < 50; ++n) {
            sendRequest(true);
            sendRequest(true, "", jobs::Urgency::Urgent);
        }
        BOOST_TEST(client->sent.size() == 5U); // one of the six slots is in use by the streamed answer
        answer->stream->source->pull([](const http::BodyPart&) {});
        std::exchange(stream->callback, nullptr)({ state, "" });
        loop->runReady();
        BOOST_TEST(client->sent.size() == 6U);
        while (!client->sent.empty())
            client->answer(200, "");
    }
}

BOOST_FIXTURE_TEST_CASE(aCancelledStreamedAnswerFreesItsSlot, Fixture)
{
    const auto answer = sendRequest(true);
    auto stream = std::make_shared<FakeBodySource>();
    client->beginAnswer(stream);
    answer->stream->source->cancel();
    loop->runReady();
    BOOST_TEST(stream->isCancelled);
    BOOST_TEST(sendRequest(false, "")->status == 400);
    for (int n = 0; n < 50; ++n) {
        sendRequest(true);
        sendRequest(true, "", jobs::Urgency::Urgent);
    }
    BOOST_TEST(client->sent.size() == 6U);
}

BOOST_FIXTURE_TEST_CASE(anAnswerThatMustBeStoredIsNotStreamed, Fixture)
{
    sendRequest(false, "fit-1");
    BOOST_TEST(client->sent.front().request.streamAboveBytes == 0U);
    client->answer(200, "fits");
    sendRequest(true);
    BOOST_TEST(client->sent.front().request.streamAboveBytes > 0U);
}

BOOST_FIXTURE_TEST_CASE(aNodeUsesOnlyTheSlotsOfItsShares, Fixture)
{
    update.shares = { core::PartitionId(0) };
    sendUpdate();
    for (int n = 0; n < 50; ++n)
        sendRequest(true);
    BOOST_TEST(client->sent.size() == 3U);
    loop->advance(2h);
    BOOST_TEST(sendRequest(true)->status == 503); // the lease of the shares has expired
}

BOOST_FIXTURE_TEST_CASE(aShareIsReleasedOnlyWhenItsRequestsHaveEnded, Fixture)
{
    for (int n = 0; n < 6; ++n)
        sendRequest(true);
    update.shares = { core::PartitionId(0) };
    update.releasing = { core::PartitionId(1) };
    sendUpdate();
    BOOST_TEST(idleShares.empty());
    for (int n = 0; n < 6; ++n)
        client->answer(200, "ready");
    BOOST_TEST(idleShares.contains(core::PartitionId(1)));
}

BOOST_FIXTURE_TEST_CASE(anOverloadedClassLeavesASlotToTheOthers, Fixture)
{
    for (int n = 0; n < 200; ++n)
        sendRequest(true, "", jobs::Urgency::Low);
    const std::size_t before = client->sent.size();
    sendRequest(true, "", jobs::Urgency::Urgent);
    BOOST_TEST(client->sent.size() == before + 1);
}

BOOST_FIXTURE_TEST_CASE(aLeavingRunnerGetsNoNewRequests, Fixture)
{
    sendRequest(true);
    const auto leaving = client->sent.front().request.to;
    client->answer(200, "ready", { { runnerStateHeader, runnerLeaving } });
    for (int n = 0; n < 20; ++n)
        sendRequest(true);
    for (const auto& it : client->sent)
        BOOST_TEST((it.request.to != leaving));
}

BOOST_FIXTURE_TEST_CASE(retriesStayWithinTheirBudget, Fixture)
{
    int sent = 0;
    for (int n = 0; n < 100; ++n) {
        sendRequest(true);
        while (!client->sent.empty()) {
            ++sent;
            client->breakOff(true);
        }
        loop->advance(2s); // circuits close again
    }
    BOOST_TEST(sent <= 100 + 10 + 10);
}

BOOST_AUTO_TEST_CASE(aRequestThatMayHaveRunIsNeverRepeated)
{
    for (const bool hasBudget : { false, true }) {
        RetryStrategy nonRepeatable(false, 3);
        BOOST_TEST((nonRepeatable.decide({ Attempt::Result::Broken }, hasBudget) == Action::FailUnknown));
        BOOST_TEST((RetryStrategy(false, 1).decide({ Attempt::Result::NotSent }, hasBudget) == Action::FailNotRun));
        BOOST_TEST((RetryStrategy(true, 3).decide({ Attempt::Result::Answered, 500 }, hasBudget) == Action::Deliver));
    }
    BOOST_TEST((RetryStrategy(false, 3).decide({ Attempt::Result::Refused }, true) == Action::Retry));
    BOOST_TEST((RetryStrategy(true, 3).decide({ Attempt::Result::Broken }, true) == Action::Retry));
    BOOST_TEST((RetryStrategy(true, 3).decide({ Attempt::Result::Broken }, false) == Action::FailUnknown));
}

BOOST_AUTO_TEST_CASE(theSharesOfAllNodesCoverEachRunner)
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

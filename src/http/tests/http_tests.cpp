#define BOOST_TEST_MODULE http
#include "http/h2oclient.h"
#include "http/h2oserver.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace sardinerun;
using namespace std::chrono_literals;

namespace {

//! One loop with a server that echoes and a client.
struct Fixture {
    Fixture()
    {
        http::ServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        options.maxBodyBytes = 1024;
        auto handler = [this](http::Request request, http::Responder responder) { answer(request, responder); };
        server = http::createServer(loop, options, handler).value();
        client = http::createClient(loop);
        loop->start();
    }
    ~Fixture() { loop->stop(); }

    void answer(const http::Request& request, http::Responder responder)
    {
        if (request.path == "/never")
            return;
        responder.send({ 200, { { "x-query", request.query } }, request.body + "!" });
    }

    http::ClientResult call(http::ClientRequest request)
    {
        std::promise<http::ClientResult> done;
        loop->post([&] { client->send(request, [&](http::ClientResult it) { done.set_value(std::move(it)); }); });
        return done.get_future().get();
    }

    http::ClientRequest to(std::string target, std::string body = {})
    {
        http::ClientRequest request;
        request.to = { "127.0.0.1", server->port() };
        request.method = "POST";
        request.target = std::move(target);
        request.body = std::move(body);
        return request;
    }

    runtime::EventLoopPtr loop = runtime::EventLoop::create("test", runtime::systemClock()).value();
    http::IHttpServerPtr server;
    http::IHttpClientPtr client;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aRequestIsAnsweredWhole, Fixture)
{
    for (int n = 0; n < 20; ++n) {
        const auto result = call(to("/echo?n=1", "hello"));
        BOOST_REQUIRE(bool(result));
        BOOST_TEST(result.value().body == "hello!");
        BOOST_TEST(*http::findHeader(result.value().headers, "x-query") == "n=1");
    }
}

BOOST_FIXTURE_TEST_CASE(aBodyOverTheLimitIsRefused, Fixture)
{
    const auto result = call(to("/echo", std::string(4096, 'x')));
    BOOST_TEST((!result || result.value().status == 413));
}

BOOST_FIXTURE_TEST_CASE(anAnswerOverTheLimitIsAnError, Fixture)
{
    auto request = to("/echo", std::string(600, 'x'));
    request.maxResponseBytes = 100;
    const auto result = call(request);
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().code == http::ClientError::Code::TooLarge));
}

BOOST_FIXTURE_TEST_CASE(aTimeoutSaysThatTheRequestMayBeSent, Fixture)
{
    auto request = to("/never");
    request.timeout = 50ms;
    const auto result = call(request);
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().code == http::ClientError::Code::TimedOut));
    BOOST_TEST(result.error().mayBeSent);
}

BOOST_FIXTURE_TEST_CASE(aRefusedConnectionSaysThatNothingWasSent, Fixture)
{
    auto request = to("/echo");
    request.to.port = 1;
    const auto result = call(request);
    BOOST_REQUIRE(!result);
    BOOST_TEST(!result.error().mayBeSent);
}

BOOST_AUTO_TEST_CASE(queryParametersAreDecoded)
{
    BOOST_TEST(http::queryParameter("a=1&b=x%20y", "b").value() == "x y");
    BOOST_TEST(!http::queryParameter("a=1", "b"));
}

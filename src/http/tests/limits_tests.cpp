#include "http/h2oclient.h"
#include "http/h2oserver.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <future>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace sardinerun;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t servedBytes = 30'000;

//! A server with small limits. It answers a request for "/hold" only when released.
struct Limited {
    explicit Limited(http::Executed refusedRequest = http::Executed::No)
    {
        http::ConnectionLimits limits;
        limits.servedBytes = servedBytes;
        limits.connections = 4;
        http::ServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        options.connections = table = http::createConnectionTable(loop, limits);
        options.refusedRequest = refusedRequest;
        server = http::createServer(loop, options, [this](const http::Request& request, http::Responder responder) {
            ++handled;
            if (request.path == "/hold")
                held.push_back(std::move(responder));
            else
                responder.send({ 200, {}, std::to_string(request.body.size()), {} });
        }).value();
        client = http::createClient(loop);
        loop->start();
    }
    ~Limited() { loop->stop(); }

    std::future<http::ClientResult> send(const std::string& target, std::size_t bodyBytes)
    {
        auto done = std::make_shared<std::promise<http::ClientResult>>();
        loop->post([this, done, target, bodyBytes] {
            http::ClientRequest request;
            request.to = { "127.0.0.1", server->port() };
            request.method = "POST";
            request.target = target;
            request.body = std::string(bodyBytes, 'x');
            client->send(request, [done](http::ClientResult it) { done->set_value(std::move(it)); });
        });
        return done->get_future();
    }

    template <typename T> T onLoop(std::function<T()> work)
    {
        std::promise<T> done;
        loop->post([&] { done.set_value(work()); });
        return done.get_future().get();
    }

    void waitUntilHeld(std::size_t count)
    {
        while (onLoop<std::size_t>([this] { return held.size(); }) < count)
            std::this_thread::sleep_for(1ms);
    }

    void release()
    {
        loop->post([this] {
            for (auto& it : held)
                it.send({ 200, {}, "", {} });
            held.clear();
        });
    }

    runtime::EventLoopPtr loop = runtime::EventLoop::create("test", runtime::systemClock()).value();
    http::ConnectionTablePtr table;
    http::IHttpServerPtr server;
    http::IHttpClientPtr client;
    std::vector<http::Responder> held;
    std::size_t handled = 0;
};

} // namespace

//! Guards against complete requests that together take all memory, and against a refusal of something that ran.
BOOST_FIXTURE_TEST_CASE(aRequestIsRefusedBeforeItRunsWhileTooManyBytesAreServed, Limited)
{
    auto first = send("/hold", servedBytes); // alone, so it is served whatever its size
    waitUntilHeld(1);
    const auto second = send("/echo", 100).get();
    BOOST_REQUIRE(bool(second));
    BOOST_TEST(second.value().status == 503);
    BOOST_TEST(second.value().body.find("\"run\":\"no\"") != std::string::npos);
    BOOST_TEST(*http::findHeader(second.value().headers, "connection") == "close");
    BOOST_TEST(onLoop<std::size_t>([this] { return handled; }) == 1U);
    release();
    BOOST_TEST(first.get().value().status == 200);
    BOOST_TEST(send("/echo", 100).get().value().body == "100");
    const auto usage = onLoop<http::ConnectionUsage>([this] { return http::usageOf(*table); });
    BOOST_TEST(usage.refused == 1U);
}

//! Guards against a refusal that says that a job never runs, to a caller that sends an accepted one again.
BOOST_AUTO_TEST_CASE(aRefusalIsUncertainWhereAnEarlierRequestMayHaveRun)
{
    Limited it(http::Executed::Unknown);
    auto first = it.send("/hold", servedBytes);
    it.waitUntilHeld(1);
    const auto second = it.send("/echo", 100).get();
    BOOST_REQUIRE(bool(second));
    BOOST_TEST(second.value().status == 504);
    BOOST_TEST(second.value().body.find("\"run\":\"no\"") == std::string::npos);
    it.release();
    BOOST_TEST(first.get().value().status == 200);
}

//! Guards against a counter that loses bytes or connections, so that a calm server refuses requests in the end.
BOOST_FIXTURE_TEST_CASE(nothingIsCountedAfterRequestsHaveEnded, Limited)
{
    for (std::size_t n = 0; n < 50; ++n)
        BOOST_TEST(send("/echo", n * 500).get().value().status == 200);
    std::this_thread::sleep_for(10ms);
    send("/echo", 0).get();
    std::this_thread::sleep_for(10ms);
    const auto usage = onLoop<http::ConnectionUsage>([this] { return http::usageOf(*table); });
    BOOST_TEST(usage.unfinishedBytes == 0U);
    BOOST_TEST(usage.refused == 0U);
    BOOST_TEST(usage.connections == 1U);
}

//! Guards against a crowd that keeps new callers out, and against a request in progress that loses its connection.
BOOST_FIXTURE_TEST_CASE(overTheLimitOfConnectionsOnlyRequestsInProgressKeepTheirs, Limited)
{
    std::vector<std::future<http::ClientResult>> all;
    for (std::size_t n = 0; n < 4; ++n)
        all.push_back(send("/hold", 10));
    waitUntilHeld(4);
    BOOST_TEST(!send("/echo", 10).get()); // closed before the request was read
    release();
    for (auto& it : all)
        BOOST_TEST(it.get().value().status == 200);
    BOOST_TEST(send("/echo", 10).get().value().status == 200);
}

namespace {

//! Sends bytes in parts on a connection of its own. Returns everything that is received until `answers` have come.
std::string sendParts(std::uint16_t port, const std::vector<std::string>& parts, std::size_t answers,
    std::chrono::milliseconds pause = 3ms)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    BOOST_REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    for (const std::string& it : parts) {
        BOOST_TEST(write(fd, it.data(), it.size()) == ssize_t(it.size()));
        std::this_thread::sleep_for(pause); // longer than the time between two looks at the connections
    }
    std::string text;
    std::string buf(4096, ' ');
    const auto count = [&text] {
        std::size_t n = 0;
        for (std::size_t at = 0; (at = text.find("HTTP/1.1 200", at)) != std::string::npos; ++at)
            ++n;
        return n;
    };
    while (count() < answers || !text.ends_with("7")) {
        const ssize_t n = read(fd, buf.data(), buf.size());
        if (n <= 0)
            break;
        text.append(buf.data(), std::size_t(n));
    }
    close(fd);
    return text;
}

} // namespace

//! Guards against a request that is lost, closed or changed because of where its bytes were divided.
BOOST_FIXTURE_TEST_CASE(requestsMayBeDividedAtAnyByte, Limited)
{
    const std::string announced = "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 7\r\n\r\n1234567";
    const std::string chunked
        = "POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\n123\r\n4;x=y\r\n4567\r\n0\r\n\r\n";
    const std::string pipelined = announced + chunked;
    for (std::size_t split = 1; split < pipelined.size(); ++split) {
        const std::string text = sendParts(server->port(), { pipelined.substr(0, split), pipelined.substr(split) }, 2);
        BOOST_TEST(text.ends_with("\r\n\r\n7"), "divided at " << split << ": " << text);
    }
    const auto usage = onLoop<http::ConnectionUsage>([this] { return http::usageOf(*table); });
    BOOST_TEST(usage.refused == 0U);
    BOOST_TEST(onLoop<std::size_t>([this] { return handled; }) == 2 * (pipelined.size() - 1));
}

//! Guards against headers below the limit that are taken for longer, as h2o's buffer for them is larger than the limit.
BOOST_FIXTURE_TEST_CASE(headersBelowTheLimitMayComeInParts, Limited)
{
    const std::string rest = "\r\ncontent-length: 7\r\n\r\n1234567";
    const std::string head = "POST /echo HTTP/1.1\r\nhost: a\r\nx-long: " + std::string(29'000, 'x');
    const std::string text = sendParts(server->port(), { head, "x", rest }, 1, 80ms);
    BOOST_TEST(text.ends_with("\r\n\r\n7"), text);
}

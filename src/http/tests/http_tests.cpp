#define BOOST_TEST_MODULE http
#include "http/h2oclient.h"
#include "http/h2oserver.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <future>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

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

namespace {

//! Answers one connection with raw bytes, then closes it.
class RawServer {
public:
    explicit RawServer(std::string bytes)
    {
        m_fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof address;
        bind(m_fd, reinterpret_cast<sockaddr*>(&address), n);
        getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &n);
        port = ntohs(address.sin_port);
        listen(m_fd, 1);
        m_thread = std::thread([this, bytes = std::move(bytes)] {
            const int fd = accept(m_fd, nullptr, nullptr);
            char buf[4096];
            if (read(fd, buf, sizeof buf) > 0 && write(fd, bytes.data(), bytes.size()) >= 0)
                close(fd);
        });
    }
    ~RawServer()
    {
        m_thread.join();
        close(m_fd);
    }
    std::uint16_t port = 0;

private:
    int m_fd = -1;
    std::thread m_thread;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(anAnswerThatIsCutShortIsAnError, Fixture)
{
    for (const char* bytes : { "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this",
             "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n", "HTTP/1.1 200 OK\r\n" }) {
        RawServer raw(bytes);
        auto request = to("/");
        request.to.port = raw.port;
        const auto result = call(request);
        if (result) {
            BOOST_ERROR(std::string("taken as whole: ") + bytes);
            continue;
        }
        BOOST_TEST((result.error().code == http::ClientError::Code::Broken));
        BOOST_TEST(result.error().mayBeSent);
    }
}

BOOST_FIXTURE_TEST_CASE(anAnswerWithoutALengthIsAnError, Fixture)
{
    RawServer raw("HTTP/1.1 200 OK\r\n\r\nno length, so its end cannot be told from a cut");
    auto request = to("/");
    request.to.port = raw.port;
    const auto result = call(request);
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().code == http::ClientError::Code::NotFramed));
}

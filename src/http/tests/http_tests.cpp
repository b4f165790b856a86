#define BOOST_TEST_MODULE http
#include "http/h2oclient.h"
#include "http/h2oserver.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <future>
#include <malloc.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace sardinerun;
using namespace std::chrono_literals;

namespace {

//! An echo server and a client on one loop.
struct Fixture {
    Fixture()
    {
        server = listenAt(0);
        client = http::createClient(loop);
        loop->start();
    }
    ~Fixture() { loop->stop(); }

    http::IHttpServerPtr listenAt(std::uint16_t port)
    {
        http::ServerOptions options;
        options.listen = { "127.0.0.1", port };
        options.maxBodyBytes = 1024;
        auto handler = [this](http::Request request, http::Responder responder) { respond(request, responder); };
        return http::createServer(loop, options, handler).value();
    }

    //! Ends the server's connections with their next response, and listens at the same port again.
    void restartServer()
    {
        std::promise<void> done;
        loop->post([&] {
            server->drain();
            formerServer = std::exchange(server, listenAt(server->port()));
            done.set_value();
        });
        done.get_future().get();
    }

    void respond(const http::Request& request, http::Responder responder)
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
    http::IHttpServerPtr formerServer; //!< has connections until the loop stops
    http::IHttpClientPtr client;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aRequestReceivesACompleteResponse, Fixture)
{
    for (int n = 0; n < 20; ++n) {
        const auto result = call(to("/echo?n=1", "hello"));
        BOOST_REQUIRE(bool(result));
        BOOST_TEST(result.value().body == "hello!");
        BOOST_TEST(*http::findHeader(result.value().headers, "x-query") == "n=1");
    }
}

//! Guards against a process that ends, or a call that is never answered, when no descriptor is left.
BOOST_FIXTURE_TEST_CASE(callsFailWhileNoDescriptorIsLeft, Fixture)
{
    rlimit before {};
    getrlimit(RLIMIT_NOFILE, &before);
    const int next = dup(0); // the lowest free descriptor
    close(next);
    rlimit few = before;
    few.rlim_cur = rlim_t(next) + 40;
    setrlimit(RLIMIT_NOFILE, &few);
    constexpr int calls = 400;
    std::promise<int> done;
    int answered = 0;
    int notSent = 0;
    loop->post([&] {
        for (int n = 0; n < calls; ++n) {
            auto request = to(n % 2 == 0 ? "/never" : "/echo");
            request.timeout = 300ms;
            client->send(request, [&](const http::ClientResult& it) {
                notSent += !it && !it.error().maybeSent ? 1 : 0;
                if (++answered == calls)
                    done.set_value(notSent);
            });
        }
    });
    BOOST_TEST(done.get_future().get() > calls / 2);
    setrlimit(RLIMIT_NOFILE, &before);
    std::this_thread::sleep_for(50ms);
    BOOST_TEST(bool(call(to("/echo"))));
}

//! Guards against a burst of requests to one address that uses up the descriptors of the process.
BOOST_FIXTURE_TEST_CASE(requestsToOneAddressShareItsConnections, Fixture)
{
    const auto openDescriptors = [] {
        return std::distance(
            std::filesystem::directory_iterator("/proc/self/fd"), std::filesystem::directory_iterator());
    };
    const auto before = openDescriptors();
    constexpr int calls = 100;
    std::promise<void> done;
    int answered = 0;
    std::atomic<int> succeeded = 0;
    std::ptrdiff_t most = 0;
    loop->post([&] {
        for (int n = 0; n < calls; ++n) {
            auto request = to("/echo", "hello");
            request.maxConnections = 3;
            client->send(request, [&](const http::ClientResult& it) {
                succeeded += it && it.value().body == "hello!" ? 1 : 0;
                most = std::max(most, openDescriptors() - before);
                if (++answered == calls)
                    done.set_value();
            });
        }
    });
    done.get_future().get();
    BOOST_TEST(succeeded == calls);
    BOOST_TEST(most <= 6); // both ends of three connections
}

//! Guards against requests that were never sent counting as perhaps received.
BOOST_FIXTURE_TEST_CASE(aRequestThatWaitsForItsTurnTooLongWasNotSent, Fixture)
{
    std::promise<http::ClientResult> done;
    loop->post([&] {
        auto blocking = to("/never");
        blocking.maxConnections = 1;
        blocking.timeout = 400ms;
        client->send(blocking, [](const http::ClientResult&) {});
        auto waiting = to("/echo");
        waiting.maxConnections = 1;
        waiting.connectTimeout = 100ms;
        client->send(waiting, [&](http::ClientResult it) { done.set_value(std::move(it)); });
    });
    const auto result = done.get_future().get();
    BOOST_REQUIRE(!result);
    BOOST_TEST(!result.error().maybeSent);
    std::this_thread::sleep_for(500ms);
    auto next = to("/echo", "next");
    next.maxConnections = 1;
    BOOST_TEST(bool(call(next)));
}

//! Guards against a thread that spins while connections wait that it has no descriptor to accept.
BOOST_FIXTURE_TEST_CASE(aServerWithoutDescriptorsDoesNotSpin, Fixture)
{
    call(to("/echo")); // the threads run
    rlimit before {};
    getrlimit(RLIMIT_NOFILE, &before);
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    rlimit few = before;
    few.rlim_cur = rlim_t(client) + 1;
    setrlimit(RLIMIT_NOFILE, &few);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(server->port());
    BOOST_REQUIRE(connect(client, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    const auto cpuMs = [] {
        timespec it {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &it);
        return it.tv_sec * 1000 + it.tv_nsec / 1'000'000;
    };
    const auto atFirst = cpuMs();
    std::this_thread::sleep_for(400ms);
    BOOST_TEST(cpuMs() - atFirst < 100);
    setrlimit(RLIMIT_NOFILE, &before);
    std::this_thread::sleep_for(300ms);
    BOOST_TEST(bool(call(to("/echo")))); // connections are accepted again
    close(client);
}

//! Guards against requests that wait for a connection for as long as for an answer.
BOOST_FIXTURE_TEST_CASE(aRequestWithoutAConnectionFailsAfterItsConnectTimeout, Fixture)
{
    const int full = socket(AF_INET, SOCK_STREAM, 0); // a listener whose queue is full accepts no further connection
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(bind(full, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    BOOST_REQUIRE(listen(full, 0) == 0);
    socklen_t size = sizeof address;
    getsockname(full, reinterpret_cast<sockaddr*>(&address), &size);
    std::vector<int> queued;
    for (int n = 0; n < 4; ++n) {
        queued.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        connect(queued.back(), reinterpret_cast<sockaddr*>(&address), sizeof address);
    }
    auto request = to("/echo");
    request.to.port = ntohs(address.sin_port);
    request.connectTimeout = 100ms;
    request.timeout = 5s;
    const core::TimePoint before = loop->now();
    const auto result = call(request);
    BOOST_REQUIRE(!result);
    BOOST_TEST(!result.error().maybeSent);
    BOOST_TEST((loop->now() - before < 2s));
    request = to("/never"); // connected, so only the whole timeout applies
    request.connectTimeout = 50ms;
    request.timeout = 300ms;
    const core::TimePoint sent = loop->now();
    const auto late = call(request);
    BOOST_TEST((!late && late.error().maybeSent));
    BOOST_TEST((loop->now() - sent >= 300ms));
    for (const int it : queued)
        close(it);
    close(full);
}

//! Guards against a message for a process that has ended reaching its successor at the same address.
BOOST_FIXTURE_TEST_CASE(aBodyForOlderConnectionsIsNotSentOnALaterOne, Fixture)
{
    const auto send = [this](core::TimePoint openedAfter) {
        auto request = to("/echo", "old");
        request.lateConnectionRequest = http::LateConnectionRequest { openedAfter, "/echo", "late" };
        const auto result = call(request);
        return result ? result.value().body : result.error().detail;
    };
    const core::TimePoint atFirst = loop->now();
    std::this_thread::sleep_for(2ms);
    BOOST_TEST(send(atFirst) == "late!");
    BOOST_TEST(send(atFirst) == "late!"); // reused, and still opened after that time
    const core::TimePoint whileOpen = loop->now();
    BOOST_TEST(send(whileOpen) == "old!");
    BOOST_TEST(send(whileOpen) == "old!");
    restartServer();
    call(to("/echo")); // the server closes the former connection with this response
    std::this_thread::sleep_for(2ms);
    BOOST_TEST(send(whileOpen) == "late!");
    BOOST_TEST(send(loop->now()) == "old!");
}

//! The sender learns which request was sent, and from which time on the connection counts as an older one.
BOOST_FIXTURE_TEST_CASE(theRequestForLaterConnectionsHasATargetOfItsOwnAndIsReported, Fixture)
{
    const core::TimePoint atFirst = loop->now();
    std::this_thread::sleep_for(2ms);
    auto request = to("/never", "old");
    request.lateConnectionRequest = http::LateConnectionRequest { atFirst, "/echo", "late" };
    const auto first = call(request);
    BOOST_REQUIRE(bool(first));
    BOOST_TEST(first.value().body == "late!");
    BOOST_TEST(first.value().usedLateConnectionRequest);
    BOOST_TEST((first.value().sentAt > atFirst));
    request = to("/echo", "old");
    request.lateConnectionRequest = http::LateConnectionRequest { first.value().sentAt, "/never", "late" };
    const auto second = call(request);
    BOOST_REQUIRE(bool(second));
    BOOST_TEST(second.value().body == "old!");
    BOOST_TEST(!second.value().usedLateConnectionRequest);
}

BOOST_FIXTURE_TEST_CASE(aRequestBodyOverTheLimitIsRejected, Fixture)
{
    const auto result = call(to("/echo", std::string(4096, 'x')));
    BOOST_TEST((!result || result.value().status == 413));
}

BOOST_FIXTURE_TEST_CASE(aResponseOverTheLimitIsAnError, Fixture)
{
    auto request = to("/echo", std::string(600, 'x'));
    request.maxResponseBytes = 100;
    const auto result = call(request);
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().code == http::ClientError::Code::TooLarge));
}

BOOST_FIXTURE_TEST_CASE(aTimeoutReportsThatTheRequestWasMaybeSent, Fixture)
{
    auto request = to("/never");
    request.timeout = 50ms;
    const auto result = call(request);
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().code == http::ClientError::Code::TimedOut));
    BOOST_TEST(result.error().maybeSent);
}

BOOST_FIXTURE_TEST_CASE(aRefusedConnectionReportsThatNothingWasSent, Fixture)
{
    auto request = to("/echo");
    request.to.port = 1;
    const auto result = call(request);
    BOOST_REQUIRE(!result);
    BOOST_TEST(!result.error().maybeSent);
}

//! Guards against a process that crashes since h2o still has a connection to visit that was closed, and freed, in the
//! same turn of the loop in which a request was written to it.
BOOST_FIXTURE_TEST_CASE(aConnectionClosedInTheTurnOfItsRequestIsNotVisitedAgain, Fixture)
{
    mallopt(M_PERTURB, 0xa5); // overwrites freed memory
    constexpr int rounds = 50;
    for (int n = 0; n < rounds; ++n) {
        BOOST_REQUIRE(bool(call(to("/echo")))); // leaves an open connection
        auto request = to("/never");
        request.timeout = 0ms;
        BOOST_TEST(!call(request));
    }
    BOOST_TEST(bool(call(to("/echo"))));
    mallopt(M_PERTURB, 0);
}

BOOST_AUTO_TEST_CASE(queryParametersAreDecoded)
{
    BOOST_TEST(http::queryParameter("a=1&b=x%20y", "b").value() == "x y");
    BOOST_TEST(!http::queryParameter("a=1", "b"));
}

namespace {

//! Accepts one connection, sends raw bytes as the response and closes the connection.
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

BOOST_FIXTURE_TEST_CASE(aTruncatedResponseIsAnError, Fixture)
{
    for (const char* bytes : { "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this",
             "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n", "HTTP/1.1 200 OK\r\n" }) {
        RawServer raw(bytes);
        auto request = to("/");
        request.to.port = raw.port;
        const auto result = call(request);
        if (result) {
            BOOST_ERROR(std::string("truncated response accepted as complete: ") + bytes);
            continue;
        }
        BOOST_TEST((result.error().code == http::ClientError::Code::Broken));
        BOOST_TEST(result.error().maybeSent);
    }
}

BOOST_FIXTURE_TEST_CASE(aResponseWithoutALengthIsAnError, Fixture)
{
    RawServer raw("HTTP/1.1 200 OK\r\n\r\nno length, so its end cannot be told from a cut");
    auto request = to("/");
    request.to.port = raw.port;
    const auto result = call(request);
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().code == http::ClientError::Code::MissingLength));
}

namespace {

//! A proxy that streams long responses of an upstream server to its client.
struct StreamingProxy {
    StreamingProxy()
    {
        http::ServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        options.sendTimeout = 400ms;
        server = http::createServer(loop, options, [this](const http::Request& request, http::Responder responder) {
            forward(request, std::move(responder));
        }).value();
        client = http::createClient(loop);
        loop->start();
    }
    ~StreamingProxy() { loop->stop(); }

    void forward(const http::Request& request, http::Responder responder)
    {
        http::ClientRequest out;
        out.to = { "127.0.0.1", static_cast<std::uint16_t>(std::stoi(request.path.substr(1))) };
        out.streamAboveBytes = 4096;
        auto sharedResponder = std::make_shared<http::Responder>(std::move(responder));
        client->send(out, [sharedResponder](http::ClientResult result) {
            sharedResponder->send(result ? std::move(result.value()) : http::Response { 502, {}, "" });
        });
    }

    std::size_t inProgress()
    {
        std::promise<std::size_t> done;
        loop->post([&] { done.set_value(server->inProgress()); });
        return done.get_future().get();
    }

    runtime::EventLoopPtr loop = runtime::EventLoop::create("test", runtime::systemClock()).value();
    http::IHttpServerPtr server;
    http::IHttpClientPtr client;
};

//! HTTP client on a plain socket that reads only on request, to simulate a slow client.
class RawReader {
public:
    RawReader(std::uint16_t port, const std::string& path)
        : m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        BOOST_REQUIRE(connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        const std::string head = "GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n";
        BOOST_REQUIRE(write(m_fd, head.data(), head.size()) == static_cast<ssize_t>(head.size()));
    }
    ~RawReader() { close(m_fd); }

    //! Reads until `bytes` bytes in total have been received or the connection has ended. Returns the total.
    std::size_t readUpTo(std::size_t bytes)
    {
        std::string buf(std::size_t(64) << 10, ' ');
        while (text.size() < bytes) {
            const ssize_t n = read(m_fd, buf.data(), std::min(buf.size(), bytes - text.size()));
            if (n <= 0)
                break;
            text.append(buf.data(), static_cast<std::size_t>(n));
        }
        return text.size();
    }
    std::string body() const { return text.substr(text.find("\r\n\r\n") + 4); }
    std::string text;

private:
    int m_fd;
};

//! Sends one long response and counts the bytes accepted by the client.
class LongServer {
public:
    LongServer(std::size_t contentLength, std::size_t bodyBytes)
        : m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof address;
        bind(m_fd, reinterpret_cast<sockaddr*>(&address), n);
        getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &n);
        port = ntohs(address.sin_port);
        listen(m_fd, 1);
        m_thread = std::thread([this, contentLength, bodyBytes] { serve(contentLength, bodyBytes); });
    }
    ~LongServer()
    {
        m_thread.join();
        close(m_fd);
    }
    std::uint16_t port = 0;
    std::atomic<std::size_t> accepted = 0;

private:
    void serve(std::size_t contentLength, std::size_t bodyBytes)
    {
        const int fd = accept(m_fd, nullptr, nullptr);
        std::string buf(4096, ' ');
        if (read(fd, buf.data(), buf.size()) > 0) {
            const std::string head = "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(contentLength) + "\r\n\r\n";
            send(fd, head.data(), head.size(), MSG_NOSIGNAL);
            while (accepted < bodyBytes) {
                std::string piece(
                    std::min<std::size_t>(bodyBytes - accepted, 10'000), char('a' + accepted / 10'000 % 26));
                const ssize_t n = send(fd, piece.data(), piece.size(), MSG_NOSIGNAL);
                if (n <= 0)
                    break;
                accepted += static_cast<std::size_t>(n);
            }
        }
        close(fd);
    }

    int m_fd;
    std::thread m_thread;
};

constexpr std::size_t longBytes = std::size_t(64) << 20;
//! Upper limit for the bytes buffered by four loopback sockets, far below the length of the response.
constexpr std::size_t boundedBytes = std::size_t(24) << 20;

} // namespace

BOOST_FIXTURE_TEST_CASE(aLongResponseIsStreamedAtTheRateOfItsReader, StreamingProxy)
{
    LongServer upstream(longBytes, longBytes);
    RawReader reader(server->port(), "/" + std::to_string(upstream.port));
    reader.readUpTo(100'000);
    std::this_thread::sleep_for(200ms);
    BOOST_TEST(upstream.accepted < boundedBytes);
    const std::size_t headBytes = reader.text.find("\r\n\r\n") + 4;
    BOOST_TEST(reader.readUpTo(headBytes + longBytes) == headBytes + longBytes);
    BOOST_TEST(upstream.accepted == longBytes);
}

BOOST_FIXTURE_TEST_CASE(aTruncatedLongResponseEndsTheConnection, StreamingProxy)
{
    LongServer upstream(longBytes, 1'000'000);
    RawReader reader(server->port(), "/" + std::to_string(upstream.port));
    reader.readUpTo(longBytes);
    BOOST_TEST(reader.body().size() <= 1'000'000U);
    BOOST_TEST(reader.text.starts_with("HTTP/1.1 200"));
}

BOOST_FIXTURE_TEST_CASE(aStalledReaderIsDisconnected, StreamingProxy)
{
    LongServer upstream(longBytes, longBytes);
    RawReader reader(server->port(), "/" + std::to_string(upstream.port));
    reader.readUpTo(1000);
    for (int n = 0; n < 100 && inProgress() > 0; ++n)
        std::this_thread::sleep_for(50ms);
    BOOST_TEST(inProgress() == 0U);
    BOOST_TEST(upstream.accepted < longBytes); // the exchange with the upstream server has ended, too
}

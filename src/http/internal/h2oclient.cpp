#include "http/h2oclient.h"

#include "http/internal/clientbody.h"

#include <arpa/inet.h>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>

extern "C" {
#include <h2o.h>
#include <h2o/http1client.h>
#include <h2o/socketpool.h>
}

namespace sardinerun::http {

namespace {

constexpr std::size_t connectionsPerAddress = 64;
constexpr std::uint64_t idleConnectionMs = 10'000;
constexpr core::Duration unusedAddressTime = std::chrono::seconds(30);
//! Only a backstop: each request has a timer of its own.
constexpr std::uint64_t ioTimeoutMs = 300'000;

bool isReservedHeader(const std::string& name)
{
    return name == "host" || name == "content-length" || name == "connection" || name == "transfer-encoding"
        || name == "keep-alive" || name == "upgrade" || name == "te" || name == "expect";
}

std::string serialize(const ClientRequest& request)
{
    std::string buf = request.method + " " + request.target + " HTTP/1.1\r\nhost: " + request.to.text() + "\r\n";
    for (const Header& it : request.headers) {
        if (!isReservedHeader(it.name))
            buf += it.name + ": " + it.value + "\r\n";
    }
    buf += "content-length: " + std::to_string(request.body.size()) + "\r\n\r\n";
    return buf + request.body;
}

//! True when the other side has closed the connection and nothing is left to read.
bool isAtEnd(h2o_socket_t* socket)
{
    char c = 0;
    return recv(h2o_socket_get_fd(socket), &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

class H2oClient;

//! One request from its sending to its answer.
struct Pool;

struct Call : IBodyReader {
    void resumeReading() override;
    void stopExchange() override;

    H2oClient* owner = nullptr;
    Pool* pool = nullptr;
    ClientCallback callback;
    std::string bytes;
    h2o_iovec_t buffer {};
    h2o_http1client_t* client = nullptr;
    runtime::TimerId timer;
    Response response;
    std::size_t maxBytes = 0;
    std::size_t streamAboveBytes = 0; //!< 0: never
    std::optional<std::size_t> announcedBytes;
    bool isStreamed = false;
    std::weak_ptr<ClientBody> rest; //!< of a streamed answer
    h2o_socket_cb pausedReader = nullptr; //!< set while nothing more is read
    bool isHead = false;
    bool isSent = false;
    bool isChunked = false;
};

//! Connections to one address.
struct Pool {
    h2o_socketpool_t sockets {};
    std::size_t inUse = 0; //!< calls in progress
    core::TimePoint usedAt {};
};

class H2oClient : public IHttpClient, public std::enable_shared_from_this<H2oClient> {
public:
    explicit H2oClient(runtime::EventLoopPtr loop)
        : m_loop(std::move(loop))
    {
        m_context.loop = m_loop->handle();
        m_context.io_timeout = &m_ioTimeout;
        h2o_timeout_init(m_loop->handle(), &m_ioTimeout, ioTimeoutMs);
    }

    void send(ClientRequest request, ClientCallback callback) override
    {
        Pool* pool = poolOf(request.to);
        if (!pool) {
            m_loop->post([callback = std::move(callback), to = request.to.text()] {
                callback(core::Failure { ClientError { ClientError::Code::NotConnected, false, "bad address " + to } });
            });
            return;
        }
        auto* call = new Call; // freed by finish
        call->owner = this;
        call->pool = pool;
        ++pool->inUse;
        call->callback = std::move(callback);
        call->bytes = serialize(request);
        call->maxBytes = request.maxResponseBytes;
        call->streamAboveBytes = request.streamAboveBytes;
        call->isHead = request.method == "HEAD";
        call->timer = m_loop->callAfter(request.timeout, [this, call] { onTimeout(call); });
        h2o_http1client_connect_with_pool(&call->client, call, &m_context, &pool->sockets, onConnect);
    }

private:
    Pool* poolOf(const core::HostPort& to)
    {
        if (const auto it = m_pools.find(to); it != m_pools.end())
            return it->second.get();
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        if (inet_pton(AF_INET, to.host.c_str(), &address.sin_addr) != 1)
            return nullptr;
        auto pool = std::make_unique<Pool>();
        h2o_socketpool_init_by_address(
            &pool->sockets, reinterpret_cast<sockaddr*>(&address), sizeof address, 0, connectionsPerAddress);
        h2o_socketpool_set_timeout(&pool->sockets, m_loop->handle(), idleConnectionMs);
        // The library would wake the loop for each pool each second; sweep() looks after all of them at once.
        h2o_timeout_unlink(&pool->sockets._interval_cb.entry);
        h2o_timeout_dispose(m_loop->handle(), &pool->sockets._interval_cb.timeout);
        sweepSoon();
        return m_pools.emplace(to, std::move(pool)).first->second.get();
    }

    //! Closes the connections of addresses that are not used any more.
    void sweep()
    {
        const core::TimePoint now = m_loop->now();
        std::erase_if(m_pools, [now](const auto& it) {
            Pool& pool = *it.second;
            if (pool.inUse > 0 || now - pool.usedAt < unusedAddressTime)
                return false;
            pool.sockets._interval_cb.loop = nullptr; // its timeout is disposed of already
            h2o_socketpool_dispose(&pool.sockets);
            return true;
        });
        m_isSweepSet = false;
        if (!m_pools.empty())
            sweepSoon();
    }

    void sweepSoon()
    {
        if (std::exchange(m_isSweepSet, true))
            return;
        m_loop->callAfter(unusedAddressTime, [self = weak_from_this()] {
            if (const auto keep = self.lock())
                keep->sweep();
        });
    }

    //! The call is over.
    void release(Call* call)
    {
        m_loop->cancel(call->timer);
        --call->pool->inUse;
        call->pool->usedAt = m_loop->now();
    }

    void finish(Call* call, ClientResult result)
    {
        release(call);
        // The callback may start other requests; the library must have let go of this one first.
        m_loop->post([callback = std::move(call->callback), result = std::move(result)]() mutable {
            callback(std::move(result));
        });
        delete call;
    }

    void fail(Call* call, ClientError::Code code, const char* detail)
    {
        if (call->isStreamed) {
            endStream(call, BodyPart::State::Cut);
            return;
        }
        finish(call, core::Failure { ClientError { code, call->isSent, detail } });
    }

    void endStream(Call* call, BodyPart::State state)
    {
        release(call);
        if (const auto rest = call->rest.lock())
            rest->onEnd(state);
        delete call;
    }

    //! The answer is long: its head and beginning go to the caller now, the rest as it is pulled.
    void beginStream(Call* call)
    {
        auto rest = std::make_shared<ClientBody>(m_loop, call);
        call->isStreamed = true;
        call->rest = rest;
        call->response.rest = BodyStream { std::move(rest), call->announcedBytes };
        m_loop->post([callback = std::move(call->callback), response = std::move(call->response)]() mutable {
            callback(std::move(response));
        });
    }

    void onTimeout(Call* call)
    {
        h2o_http1client_cancel(call->client);
        fail(call, call->isSent ? ClientError::Code::TimedOut : ClientError::Code::NotConnected, "timeout");
    }

    static h2o_http1client_head_cb onConnect(
        h2o_http1client_t* client, const char* error, h2o_iovec_t** buffers, std::size_t* count, int* isHead)
    {
        auto* call = static_cast<Call*>(client->data);
        if (error) {
            call->owner->fail(call, ClientError::Code::NotConnected, error);
            return nullptr;
        }
        call->isSent = true;
        call->buffer = h2o_iovec_init(call->bytes.data(), call->bytes.size());
        *buffers = &call->buffer;
        *count = 1;
        *isHead = call->isHead;
        return onHead;
    }

    static h2o_http1client_body_cb onHead(h2o_http1client_t* client, const char* error, int, int status, h2o_iovec_t,
        h2o_header_t* headers, std::size_t count, int)
    {
        auto* call = static_cast<Call*>(client->data);
        const bool isEmpty = error == h2o_http1client_error_is_eos;
        if (error && !isEmpty) {
            call->owner->fail(call, ClientError::Code::Broken, error);
            return nullptr;
        }
        bool isFramed = isEmpty;
        call->response.status = status;
        for (std::size_t n = 0; n < count; ++n) {
            std::string name(headers[n].name->base, headers[n].name->len);
            for (char& c : name)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            call->isChunked = call->isChunked || name == "transfer-encoding";
            isFramed = isFramed || name == "content-length" || name == "transfer-encoding";
            if (name == "content-length")
                call->announcedBytes = std::strtoull(headers[n].value.base, nullptr, 10);
            call->response.headers.push_back({ name, std::string(headers[n].value.base, headers[n].value.len) });
        }
        if (isEmpty) {
            call->owner->finish(call, std::move(call->response));
            return nullptr;
        }
        if (!isFramed) {
            call->owner->fail(call, ClientError::Code::NotFramed, "answer without a length");
            return nullptr;
        }
        return onBody;
    }

    static int onBody(h2o_http1client_t* client, const char* error)
    {
        auto* call = static_cast<Call*>(client->data);
        const bool isWhole = error == h2o_http1client_error_is_eos;
        if (error && !isWhole) {
            call->owner->fail(call, ClientError::Code::Broken, error);
            return -1;
        }
        // The library takes the end of the connection for the end of a chunked body. Only when the connection is
        // still open has the last chunk certainly come.
        if (isWhole && call->isChunked && isAtEnd(client->sock)) {
            call->owner->fail(call, ClientError::Code::Broken, "chunked answer cut short");
            return -1;
        }
        return call->isStreamed ? onStreamedBytes(call, isWhole) : onBytes(call, isWhole);
    }

    static int onBytes(Call* call, bool isWhole)
    {
        h2o_buffer_t*& input = call->client->sock->input;
        call->response.body.append(input->bytes, input->size);
        h2o_buffer_consume(&input, input->size);
        const bool isSmall = call->response.body.size() <= call->maxBytes;
        const bool mayStream = call->streamAboveBytes > 0;
        if (isWhole && (isSmall || mayStream)) {
            call->owner->finish(call, std::move(call->response));
            return 0;
        }
        if (mayStream && call->response.body.size() > call->streamAboveBytes) {
            pause(call);
            call->owner->beginStream(call);
            return 0;
        }
        if (isSmall || mayStream)
            return 0;
        call->owner->fail(call, ClientError::Code::TooLarge, "answer too large");
        return -1; // the library then closes the connection
    }

    static int onStreamedBytes(Call* call, bool isWhole)
    {
        const auto rest = call->rest.lock();
        if (!rest) {
            call->owner->endStream(call, BodyPart::State::Cut);
            return -1;
        }
        h2o_buffer_t*& input = call->client->sock->input;
        rest->onBytes(input->bytes, input->size);
        h2o_buffer_consume(&input, input->size);
        if (isWhole) {
            call->owner->endStream(call, BodyPart::State::Whole);
            return 0;
        }
        pause(call);
        rest->deliver();
        return 0;
    }

    //! NOTE: The library has no call for this in its client; the reader that it has set is put back by resumeReading.
    static void pause(Call* call)
    {
        h2o_socket_t* socket = call->client->sock;
        if (!socket->_cb.read)
            return; // the library starts reading after this callback; the next bytes pause it
        call->pausedReader = socket->_cb.read;
        h2o_socket_read_stop(socket);
    }

    friend struct Call;
    runtime::EventLoopPtr m_loop;
    h2o_http1client_ctx_t m_context {};
    h2o_timeout_t m_ioTimeout {};
    std::map<core::HostPort, std::unique_ptr<Pool>> m_pools;
    bool m_isSweepSet = false;
};

void Call::resumeReading()
{
    if (pausedReader)
        h2o_socket_read_start(client->sock, std::exchange(pausedReader, nullptr));
}

void Call::stopExchange()
{
    h2o_http1client_cancel(client);
    owner->endStream(this, BodyPart::State::Cut);
}

} // namespace

IHttpClientPtr createClient(const runtime::EventLoopPtr& loop)
{
    return std::make_shared<H2oClient>(loop);
}

} // namespace sardinerun::http

#include "http/h2oclient.h"

#include "http/internal/answerbudget.h"
#include "http/internal/clientpools.h"

#include <algorithm>
#include <map>
#include <sys/socket.h>

extern "C" {
#include <h2o.h>
#include <h2o/http1client.h>
#include <h2o/socketpool.h>
}

namespace sardinerun::http {

namespace {

//! Upper limit for h2o; the actual timeout is a separate timer for each request.
constexpr std::uint64_t ioTimeoutMs = 300'000;
//! Receive buffer of a connection in the kernel, which doubles it; h2o reads at most that much at once.
constexpr int receiveBufferBytes = 128 << 10;
constexpr core::Duration sweepInterval = std::chrono::milliseconds(2);

//! Returns true if the server has closed the connection and no bytes are left to read.
bool isAtEnd(h2o_socket_t* socket)
{
    char c = 0;
    return recv(h2o_socket_get_fd(socket), &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace

class H2oClient : public IHttpClient, public runtime::ITurnObserver, public std::enable_shared_from_this<H2oClient> {
public:
    H2oClient(runtime::EventLoopPtr loop, const AnswerLimits& limits)
        : m_loop(std::move(loop))
        , m_budget(limits)
        , m_pools(std::make_shared<ClientPools>(m_loop))
    {
        m_context.loop = m_loop->handle();
        m_context.io_timeout = &m_ioTimeout;
        h2o_timeout_init(m_loop->handle(), &m_ioTimeout, ioTimeoutMs);
    }

    void send(ClientRequest request, ClientCallback callback) override
    {
        Pool* pool = m_pools->get(request.to);
        if (!pool) {
            m_loop->post([callback = std::move(callback), to = request.to.text()] {
                callback(core::Failure { ClientError { ClientError::Code::NotConnected, false, "bad address " + to } });
            });
            return;
        }
        auto* call = new Call; // freed by finish
        call->owner = this;
        call->to = request.to;
        call->pool = pool;
        ++pool->inUse;
        call->callback = std::move(callback);
        call->requestBytes = serialize(request, request.target, request.body);
        if (const auto& late = request.lateConnectionRequest)
            call->lateConnectionBytes = { late->openedAfter, serialize(request, late->target, late->body) };
        call->maxBytes = request.maxResponseBytes;
        call->streamAboveBytes = request.streamAboveBytes;
        call->isHeadRequest = request.method == "HEAD";
        call->deadline = m_loop->now() + request.timeout;
        const bool hasConnectTimeout = request.connectTimeout > core::Duration(0);
        setTimer(call, hasConnectTimeout ? std::min(request.connectTimeout, request.timeout) : request.timeout);
        call->maxConnections = request.maxConnections;
        if (mayConnect(call))
            connect(call);
        else
            pool->waiting.push_back(call);
    }

    std::uint64_t tooLarge() const override { return m_tooLarge; }

    //! h2o collects the headers of an answer without a limit.
    void onTurn() override
    {
        if (!m_budget.isEmpty() && m_loop->now() - m_sweptAt >= sweepInterval)
            cutLongHeads();
    }

private:
    void cutLongHeads()
    {
        m_sweptAt = m_loop->now();
        for (Call* it : m_budget.callsWithLongHead())
            cut(it);
    }

    void cut(Call* call)
    {
        ++m_tooLarge;
        h2o_http1client_cancel(call->client);
        fail(call, ClientError::Code::TooLarge, "answer too large");
    }

    static bool mayConnect(const Call* call)
    {
        return call->maxConnections == 0 || call->pool->active < call->maxConnections;
    }

    void connect(Call* call)
    {
        call->isActive = true;
        m_budget.add(call);
        ++call->pool->active;
        m_connecting = call;
        h2o_http1client_connect_with_pool(&call->client, call, &m_context, &call->pool->sockets, onConnect);
        m_connecting = nullptr;
    }

    void connectWaiting(const core::HostPort& to)
    {
        Pool* pool = m_pools->find(to);
        if (!pool)
            return;
        while (!pool->waiting.empty() && mayConnect(pool->waiting.front())) {
            Call* call = pool->waiting.front();
            pool->waiting.pop_front();
            connect(call);
        }
    }

    //! Returns when the connection was opened that h2o has just assigned to the call.
    core::TimePoint connectionOpenedAt(const Call* call, int fd)
    {
        // h2o assigns a pooled connection before it returns from connecting, and a new one later.
        if (call != m_connecting)
            m_openedAt.erase(fd);
        return m_openedAt.try_emplace(fd, m_loop->now()).first->second;
    }

    //! Cancels the timeout of the call and updates the usage of its pool.
    void release(Call* call)
    {
        m_loop->cancel(call->timer);
        m_budget.remove(call);
        Pool& pool = *call->pool;
        --pool.inUse;
        pool.lastUsedAt = m_loop->now();
        if (!call->isActive) {
            std::erase(pool.waiting, call);
            return;
        }
        --pool.active;
        // Posted, since h2o returns the connection to the pool only after its callback.
        if (!pool.waiting.empty())
            m_loop->post([self = weak_from_this(), to = call->to] {
                if (const auto client = self.lock())
                    client->connectWaiting(to);
            });
    }

    void finish(Call* call, ClientResult result)
    {
        release(call);
        // Posted, since the callback may send other requests, and h2o must have finished with this one first.
        m_loop->post([callback = std::move(call->callback), result = std::move(result)]() mutable {
            callback(std::move(result));
        });
        delete call;
    }

    void fail(Call* call, ClientError::Code code, const char* detail)
    {
        if (call->isStreamed) {
            endStream(call, BodyPart::State::Truncated);
            return;
        }
        finish(call, core::Failure { ClientError { code, call->isSent, detail } });
    }

    void endStream(Call* call, BodyPart::State state)
    {
        release(call);
        if (const auto stream = call->stream.lock())
            stream->onEnd(state);
        delete call;
    }

    //! Passes the head and beginning of a long response to the callback; the caller then pulls the remainder.
    void beginStream(Call* call)
    {
        auto stream = std::make_shared<ClientBodySource>(m_loop, call);
        call->isStreamed = true;
        call->stream = stream;
        call->response.stream = BodyStream { std::move(stream), call->contentLength };
        m_loop->post([callback = std::move(call->callback), response = std::move(call->response)]() mutable {
            callback(std::move(response));
        });
    }

    void setTimer(Call* call, core::Duration timeout)
    {
        call->timer = m_loop->callAfter(timeout, [this, call] { onTimeout(call); });
    }

    void onTimeout(Call* call)
    {
        if (const core::Duration left = call->deadline - m_loop->now(); call->isSent && left > core::Duration(0)) {
            setTimer(call, left);
            return;
        }
        if (call->isActive)
            h2o_http1client_cancel(call->client);
        fail(call, call->isSent ? ClientError::Code::TimedOut : ClientError::Code::NotConnected, "timeout");
    }

    static h2o_http1client_head_cb onConnect(
        h2o_http1client_t* client, const char* error, h2o_iovec_t** buffers, std::size_t* count, int* isHeadRequest)
    {
        auto* call = static_cast<Call*>(client->data);
        if (error) {
            call->owner->fail(call, ClientError::Code::NotConnected, error);
            return nullptr;
        }
        call->isSent = true;
        setsockopt(
            h2o_socket_get_fd(client->sock), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        const core::TimePoint openedAt = call->owner->connectionOpenedAt(call, h2o_socket_get_fd(client->sock));
        if (const auto& late = call->lateConnectionBytes; late && openedAt > late->openedAfter) {
            call->requestBytes = late->bytes;
            call->response.usedLateConnectionRequest = true;
        }
        call->response.sentAt = call->owner->m_loop->now();
        call->buffer = h2o_iovec_init(call->requestBytes.data(), call->requestBytes.size());
        *buffers = &call->buffer;
        *count = 1;
        *isHeadRequest = call->isHeadRequest;
        return onHead;
    }

    static h2o_http1client_body_cb onHead(h2o_http1client_t* client, const char* error, int, int status, h2o_iovec_t,
        h2o_header_t* headers, std::size_t count, int)
    {
        auto* call = static_cast<Call*>(client->data);
        const bool hasNoBody = error == h2o_http1client_error_is_eos;
        if (error && !hasNoBody) {
            call->owner->fail(call, ClientError::Code::Broken, error);
            return nullptr;
        }
        call->hasHead = true;
        bool isFramed = hasNoBody;
        call->response.status = status;
        for (std::size_t n = 0; n < count; ++n) {
            std::string name(headers[n].name->base, headers[n].name->len);
            for (char& c : name)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            call->isChunked = call->isChunked || name == "transfer-encoding";
            isFramed = isFramed || name == "content-length" || name == "transfer-encoding";
            if (name == "content-length")
                call->contentLength = std::strtoull(headers[n].value.base, nullptr, 10);
            call->response.headers.push_back({ name, std::string(headers[n].value.base, headers[n].value.len) });
        }
        if (hasNoBody) {
            call->owner->finish(call, std::move(call->response));
            return nullptr;
        }
        if (!isFramed) {
            call->owner->fail(call, ClientError::Code::MissingLength, "answer without a length");
            return nullptr;
        }
        return onBody;
    }

    static int onBody(h2o_http1client_t* client, const char* error)
    {
        auto* call = static_cast<Call*>(client->data);
        const bool isComplete = error == h2o_http1client_error_is_eos;
        if (error && !isComplete) {
            call->owner->fail(call, ClientError::Code::Broken, error);
            return -1;
        }
        // h2o treats the end of the connection as the end of a chunked body. The last chunk has certainly arrived only
        // if the connection is still open.
        if (isComplete && call->isChunked && isAtEnd(client->sock)) {
            call->owner->fail(call, ClientError::Code::Broken, "chunked answer cut short");
            return -1;
        }
        return call->isStreamed ? onStreamedBytes(call, isComplete) : onBytes(call, isComplete);
    }

    static int onBytes(Call* call, bool isComplete)
    {
        h2o_buffer_t*& input = call->client->sock->input;
        call->response.body.append(input->bytes, input->size);
        call->owner->m_budget.count(call, input->size);
        h2o_buffer_consume(&input, input->size);
        if (Call* largest = isComplete ? nullptr : call->owner->m_budget.callToCut(); largest && largest != call)
            call->owner->cut(largest);
        else if (largest)
            return tooLarge(call);
        const bool isWithinLimit = call->response.body.size() <= call->maxBytes;
        const bool mayStream = call->streamAboveBytes > 0;
        if (isComplete && (isWithinLimit || mayStream)) {
            call->owner->finish(call, std::move(call->response));
            return 0;
        }
        if (mayStream && call->response.body.size() > call->streamAboveBytes) {
            pause(call);
            call->owner->beginStream(call);
            return 0;
        }
        if (isWithinLimit || mayStream)
            return 0;
        return tooLarge(call);
    }

    static int tooLarge(Call* call)
    {
        ++call->owner->m_tooLarge;
        call->owner->fail(call, ClientError::Code::TooLarge, "answer too large");
        return -1; // makes h2o close the connection
    }

    static int onStreamedBytes(Call* call, bool isComplete)
    {
        const auto stream = call->stream.lock();
        if (!stream) {
            call->owner->endStream(call, BodyPart::State::Truncated);
            return -1;
        }
        h2o_buffer_t*& input = call->client->sock->input;
        stream->onBytes(input->bytes, input->size);
        h2o_buffer_consume(&input, input->size);
        if (isComplete) {
            call->owner->endStream(call, BodyPart::State::Complete);
            return 0;
        }
        pause(call);
        stream->deliver();
        return 0;
    }

    //! Pauses reading. The h2o client has no function for this, so the read callback that h2o has set on the socket is
    //! saved, and resumeReading restores it.
    static void pause(Call* call)
    {
        h2o_socket_t* socket = call->client->sock;
        if (!socket->_cb.read)
            return; // h2o starts reading after this callback; the next bytes received pause it
        call->pausedReadCallback = socket->_cb.read;
        h2o_socket_read_stop(socket);
    }

    friend struct Call;
    runtime::EventLoopPtr m_loop;
    AnswerBudget m_budget;
    std::uint64_t m_tooLarge = 0;
    core::TimePoint m_sweptAt {};
    h2o_http1client_ctx_t m_context {};
    h2o_timeout_t m_ioTimeout {};
    std::shared_ptr<ClientPools> m_pools;
    std::map<int, core::TimePoint> m_openedAt; //!< by descriptor; replaced when a new connection gets the descriptor
    const Call* m_connecting = nullptr; //!< the call for which a connection is being requested
};

void Call::resumeReading()
{
    if (pausedReadCallback)
        h2o_socket_read_start(client->sock, std::exchange(pausedReadCallback, nullptr));
}

void Call::cancelExchange()
{
    h2o_http1client_cancel(client);
    owner->endStream(this, BodyPart::State::Truncated);
}

IHttpClientPtr createClient(const runtime::EventLoopPtr& loop, const AnswerLimits& limits)
{
    auto client = std::make_shared<H2oClient>(loop, limits);
    loop->observeTurns(client);
    return client;
}

} // namespace sardinerun::http

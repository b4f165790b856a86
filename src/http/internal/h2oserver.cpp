#include "http/h2oserver.h"

#include "http/internal/connectiontable.h"
#include "http/internal/h2orequest.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
}

namespace sardinerun::http {

namespace {

constexpr int listenBacklog = 1024;
//! Pause after a connection that could not be accepted for lack of descriptors or memory.
constexpr core::Duration acceptPause = std::chrono::milliseconds(100);
constexpr core::Duration refusalRetryAfter = std::chrono::seconds(1);
constexpr std::size_t maxSendBytes = std::size_t(64) << 10; //!< passed to h2o in one call

class H2oServer;

//! h2o handler extended by a pointer to the server.
struct ServerHandler {
    h2o_handler_t super;
    H2oServer* server;
};

//! One request until its response has been sent or the client has disconnected; `request` is null afterwards.
struct Exchange {
    h2o_generator_t generator {}; //!< must be the first member: onProceed casts its address to Exchange
    h2o_req_t* request = nullptr;
    H2oServer* server = nullptr;
    ConnectionPtr connection;
    std::size_t requestBytes = 0; //!< counted in `connection`
    std::size_t answerBytes = 0; //!< counted in `connection`
    bool hasResponded = false;
    std::string bytes; //!< part of the body that is being sent
    std::size_t sentBytes = 0; //!< number of bytes of `bytes` passed to h2o
    IBodySourcePtr stream; //!< remainder of the response body, if any
    runtime::TimerId stallTimer;
    std::weak_ptr<Exchange> self;
};
using ExchangePtr = std::shared_ptr<Exchange>;

//! Owns the listening socket, the h2o context and the requests in progress. Runs on one loop.
class H2oServer : public IHttpServer, public std::enable_shared_from_this<H2oServer> {
public:
    H2oServer(runtime::EventLoopPtr loop, Handler handler)
        : m_loop(std::move(loop))
        , m_handler(std::move(handler))
    {
    }

    ~H2oServer() override
    {
        if (m_connections)
            m_connections->removeContext(&m_context);
    }
    H2oServer(const H2oServer&) = delete;
    H2oServer& operator=(const H2oServer&) = delete;

    core::Ret<ServerError> open(const ServerOptions& options)
    {
        m_connections = options.connections ? options.connections : createConnectionTable(m_loop, {});
        m_connections->allowBody(options.maxBodyBytes);
        configure(options);
        if (options.tls) {
            m_connections->addContext(&m_context); // HTTP/2 is offered with TLS only
            if (auto ret = loadTls(*options.tls); !ret)
                return ret;
        }
        return listen(options.listen);
    }

    std::uint16_t port() const override { return m_port; }
    std::size_t inProgress() const override { return m_inProgress; }

    void drain() override
    {
        if (!m_listener)
            return;
        h2o_socket_read_stop(m_listener);
        h2o_socket_close(m_listener);
        m_listener = nullptr;
        h2o_context_request_shutdown(&m_context);
    }

    void handle(h2o_req_t* from)
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->generator.proceed = onProceed;
        exchange->request = from;
        exchange->server = this;
        exchange->self = exchange;
        ++m_inProgress;
        const bool isAdmitted = begin(*exchange);
        auto* guard = static_cast<ExchangePtr*>(h2o_mem_alloc_shared(&from->pool, sizeof(ExchangePtr), onRequestGone));
        new (guard) ExchangePtr(exchange);
        Responder responder([loop = m_loop, exchange](Response response) {
            loop->post(
                [exchange, response = std::move(response)]() mutable { respond(*exchange, std::move(response)); });
        });
        if (isAdmitted)
            m_handler(toRequest(from), std::move(responder));
        else
            refuse(from, responder);
    }

private:
    //! Counts the request on its connection: its bytes are in the connection's buffer and in the copies that are kept
    //! while it is served. Returns whether it may run.
    bool begin(Exchange& exchange)
    {
        h2o_conn_t* from = exchange.request->conn;
        exchange.connection = m_connections->find(from->callbacks->get_socket(from));
        if (!exchange.connection)
            return true;
        const std::size_t copies = m_keptCopies * exchange.request->entity.len;
        const bool isAdmitted = m_connections->admit(*exchange.connection, exchange.request->entity.len + copies);
        exchange.requestBytes = isAdmitted ? copies : 0;
        exchange.connection->servedBytes += exchange.requestBytes;
        ++exchange.connection->inProgress;
        return isAdmitted;
    }

    void refuse(h2o_req_t* request, Responder& responder)
    {
        m_connections->countRefused();
        request->http1_is_persistent = 0;
        responder.send(
            toResponse({ m_refusedRequest == Executed::No ? 503 : 504, "out-of-memory", "No memory for this request",
                m_refusedRequest, "too many bytes of requests and answers are in progress", refusalRetryAfter }));
    }

    //! Updates what is counted on the connection while the answer is being sent.
    static void countAnswer(Exchange& exchange)
    {
        if (!exchange.connection)
            return;
        const std::size_t bytes = exchange.bytes.capacity();
        exchange.connection->servedBytes += bytes - exchange.answerBytes;
        exchange.answerBytes = bytes;
        exchange.connection->since = exchange.server->m_loop->now();
    }

    static void end(Exchange& exchange)
    {
        const ConnectionPtr it = std::exchange(exchange.connection, nullptr);
        if (!it)
            return;
        it->servedBytes -= exchange.requestBytes + exchange.answerBytes;
        --it->inProgress;
        it->sending -= exchange.hasResponded ? 1 : 0;
        it->hasServed = true;
        it->hasHead = false;
        it->since = exchange.server->m_loop->now();
    }

    static void respond(Exchange& exchange, Response response)
    {
        const IBodySourcePtr stream = response.stream ? response.stream->source : nullptr;
        if (!exchange.request && stream)
            stream->cancel();
        if (!exchange.request || std::exchange(exchange.hasResponded, true))
            return;
        writeHead(exchange.request, response);
        exchange.stream = stream;
        exchange.bytes = std::move(response.body);
        if (exchange.connection)
            ++exchange.connection->sending;
        h2o_start_response(exchange.request, &exchange.generator);
        sendNext(exchange);
    }

    //! Sends the next piece of the body or pulls the next part. h2o calls onProceed when the piece has been sent.
    static void sendNext(Exchange& exchange)
    {
        exchange.server->restartStallTimer(exchange);
        countAnswer(exchange);
        const std::size_t left = exchange.bytes.size() - exchange.sentBytes;
        if (left == 0 && exchange.stream) {
            pull(exchange);
            return;
        }
        h2o_iovec_t piece = h2o_iovec_init(exchange.bytes.data() + exchange.sentBytes, std::min(left, maxSendBytes));
        exchange.sentBytes += piece.len;
        const bool isLast = piece.len == left && !exchange.stream;
        const h2o_send_state_t state = isLast ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS;
        h2o_send(exchange.request, &piece, piece.len > 0 ? 1 : 0, state);
    }

    static void pull(Exchange& exchange)
    {
        exchange.stream->pull([loop = exchange.server->m_loop, self = exchange.self](BodyPart part) {
            loop->post([self, part = std::move(part)]() mutable {
                const ExchangePtr it = self.lock();
                if (it && it->request)
                    onPart(*it, std::move(part));
            });
        });
    }

    static void onPart(Exchange& exchange, BodyPart part)
    {
        if (part.state != BodyPart::State::More)
            exchange.stream.reset();
        if (part.state == BodyPart::State::Truncated) {
            h2o_send(
                exchange.request, nullptr, 0, H2O_SEND_STATE_ERROR); // lets the client detect the truncated response
            return;
        }
        exchange.bytes = std::move(part.bytes);
        exchange.sentBytes = 0;
        sendNext(exchange);
    }

    static void onProceed(h2o_generator_t* generator, h2o_req_t*) { sendNext(*reinterpret_cast<Exchange*>(generator)); }

    void restartStallTimer(Exchange& exchange)
    {
        m_loop->cancel(exchange.stallTimer);
        exchange.stallTimer = m_loop->callAfter(m_sendTimeout, [self = exchange.self] {
            const ExchangePtr it = self.lock();
            if (!it || !it->request)
                return;
            h2o_conn_t* connection = it->request->conn;
            h2o_socket_t* socket = connection->callbacks->get_socket(connection);
            shutdown(h2o_socket_get_fd(socket), SHUT_RDWR); // makes h2o report an error and release the request
        });
    }

    static void onRequestGone(void* data)
    {
        auto* guard = static_cast<ExchangePtr*>(data);
        Exchange& exchange = **guard;
        exchange.request = nullptr;
        end(exchange);
        --exchange.server->m_inProgress;
        exchange.server->m_loop->cancel(exchange.stallTimer);
        if (exchange.stream)
            exchange.stream->cancel();
        guard->~ExchangePtr();
    }

    static int onRequest(h2o_handler_t* self, h2o_req_t* request)
    {
        reinterpret_cast<ServerHandler*>(self)->server->handle(request);
        return 0;
    }

    static void onAccept(h2o_socket_t* listener, const char* error)
    {
        if (error)
            return;
        auto* self = static_cast<H2oServer*>(listener->data);
        errno = 0;
        if (h2o_socket_t* socket = h2o_evloop_socket_accept(listener))
            self->accept(socket);
        else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
            self->pauseAccepting();
    }

    void accept(h2o_socket_t* socket)
    {
        if (m_connections->add(socket))
            h2o_accept(&m_accept, socket);
        else
            h2o_socket_close(socket);
    }

    //! The connection that could not be accepted keeps the listener readable, so the loop would spin.
    void pauseAccepting()
    {
        h2o_socket_read_stop(m_listener);
        m_loop->callAfter(acceptPause, [self = weak_from_this()] {
            const auto server = self.lock();
            if (server && server->m_listener)
                h2o_socket_read_start(server->m_listener, onAccept);
        });
    }

    void configure(const ServerOptions& options)
    {
        m_sendTimeout = options.sendTimeout;
        m_keptCopies = options.keptCopies;
        m_refusedRequest = options.refusedRequest;
        m_sendBufferBytes = options.sendBufferBytes;
        h2o_config_init(&m_config);
        m_config.max_request_entity_size = options.maxBodyBytes;
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(options.requestTimeout).count();
        m_config.http1.req_timeout = static_cast<std::uint64_t>(ms);
        // The buffers of HTTP/2 streams cannot be counted, so HTTP/2 is limited to listeners with TLS.
        m_config.http1.upgrade_to_http2 = 0;
        m_config.server_name = h2o_iovec_init(H2O_STRLIT("sardinerun"));
        h2o_hostconf_t* host = h2o_config_register_host(&m_config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
        h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
        auto* handler = reinterpret_cast<ServerHandler*>(h2o_create_handler(path, sizeof(ServerHandler)));
        handler->super.on_req = onRequest;
        handler->server = this;
        h2o_context_init(&m_context, m_loop->handle(), &m_config);
        m_accept.ctx = &m_context;
        m_accept.hosts = m_config.hosts;
    }

    core::Ret<ServerError> loadTls(const TlsFiles& files)
    {
        SSL_CTX* tls = SSL_CTX_new(TLS_server_method());
        SSL_CTX_set_min_proto_version(tls, TLS1_2_VERSION);
        // Callers resume sessions by tickets, which the node does not keep.
        SSL_CTX_set_session_cache_mode(tls, SSL_SESS_CACHE_OFF);
        SSL_CTX_set_mode(tls, SSL_MODE_RELEASE_BUFFERS);
        const bool isLoaded = SSL_CTX_use_certificate_chain_file(tls, files.certificate.c_str()) == 1
            && SSL_CTX_use_PrivateKey_file(tls, files.key.c_str(), SSL_FILETYPE_PEM) == 1;
        if (!isLoaded) {
            SSL_CTX_free(tls);
            return core::Failure { ServerError { ServerError::Code::BadTls,
                "cannot load certificate " + files.certificate + " with key " + files.key } };
        }
        h2o_ssl_register_alpn_protocols(tls, h2o_http2_alpn_protocols);
        m_accept.ssl_ctx = tls;
        return {};
    }

    core::Ret<ServerError> listen(const core::HostPort& at)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(at.port);
        if (inet_pton(AF_INET, at.host.c_str(), &address.sin_addr) != 1)
            return core::Failure { ServerError { ServerError::Code::BadAddress, "not an IPv4 address: " + at.text() } };
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        // Accepted connections inherit the sizes. Unread bytes count as memory of the VM.
        const int receiveBufferBytes = receiveBufferBytesOf(m_connections->limits().kind);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &m_sendBufferBytes, sizeof m_sendBufferBytes);
        socklen_t n = sizeof address;
        const bool isOpen = bind(fd, reinterpret_cast<sockaddr*>(&address), n) == 0 && ::listen(fd, listenBacklog) == 0
            && getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n) == 0;
        if (!isOpen) {
            close(fd);
            return core::Failure { ServerError { ServerError::Code::CannotListen, "cannot listen on " + at.text() } };
        }
        m_port = ntohs(address.sin_port);
        m_listener = h2o_evloop_socket_create(m_loop->handle(), fd, H2O_SOCKET_FLAG_DONT_READ);
        m_listener->data = this;
        h2o_socket_read_start(m_listener, onAccept);
        return {};
    }

    runtime::EventLoopPtr m_loop;
    Handler m_handler;
    ConnectionTablePtr m_connections;
    core::Duration m_sendTimeout {};
    std::size_t m_keptCopies = 1;
    Executed m_refusedRequest = Executed::No;
    int m_sendBufferBytes = 0;
    h2o_globalconf_t m_config {};
    h2o_context_t m_context {};
    h2o_accept_ctx_t m_accept {};
    h2o_socket_t* m_listener = nullptr;
    std::uint16_t m_port = 0;
    std::size_t m_inProgress = 0;
};

} // namespace

core::RetVal<IHttpServerPtr, ServerError> createServer(
    const runtime::EventLoopPtr& loop, const ServerOptions& options, Handler handler)
{
    auto server = std::make_shared<H2oServer>(loop, std::move(handler));
    if (auto ret = server->open(options); !ret)
        return core::Failure { ret.error() };
    return IHttpServerPtr(server);
}

} // namespace sardinerun::http

#include "http/h2oserver.h"

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
    bool hasResponded = false;
    std::string bytes; //!< part of the body that is being sent
    std::size_t sentBytes = 0; //!< number of bytes of `bytes` passed to h2o
    IBodySourcePtr stream; //!< remainder of the response body, if any
    runtime::TimerId stallTimer;
    std::weak_ptr<Exchange> self;
};
using ExchangePtr = std::shared_ptr<Exchange>;

std::string toString(h2o_iovec_t it)
{
    return { it.base, it.len };
}

std::string hostWithoutPort(std::string authority)
{
    for (char& c : authority)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const std::size_t colon = authority.rfind(':');
    if (colon != std::string::npos && authority.find(']', colon) == std::string::npos)
        authority.resize(colon);
    return authority;
}

bool isLoopback(h2o_req_t* request)
{
    sockaddr_storage peer {};
    const socklen_t n = request->conn->callbacks->get_peername(request->conn, reinterpret_cast<sockaddr*>(&peer));
    if (n == 0 || peer.ss_family != AF_INET)
        return false;
    const auto* it = reinterpret_cast<const sockaddr_in*>(&peer);
    return (ntohl(it->sin_addr.s_addr) >> 24) == 127;
}

Request toRequest(h2o_req_t* from)
{
    Request to;
    to.method = toString(from->method);
    const std::string target = toString(from->path);
    const std::size_t queryStart = std::min(target.find('?'), target.size());
    to.path = target.substr(0, queryStart);
    to.query = queryStart < target.size() ? target.substr(queryStart + 1) : "";
    to.authority = hostWithoutPort(toString(from->authority));
    to.body = toString(from->entity);
    to.isFromLoopback = isLoopback(from);
    for (std::size_t n = 0; n < from->headers.size; ++n) {
        const h2o_header_t& it = from->headers.entries[n];
        to.headers.push_back({ toString(*it.name), toString(it.value) });
    }
    return to;
}

void writeHead(h2o_req_t* request, const Response& response)
{
    request->res.status = response.status;
    request->res.reason = "-";
    if (!response.stream)
        request->res.content_length = response.body.size();
    else if (response.stream->totalBytes)
        request->res.content_length = *response.stream->totalBytes;
    for (const Header& it : response.headers) {
        const h2o_iovec_t name = h2o_strdup(&request->pool, it.name.data(), it.name.size());
        const h2o_iovec_t value = h2o_strdup(&request->pool, it.value.data(), it.value.size());
        h2o_add_header_by_str(
            &request->pool, &request->res.headers, name.base, name.len, 1, nullptr, value.base, value.len);
    }
}

//! Owns the listening socket, the h2o context and the requests in progress. Runs on one loop.
class H2oServer : public IHttpServer, public std::enable_shared_from_this<H2oServer> {
public:
    H2oServer(runtime::EventLoopPtr loop, Handler handler)
        : m_loop(std::move(loop))
        , m_handler(std::move(handler))
    {
    }

    core::Ret<ServerError> open(const ServerOptions& options)
    {
        configure(options);
        if (options.tls) {
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
        auto* guard = static_cast<ExchangePtr*>(h2o_mem_alloc_shared(&from->pool, sizeof(ExchangePtr), onRequestGone));
        new (guard) ExchangePtr(exchange);
        m_handler(toRequest(from), Responder([loop = m_loop, exchange](Response response) {
            loop->post(
                [exchange, response = std::move(response)]() mutable { respond(*exchange, std::move(response)); });
        }));
    }

private:
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
        h2o_start_response(exchange.request, &exchange.generator);
        sendNext(exchange);
    }

    //! Sends the next piece of the body or pulls the next part. h2o calls onProceed when the piece has been sent.
    static void sendNext(Exchange& exchange)
    {
        exchange.server->restartStallTimer(exchange);
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
            h2o_accept(&self->m_accept, socket);
        else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
            self->pauseAccepting();
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
        h2o_config_init(&m_config);
        m_config.max_request_entity_size = options.maxBodyBytes;
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(options.requestTimeout).count();
        m_config.http1.req_timeout = static_cast<std::uint64_t>(ms);
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
    core::Duration m_sendTimeout {};
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

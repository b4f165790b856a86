#pragma once

#include "http/internal/http2usage.h"
#include "http/internal/overloadpolicy.h"

#include <unordered_map>
#include <vector>

extern "C" {
#include <h2o.h>
}

namespace sardinerun::http {

//! One accepted connection.
struct Connection {
    h2o_socket_t* socket = nullptr; //!< null once h2o has closed it
    ConnectionTable* table = nullptr;
    core::TimePoint since {}; //!< as in ConnectionView
    std::size_t inProgress = 0; //!< requests whose answer is not complete
    std::size_t sending = 0; //!< those of them that are being answered
    std::size_t servedBytes = 0; //!< copies of requests, and parts of answers
    Http2Usage http2; //!< at the last look; zero for HTTP/1.1
    bool hasServed = false;
    bool hasHead = false; //!< the headers of the unfinished request are complete
    bool isClosing = false; //!< no further request on it may run
};
using ConnectionPtr = std::shared_ptr<Connection>;

//! The connections of all servers on one loop. Looks at them after each turn of the loop in which bytes may have
//! arrived, and closes those that the policy chooses.
class ConnectionTable : public runtime::ITurnObserver, public std::enable_shared_from_this<ConnectionTable> {
public:
    ConnectionTable(runtime::EventLoopPtr loop, const ConnectionLimits& limits)
        : m_loop(std::move(loop))
        , m_policy(limits)
    {
    }

    const ConnectionLimits& limits() const { return m_policy.limits(); }
    //! Raises the limit of unfinished bytes so that a single request with such a body fits.
    void allowBody(std::size_t maxBodyBytes);
    //! Registers the context of a server whose connections may speak HTTP/2. It must outlive the table's last turn, or
    //! be removed.
    void addContext(const h2o_context_t* context) { m_contexts.push_back(context); }
    void removeContext(const h2o_context_t* context) { std::erase(m_contexts, context); }
    //! Must be called before the connection is passed to h2o. May close an older connection; returns false if this one
    //! must be closed.
    bool add(h2o_socket_t* socket);
    ConnectionPtr find(h2o_socket_t* socket) const;
    //! Returns whether the request may run, and counts it if so.
    bool admit(Connection& connection, std::size_t requestBytes);
    void countRefused() { ++m_usage.refused; }
    void onTurn() override;
    ConnectionUsage usage();

private:
    static void onSocketClosed(void* data);
    ConnectionView viewOf(const Connection& it, std::size_t index) const;
    std::vector<ConnectionPtr> open() const;
    std::vector<ConnectionView> viewsOf(const std::vector<ConnectionPtr>& connections) const;
    bool isHeadTooLong(Connection& it) const;
    void lookAtHttp2();
    core::Duration sweepInterval() const;
    void sweep();
    void close(Connection& it, CloseReason reason);

    runtime::EventLoopPtr m_loop;
    OverloadPolicy m_policy;
    std::unordered_map<h2o_socket_t*, ConnectionPtr> m_connections;
    std::vector<const h2o_context_t*> m_contexts;
    std::size_t m_closing = 0; //!< connections that h2o has still to close
    ConnectionUsage m_usage;
    core::TimePoint m_sweptAt {};
};

} // namespace sardinerun::http

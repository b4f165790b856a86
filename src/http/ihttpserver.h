#pragma once

#include "http/httptypes.h"

#include <functional>
#include <memory>

namespace sardinerun::http {

//! Sends the response to one request. May be used from any thread; calls after the first are ignored, and so is a
//! response to a client that has disconnected.
class Responder {
public:
    using Send = std::function<void(Response)>;
    Responder() = default;
    explicit Responder(Send send)
        : m_send(std::move(send))
    {
    }

    void send(Response response)
    {
        if (auto send = std::exchange(m_send, nullptr))
            send(std::move(response));
    }

private:
    Send m_send;
};

using Handler = std::function<void(Request, Responder)>;

//! HTTP server with one listening socket, running on one loop.
class IHttpServer {
public:
    virtual ~IHttpServer() = default;
    virtual std::uint16_t port() const = 0;
    //! Stops accepting connections and shuts down open ones after the requests in progress. Must be called on the
    //! loop's thread.
    virtual void drain() = 0;
    //! Returns the number of requests whose response has not been sent completely.
    virtual std::size_t inProgress() const = 0;
};

using IHttpServerPtr = std::shared_ptr<IHttpServer>;

} // namespace sardinerun::http

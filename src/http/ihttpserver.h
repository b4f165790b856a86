#pragma once

#include "http/httptypes.h"

#include <functional>
#include <memory>

namespace sardinerun::http {

//! The open side of one request. Answers once, from any thread; a caller that has gone is ignored.
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

//! A listener on one loop.
class IHttpServer {
public:
    virtual ~IHttpServer() = default;
    virtual std::uint16_t port() const = 0;
    //! Stops taking connections and asks open ones to end after what is in progress. On the loop's thread.
    virtual void drain() = 0;
    //! Requests whose answer is not sent whole yet.
    virtual std::size_t inProgress() const = 0;
};

using IHttpServerPtr = std::shared_ptr<IHttpServer>;

} // namespace sardinerun::http

#pragma once

#include "http/ibodysource.h"
#include "runtime/eventloop.h"

namespace sardinerun::http {

//! Controls the exchange that receives a body.
class IClientExchange {
public:
    virtual ~IClientExchange() = default;
    virtual void resumeReading() = 0;
    virtual void cancelExchange() = 0;
};

//! The remainder of a response body received by the client. Only `pull` and `cancel` may be called outside the client's
//! loop.
class ClientBodySource : public IBodySource, public std::enable_shared_from_this<ClientBodySource> {
public:
    //! `exchange` must stay valid until `onEnd`.
    ClientBodySource(runtime::EventLoopPtr loop, IClientExchange* exchange);

    void pull(PartCallback callback) override;
    void cancel() override;

    void onBytes(const char* bytes, std::size_t size) { m_bytes.append(bytes, size); }
    //! Passes the received bytes or the end of the body to a pending callback, if any.
    void deliver();
    //! Records the end of the exchange, which may be deleted afterwards.
    void onEnd(BodyPart::State state);

private:
    runtime::EventLoopPtr m_loop;
    IClientExchange* m_exchange;
    BodyPart::State m_state = BodyPart::State::More;
    std::string m_bytes;
    PartCallback m_callback;
};

using ClientBodySourcePtr = std::shared_ptr<ClientBodySource>;

} // namespace sardinerun::http

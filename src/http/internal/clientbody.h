#pragma once

#include "http/ibodysource.h"
#include "runtime/eventloop.h"

namespace sardinerun::http {

//! What a body asks of the exchange that it arrives by.
class IBodyReader {
public:
    virtual ~IBodyReader() = default;
    virtual void resumeReading() = 0;
    virtual void stopExchange() = 0;
};

//! The rest of an answer that is read part by part. All but `pull` and `cancel` on the client's loop.
class ClientBody : public IBodySource, public std::enable_shared_from_this<ClientBody> {
public:
    //! `reader` stays until `onEnd`.
    ClientBody(runtime::EventLoopPtr loop, IBodyReader* reader);

    void pull(Taken taken) override;
    void cancel() override;

    void onBytes(const char* bytes, std::size_t size) { m_bytes.append(bytes, size); }
    //! Hands over what has come, if somebody waits for it.
    void deliver();
    //! The exchange is over.
    void onEnd(BodyPart::State state);

private:
    runtime::EventLoopPtr m_loop;
    IBodyReader* m_reader;
    BodyPart::State m_state = BodyPart::State::More;
    std::string m_bytes;
    Taken m_taken;
};

using ClientBodyPtr = std::shared_ptr<ClientBody>;

} // namespace sardinerun::http

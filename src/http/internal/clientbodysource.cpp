#include "http/internal/clientbodysource.h"

namespace sardinerun::http {

ClientBodySource::ClientBodySource(runtime::EventLoopPtr loop, IClientExchange* exchange)
    : m_loop(std::move(loop))
    , m_exchange(exchange)
{
}

void ClientBodySource::pull(PartCallback callback)
{
    m_loop->post([self = shared_from_this(), callback = std::move(callback)]() mutable {
        self->m_callback = std::move(callback);
        self->deliver();
    });
}

void ClientBodySource::cancel()
{
    m_loop->post([self = shared_from_this()] {
        self->m_callback = nullptr;
        if (self->m_exchange)
            self->m_exchange->cancelExchange();
    });
}

void ClientBodySource::deliver()
{
    if (!m_callback)
        return;
    const bool mustWait = m_bytes.empty() && m_state == BodyPart::State::More;
    if (!mustWait) {
        auto callback = std::exchange(m_callback, nullptr);
        callback({ m_state, std::exchange(m_bytes, {}) });
    }
    if (m_exchange)
        m_exchange->resumeReading();
}

void ClientBodySource::onEnd(BodyPart::State state)
{
    m_state = state;
    m_exchange = nullptr;
    deliver();
}

} // namespace sardinerun::http

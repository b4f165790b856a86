#include "http/internal/clientbody.h"

namespace sardinerun::http {

ClientBody::ClientBody(runtime::EventLoopPtr loop, IBodyReader* reader)
    : m_loop(std::move(loop))
    , m_reader(reader)
{
}

void ClientBody::pull(Taken taken)
{
    m_loop->post([self = shared_from_this(), taken = std::move(taken)]() mutable {
        self->m_taken = std::move(taken);
        self->deliver();
    });
}

void ClientBody::cancel()
{
    m_loop->post([self = shared_from_this()] {
        self->m_taken = nullptr;
        if (self->m_reader)
            self->m_reader->stopExchange();
    });
}

void ClientBody::deliver()
{
    if (!m_taken)
        return;
    const bool mustWait = m_bytes.empty() && m_state == BodyPart::State::More;
    if (!mustWait) {
        auto taken = std::exchange(m_taken, nullptr);
        taken({ m_state, std::exchange(m_bytes, {}) });
    }
    if (m_reader)
        m_reader->resumeReading();
}

void ClientBody::onEnd(BodyPart::State state)
{
    m_state = state;
    m_reader = nullptr;
    deliver();
}

} // namespace sardinerun::http

#pragma once

#include "http/connectionlimits.h"

#include <optional>
#include <vector>

namespace sardinerun::http {

//! State of one connection, as far as decisions need it.
struct ConnectionView {
    enum class Phase {
        Idle, //!< no byte of a request has arrived
        Receiving, //!< a request is not complete
        Serving, //!< a request is in progress
        Sending //!< the answer is being sent
    };
    std::size_t index = 0; //!< chosen by the caller
    Phase phase = Phase::Idle;
    std::size_t heldBytes = 0;
    core::TimePoint since {}; //!< start of the phase; of Sending: when the receiver last accepted bytes
    bool hasServed = false; //!< a request on this connection was answered
    std::size_t unfinishedBytes = 0; //!< part of `heldBytes`, while other requests are in progress (HTTP/2)
};

struct Closing {
    std::size_t index = 0;
    CloseReason reason = CloseReason::UnfinishedBytes;
};

//! Returns the bytes of a connection's unfinished requests.
std::size_t unfinishedBytesOf(const ConnectionView& it);

//! Decides which connections are closed and which requests are refused. Requests in progress are not interrupted,
//! unless their connection has unfinished requests, too, that are over the limit by themselves.
class OverloadPolicy {
public:
    explicit OverloadPolicy(ConnectionLimits limits)
        : m_limits(limits)
    {
    }

    const ConnectionLimits& limits() const { return m_limits; }

    bool isUnderPressure(std::size_t unfinishedBytes, std::size_t servedBytes) const;
    //! Returns the unfinished requests and stalled answers to close: the largest first, of equal ones the oldest, until
    //! an eighth of the limit is free. Connections with requests in progress come last. A single unfinished request is
    //! never closed.
    std::vector<Closing> relieve(const std::vector<ConnectionView>& views, core::TimePoint now) const;
    //! Returns the connection to close so that a further one may be opened, if any: the oldest that never sent a
    //! request within the grace time, else the one that has been idle, receiving or stalled for longest.
    std::optional<std::size_t> makeRoom(const std::vector<ConnectionView>& views, core::TimePoint now) const;
    //! Returns whether a complete request of this size may run. A request beside no other always may.
    bool admits(std::size_t requestBytes, std::size_t servedBytes) const;

private:
    ConnectionLimits m_limits;
};

} // namespace sardinerun::http

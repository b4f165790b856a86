#pragma once

#include "runtime/eventloop.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace sardinerun::http {

//! Who connects to the servers of a table. It decides the sizes of the connections' buffers.
enum class ListenerKind {
    Callers,
    CallersWithTls,
    Nodes //!< other nodes and load balancers, whose requests are short or few
};

//! Returns the receive buffer in the kernel that the servers request; the kernel doubles it.
int receiveBufferBytesOf(ListenerKind kind);
//! Returns the most that one connection takes besides the bytes of its requests: its buffers in the kernel, in h2o and
//! in OpenSSL.
std::size_t bytesOfConnection(ListenerKind kind);

//! Limits of all servers on one loop. The defaults suit a VM with 512 MB.
struct ConnectionLimits {
    ListenerKind kind = ListenerKind::Callers;
    std::size_t unfinishedBytes = std::size_t(64) << 20; //!< received of requests that are not complete
    std::size_t servedBytes = std::size_t(64) << 20; //!< of requests in progress and of answers being sent
    std::size_t headBytes = std::size_t(32) << 10; //!< of one request's line and headers
    std::size_t connections = 1024;
    //! A connection without a request is closed first only if it is older: the request of a younger one may be on its
    //! way.
    core::Duration graceTime = std::chrono::milliseconds(100);
    //! Pressure closes answers whose receiver has accepted nothing for this long.
    core::Duration stallTime = std::chrono::seconds(1);
};

//! What the servers of one table may take of a VM.
struct ListenerShare {
    ListenerKind kind = ListenerKind::Callers;
    std::size_t connectionBytes = 0; //!< for `bytesOfConnection` of all connections
    std::size_t unfinishedBytes = 0;
    std::size_t servedBytes = 0;
    std::size_t descriptors = 0;
};

//! Returns the limits that keep to a share. Some connections and one request with a body of a few bytes are always
//! allowed.
ConnectionLimits connectionLimitsFor(const ListenerShare& share);

enum class CloseReason { HeadTooLong, UnfinishedBytes, StalledAnswer, ConnectionLimit };
constexpr std::size_t closeReasons = 4;
const char* nameOf(CloseReason it);

struct ConnectionUsage {
    std::size_t connections = 0;
    std::size_t unfinishedBytes = 0;
    std::size_t servedBytes = 0;
    std::uint64_t refused = 0; //!< complete requests answered with 503 for lack of memory
    std::array<std::uint64_t, closeReasons> closed {}; //!< by CloseReason
};

class ConnectionTable;
using ConnectionTablePtr = std::shared_ptr<ConnectionTable>;

//! Returns the buffer that h2o needs for a request with headers and a body of these sizes.
std::size_t bufferBytesFor(std::size_t headBytes, std::size_t bodyBytes);

//! Creates the table of the connections of all servers on this loop, which enforces the limits. Must be called before
//! the loop starts or on its thread.
ConnectionTablePtr createConnectionTable(const runtime::EventLoopPtr& loop, const ConnectionLimits& limits);
//! Must be called on the loop's thread.
ConnectionUsage usageOf(ConnectionTable& table);

} // namespace sardinerun::http

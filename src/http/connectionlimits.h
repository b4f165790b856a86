#pragma once

#include "runtime/eventloop.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace sardinerun::http {

//! Limits of all servers on one loop. The defaults suit a VM with 512 MB.
struct ConnectionLimits {
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

//! Returns the limits for a VM with this memory and number of descriptors, divided among `tables` tables.
//! docs/CAPACITY.md has the arithmetic.
ConnectionLimits connectionLimitsFor(std::size_t memoryBytes, std::size_t descriptors, std::size_t tables);

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

//! Creates the table of the connections of all servers on this loop, which enforces the limits. Must be called before
//! the loop starts or on its thread.
ConnectionTablePtr createConnectionTable(const runtime::EventLoopPtr& loop, const ConnectionLimits& limits);
//! Must be called on the loop's thread.
ConnectionUsage usageOf(ConnectionTable& table);

} // namespace sardinerun::http

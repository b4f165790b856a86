#pragma once

#include <cstddef>
#include <functional>

extern "C" {
#include <h2o.h>
}

namespace sardinerun::http {

//! What a connection that speaks HTTP/2 holds for its streams, besides the buffers of its socket.
struct Http2Usage {
    std::size_t unfinishedBytes = 0; //!< of streams whose request is not complete
    std::size_t servedBytes = 0; //!< of other streams
};

//! Calls `function` for each connection of a server that speaks HTTP/2. The function must not change connections.
void forEachHttp2Connection(
    const h2o_context_t& context, const std::function<void(h2o_socket_t*, const Http2Usage&)>& function);

} // namespace sardinerun::http

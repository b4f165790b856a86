#pragma once

#include "core/ret.h"
#include "http/connectionlimits.h"
#include "http/ihttpserver.h"
#include "http/problem.h"
#include "runtime/eventloop.h"

#include <string>

namespace sardinerun::http {

struct TlsFiles {
    std::string certificate; //!< PEM file
    std::string key; //!< PEM file
};

struct ServerOptions {
    core::HostPort listen; //!< port 0 selects any free port
    std::size_t maxBodyBytes = std::size_t(1) << 20;
    core::Duration requestTimeout = std::chrono::seconds(10); //!< for receiving a complete request
    core::Duration sendTimeout
        = std::chrono::seconds(30); //!< a client that accepts no bytes for this long is disconnected
    //! Send buffer of a connection in the kernel, which doubles it. An answer that is not read stays there. A small one
    //! slows down long answers.
    int sendBufferBytes = 64 << 10;
    std::size_t keptCopies = 1; //!< of a body, by the handler and what it calls while the request is served
    //! What the refusal of a complete request, for lack of memory, says of it: `No` is answered with 503, `Unknown`
    //! with 504, since an earlier request of the same content may have run.
    Executed refusedRequest = Executed::No;
    std::optional<TlsFiles> tls;
    ConnectionTablePtr connections; //!< shared by the servers of a loop; if null, the server has its own
};

struct ServerError {
    enum class Code { BadAddress, CannotListen, BadTls };
    Code code;
    std::string detail;
};

//! Creates an HTTP/1.1 and HTTP/2 server based on h2o. Must be called before the loop starts.
core::RetVal<IHttpServerPtr, ServerError> createServer(
    const runtime::EventLoopPtr& loop, const ServerOptions& options, Handler handler);

} // namespace sardinerun::http

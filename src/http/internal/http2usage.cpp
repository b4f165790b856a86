//! h2o collects the bodies of HTTP/2 streams in buffers that its public interface does not show. Its private header,
//! which its development package contains, is read here and nowhere else.

#include "http/internal/http2usage.h"

#include "http/internal/bufferbytes.h"

extern "C" {
#include <h2o/http2.h>
#include <h2o/http2_internal.h>
}

#if H2O_LIBRARY_VERSION_MAJOR != 0 || H2O_LIBRARY_VERSION_MINOR != 13
#error "check the layout of http/internal/h2oprivate/khash.h for this version of h2o"
#endif

namespace sardinerun::http {

namespace {

//! A stream, and the first chunk of its memory pool.
constexpr std::size_t bytesOfStream = sizeof(h2o_http2_stream_t) + 4096;

bool isUnfinished(const h2o_http2_stream_t& it)
{
    return it.state <= H2O_HTTP2_STREAM_STATE_RECV_BODY;
}

Http2Usage usageOf(const h2o_http2_conn_t& connection)
{
    Http2Usage usage;
    for (khint_t n = 0; n < kh_end(connection.streams); ++n) {
        if (!kh_isUsed_h2o_http2_stream_t(connection.streams, n))
            continue;
        const h2o_http2_stream_t& it = *kh_val(connection.streams, n);
        const std::size_t bytes = bytesOfStream + allocatedBytes(it._req_body);
        (isUnfinished(it) ? usage.unfinishedBytes : usage.servedBytes) += bytes;
    }
    usage.unfinishedBytes += allocatedBytes(connection._headers_unparsed);
    usage.servedBytes += allocatedBytes(connection._write.buf) + allocatedBytes(connection._write.buf_in_flight);
    return usage;
}

} // namespace

void forEachHttp2Connection(
    const h2o_context_t& context, const std::function<void(h2o_socket_t*, const Http2Usage&)>& function)
{
    const h2o_linklist_t* anchor = &context.http2._conns;
    for (const h2o_linklist_t* it = anchor->next; it != anchor; it = it->next) {
        const auto* connection = reinterpret_cast<const h2o_http2_conn_t*>(
            reinterpret_cast<const char*>(it) - offsetof(h2o_http2_conn_t, _conns));
        function(connection->sock, usageOf(*connection));
    }
}

} // namespace sardinerun::http

#pragma once

#include "http/ihttpclient.h"
#include "http/internal/clientbodysource.h"

#include <deque>

extern "C" {
#include <h2o.h>
#include <h2o/http1client.h>
#include <h2o/socketpool.h>
}

namespace sardinerun::http {

class H2oClient;

struct Pool;

//! A serialized `LateConnectionRequest`.
struct LateConnectionBytes {
    core::TimePoint openedAfter;
    std::string bytes;
};

//! One request in progress, until its response or stream has ended.
struct Call : IClientExchange {
    void resumeReading() override;
    void cancelExchange() override;

    H2oClient* owner = nullptr;
    core::HostPort to;
    Pool* pool = nullptr;
    std::size_t maxConnections = 0; //!< to this address; 0: no limit
    std::size_t heldBytes = 0; //!< received of the body
    bool hasHead = false; //!< the headers of the answer are complete
    bool isActive = false; //!< otherwise it waits for another call to end
    ClientCallback callback;
    std::string requestBytes; //!< serialized request
    std::optional<LateConnectionBytes> lateConnectionBytes; //!< replaces `requestBytes` on such a connection
    h2o_iovec_t buffer {};
    h2o_http1client_t* client = nullptr;
    runtime::TimerId timer;
    core::TimePoint deadline {}; //!< of the whole exchange
    ClientResponse response;
    std::size_t maxBytes = 0;
    std::size_t streamAboveBytes = 0; //!< 0 disables streaming
    std::optional<std::size_t> contentLength;
    bool isStreamed = false;
    std::weak_ptr<ClientBodySource> stream; //!< of a streamed response; expired once its receiver has dropped it
    h2o_socket_cb pausedReadCallback = nullptr; //!< set while reading is paused
    bool isHeadRequest = false;
    bool isSent = false;
    bool isChunked = false;
};

//! Connection pool of one address.
struct Pool {
    h2o_socketpool_t sockets {};
    std::size_t inUse = 0; //!< calls in progress, including those that wait for a connection
    std::size_t active = 0; //!< calls that have a connection or are connecting
    std::deque<Call*> waiting; //!< for one of the others to end
    core::TimePoint lastUsedAt {};
};

//! Returns the bytes of a request with this target and body.
std::string serialize(const ClientRequest& request, const std::string& target, const std::string& body);

} // namespace sardinerun::http

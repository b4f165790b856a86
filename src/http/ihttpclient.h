#pragma once

#include "core/ret.h"
#include "http/httptypes.h"

#include <functional>
#include <memory>

namespace sardinerun::http {

using ClientResult = core::RetVal<ClientResponse, ClientError>;
using ClientCallback = std::function<void(ClientResult)>;

//! Sends HTTP requests from one loop. It never retries a request.
class IHttpClient {
public:
    virtual ~IHttpClient() = default;

    //! Sends the request. The callback runs on the client's loop, never before `send` has returned.
    virtual void send(ClientRequest request, ClientCallback callback) = 0;
    //! Returns how many answers were cut because they, or all answers together, were too large.
    virtual std::uint64_t tooLarge() const { return 0; }
};

using IHttpClientPtr = std::shared_ptr<IHttpClient>;

} // namespace sardinerun::http

#pragma once

#include "http/ihttpclient.h"
#include "runtime/eventloop.h"

namespace sardinerun::http {

//! Limits of all answers that a client receives at the same time. The defaults suit a VM with 512 MB.
struct AnswerLimits {
    std::size_t totalBytes = std::size_t(64) << 20; //!< of the bodies; the largest is cut, unless it is the only one
    std::size_t headBytes = std::size_t(64) << 10; //!< of the status line and headers of one answer
};

//! Creates an HTTP/1.1 client based on h2o, with one connection pool for each address.
IHttpClientPtr createClient(const runtime::EventLoopPtr& loop, const AnswerLimits& limits = {});

} // namespace sardinerun::http

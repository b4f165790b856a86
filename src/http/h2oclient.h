#pragma once

#include "http/ihttpclient.h"
#include "runtime/eventloop.h"

namespace sardinerun::http {

//! Creates an HTTP/1.1 client based on h2o, with one connection pool for each address.
IHttpClientPtr createClient(const runtime::EventLoopPtr& loop);

} // namespace sardinerun::http

#pragma once

#include "http/ihttpclient.h"
#include "runtime/eventloop.h"

namespace sardinerun::http {

//! Client for HTTP/1.1 on the h2o library, with a pool of connections for each address.
IHttpClientPtr createClient(const runtime::EventLoopPtr& loop);

} // namespace sardinerun::http

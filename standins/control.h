#pragma once

#include "codec/json.h"
#include "http/ihttpclient.h"
#include "http/ihttpserver.h"
#include "runtime/eventloop.h"
#include "services/servicestypes.h"

#include <string>

//! Small stand-ins for what surrounds sardinerun, with switches for what fails.
namespace sardinerun::standins {

http::Response jsonResponse(int status, const Json::Value& value);

//! Opens a server on loopback; ends the program with a message when that fails.
http::IHttpServerPtr listenOrDie(const runtime::EventLoopPtr& loop, std::uint16_t port, http::Handler handler);

//! Tells the platform stand-in of VMs, again and again until it has taken them.
void announce(const runtime::EventLoopPtr& loop, const http::IHttpClientPtr& client, const core::HostPort& platform,
    const std::vector<services::VmInfo>& vms);

} // namespace sardinerun::standins

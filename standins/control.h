#pragma once

#include "codec/json.h"
#include "http/ihttpclient.h"
#include "http/ihttpserver.h"
#include "runtime/eventloop.h"
#include "services/servicestypes.h"

#include <string>

//! Stand-ins of the services around sardinerun, with control endpoints that inject faults.
namespace sardinerun::standins {

http::Response jsonResponse(int status, const Json::Value& value);

//! Opens a server on loopback. Prints an error and exits with status 1 when the port cannot be opened.
http::IHttpServerPtr listenOrExit(const runtime::EventLoopPtr& loop, std::uint16_t port, http::Handler handler);

//! Registers VMs with the platform stand-in; retries until it accepts them.
void registerVms(const runtime::EventLoopPtr& loop, const http::IHttpClientPtr& client, const core::HostPort& platform,
    const std::vector<services::VmInfo>& vms);

} // namespace sardinerun::standins

#pragma once

#include "http/ihttpclient.h"
#include "platform/itablestore.h"
#include "platform/ivmlist.h"
#include "platform/iworkerport.h"

namespace sardinerun::platform {

//! Timeouts of the exchanges with the platform.
struct PlatformTimeouts {
    core::Duration store = std::chrono::milliseconds(1500);
    core::Duration worker = std::chrono::milliseconds(1000);
};

//! Adapters for the protocols in docs/PLATFORM.md.
ITableStorePtr createTableStore(http::IHttpClientPtr client, core::HostPort platform, PlatformTimeouts timeouts);
IVmListPtr createVmList(http::IHttpClientPtr client, core::HostPort platform, PlatformTimeouts timeouts);
IWorkerPortPtr createWorkerPort(http::IHttpClientPtr client, PlatformTimeouts timeouts);

} // namespace sardinerun::platform

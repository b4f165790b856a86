#pragma once

#include "http/ihttpclient.h"
#include "services/itablestore.h"
#include "services/ivmlist.h"
#include "services/iworkerport.h"

namespace sardinerun::services {

//! Timeouts of the exchanges with the platform.
struct ServiceTimeouts {
    core::Duration store = std::chrono::milliseconds(1500);
    core::Duration worker = std::chrono::milliseconds(1000);
};

//! Adapters for the protocols in docs/PLATFORM.md.
ITableStorePtr createTableStore(http::IHttpClientPtr client, core::HostPort platform, ServiceTimeouts timeouts);
IVmListPtr createVmList(http::IHttpClientPtr client, core::HostPort platform, ServiceTimeouts timeouts);
IWorkerClientPtr createWorkerClient(http::IHttpClientPtr client, ServiceTimeouts timeouts);

} // namespace sardinerun::services

#pragma once

#include "http/ihttpclient.h"
#include "services/itablestore.h"
#include "services/ivmlist.h"
#include "services/iworkerclient.h"

namespace sardinerun::services {

//! Timeouts of requests to the platform's table service and VM list (`store`) and to workers.
struct ServiceTimeouts {
    core::Duration store = std::chrono::milliseconds(1500);
    core::Duration worker = std::chrono::milliseconds(1000);
};

//! Create HTTP clients for the platform's protocols, which are described in docs/PLATFORM.md.
ITableStorePtr createTableStore(http::IHttpClientPtr client, core::HostPort platform, ServiceTimeouts timeouts);
IVmListPtr createVmList(http::IHttpClientPtr client, core::HostPort platform, ServiceTimeouts timeouts);
IWorkerClientPtr createWorkerClient(http::IHttpClientPtr client, ServiceTimeouts timeouts);

} // namespace sardinerun::services

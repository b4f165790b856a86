#pragma once

#include "http/ihttpclient.h"
#include "http/ihttpserver.h"
#include "once/claimtypes.h"
#include "routing/routingtypes.h"
#include "runtime/task.h"
#include "telemetry/metrics.h"
#include "telemetry/trace.h"

#include <map>
#include <memory>
#include <variant>

namespace sardinerun::routing {

//! Claims requests that may not be repeated, and tells how they ended.
class IClaimClient {
public:
    virtual ~IClaimClient() = default;
    using Claimed = std::function<void(once::ClaimResult result, once::StoredAnswer answer)>;
    //! The callback comes once, on the router's loop. Without an answer in time it is NotPersisted.
    virtual void claim(const once::RequestKey& key, std::uint64_t fingerprint, Claimed callback) = 0;
    virtual void finish(const once::RequestKey& key, once::StoredAnswer answer) = 0;
    //! It certainly did not run.
    virtual void abandon(const once::RequestKey& key) = 0;
    //! It may have run: the claim stands, and nobody runs it again.
    virtual void leaveOpen(const once::RequestKey& key) = 0;
};

using IClaimClientPtr = std::shared_ptr<IClaimClient>;

//! A caller's request to a service.
struct ServiceRequest {
    http::Request request;
    http::Responder responder;
    configuration::Service service;
    configuration::Route route;
    std::string path; //!< below the service
    core::TeamId team;
    telemetry::TraceContext trace;
};

//! What the router works by, as of now.
struct RouterUpdate {
    std::vector<services::VmInfo> runners; //!< of all services
    std::set<core::PartitionId> shares; //!< of the runners' slots
    std::set<core::PartitionId> releasing; //!< shares to be given up once they are idle
    core::TimePoint sharesUntil {};
    std::uint32_t partitionCount = 0;
    configuration::Preset acting; //!< in force until `actingUntil`
    core::TimePoint actingUntil {};
    configuration::Preset between; //!< otherwise
};

//! Refuses new requests, and goes on with those in progress.
struct StopAccepting { };

using RouterMessage = std::variant<ServiceRequest, RouterUpdate, StopAccepting>;

//! Told of the router's state.
struct RouterHooks {
    //! The news were taken over: nothing acts under the former preset any more.
    std::function<void()> updateApplied = [] {};
    std::function<void(core::PartitionId)> shareIdle = [](core::PartitionId) {};
    std::function<void()> idle = [] {}; //!< after StopAccepting, once no request is in progress
};

class IRouter {
public:
    virtual ~IRouter() = default;
    virtual runtime::Address<RouterMessage> routerAddress() = 0;
};

using IRouterPtr = std::shared_ptr<IRouter>;

//! The router is a task on `loop`; it owns its client.
IRouterPtr createRouter(runtime::ILoopPtr loop, http::IHttpClientPtr client, IClaimClientPtr once,
    telemetry::MetricsPtr metrics, RouterHooks hooks, std::size_t maxResponseBytes);

//! The problem document (RFC 9457) for a request without an answer of a runner.
http::Response toResponse(const FailureAnswer& answer);

} // namespace sardinerun::routing

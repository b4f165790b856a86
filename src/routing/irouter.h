#pragma once

#include "http/ihttpclient.h"
#include "http/ihttpserver.h"
#include "once/oncetypes.h"
#include "routing/routingtypes.h"
#include "runtime/task.h"
#include "telemetry/metrics.h"
#include "telemetry/trace.h"

#include <map>
#include <memory>
#include <variant>

namespace sardinerun::routing {

//! Claims requests that may not be repeated, and tells how they ended.
class IOncePort {
public:
    virtual ~IOncePort() = default;
    using Claimed = std::function<void(once::ClaimResult result, once::StoredAnswer answer)>;
    //! The callback comes once, on the router's loop. Without an answer in time it is NotKept.
    virtual void claim(const once::OnceKey& key, std::uint64_t fingerprint, Claimed callback) = 0;
    virtual void finish(const once::OnceKey& key, once::StoredAnswer answer) = 0;
    //! It certainly did not run.
    virtual void abandon(const once::OnceKey& key) = 0;
    //! It may have run: the claim stands, and nobody runs it again.
    virtual void leaveOpen(const once::OnceKey& key) = 0;
};

using IOncePortPtr = std::shared_ptr<IOncePort>;

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
struct RouterNews {
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
struct StopTaking { };

using RouterMessage = std::variant<ServiceRequest, RouterNews, StopTaking>;

//! Told of the router's state.
struct RouterHooks {
    //! The news were taken over: nothing acts under the former preset any more.
    std::function<void()> newsTaken = [] {};
    std::function<void(core::PartitionId)> shareIdle = [](core::PartitionId) {};
    std::function<void()> idle = [] {}; //!< after StopTaking, once no request is in progress
};

class IRouter {
public:
    virtual ~IRouter() = default;
    virtual runtime::Address<RouterMessage> routerAddress() = 0;
};

using IRouterPtr = std::shared_ptr<IRouter>;

//! The router is a task on `loop`; it owns its client.
IRouterPtr createRouter(runtime::ILoopPtr loop, http::IHttpClientPtr client, IOncePortPtr once,
    telemetry::MetricsPtr metrics, RouterHooks hooks, std::size_t maxResponseBytes);

//! The problem document (RFC 9457) for a request without an answer of a runner.
http::Response toResponse(const FailureAnswer& answer);

} // namespace sardinerun::routing

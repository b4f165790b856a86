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

//! Claims the right to run requests that are not repeatable, and reports how they ended.
class IClaimClient {
public:
    virtual ~IClaimClient() = default;
    using Claimed = std::function<void(once::ClaimResult result, once::StoredAnswer answer)>;
    //! The callback runs exactly once, on the router's loop. After a timeout the result is NotPersisted.
    virtual void claim(const once::RequestKey& key, std::uint64_t fingerprint, Claimed callback) = 0;
    //! The request ran and has an answer.
    virtual void finish(const once::RequestKey& key, once::StoredAnswer answer) = 0;
    //! The request certainly did not run, so the claim is released.
    virtual void abandon(const once::RequestKey& key) = 0;
    //! The request may have run: the claim stays in place, so the request is not run again.
    virtual void leaveOpen(const once::RequestKey& key) = 0;
};

using IClaimClientPtr = std::shared_ptr<IClaimClient>;

//! A caller's request to a service.
struct ServiceRequest {
    http::Request request;
    http::Responder responder;
    configuration::Service service;
    configuration::Route route;
    std::string path; //!< relative to the service's path prefix
    core::TeamId team;
    telemetry::TraceContext trace;
};

//! The current configuration, runners and slot shares for the router.
struct RouterUpdate {
    std::vector<services::VmInfo> runners; //!< runners of all services
    std::set<core::PartitionId> shares; //!< shares of the runners' slots that this node may use
    std::set<core::PartitionId> releasing; //!< shares to be released once they are idle
    core::TimePoint sharesUntil {}; //!< end of the lease of the shares
    std::uint32_t partitionCount = 0;
    configuration::Preset activePreset; //!< in force until `activeUntil`
    core::TimePoint activeUntil {};
    configuration::Preset transitionPreset; //!< applies after `activeUntil`
};

//! Makes the router reject new requests and finish those in progress.
struct StopAccepting { };

using RouterMessage = std::variant<ServiceRequest, RouterUpdate, StopAccepting>;

//! Callbacks of the router.
struct RouterHooks {
    //! A RouterUpdate was applied, so the former preset is not used any more.
    std::function<void()> updateApplied = [] {};
    //! A share to be released is idle.
    std::function<void(core::PartitionId)> shareIdle = [](core::PartitionId) {};
    std::function<void()> idle = [] {}; //!< after StopAccepting, when no request is in progress
};

class IRouter {
public:
    virtual ~IRouter() = default;
    virtual runtime::Address<RouterMessage> routerAddress() = 0;
};

using IRouterPtr = std::shared_ptr<IRouter>;

//! Creates a router that runs as a task on `loop` and owns `client`.
IRouterPtr createRouter(runtime::ILoopPtr loop, http::IHttpClientPtr client, IClaimClientPtr claimClient,
    telemetry::MetricsPtr metrics, RouterHooks hooks, std::size_t maxResponseBytes);

//! Returns the problem document (RFC 9457) for a request that has no answer from a runner.
http::Response toResponse(const FailureAnswer& answer);

} // namespace sardinerun::routing

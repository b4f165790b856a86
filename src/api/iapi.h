#pragma once

#include "http/ihttpserver.h"
#include "node/nodetypes.h"
#include "node/partitionclient.h"
#include "routing/irouter.h"

#include <memory>

//! The HTTP interface for callers and operators. Described in docs/API.md.
namespace sardinerun::api {

//! Tasks and functions that the interface uses to handle requests.
struct ApiDependencies {
    node::PartitionClientPtr partitionClient;
    runtime::Address<routing::RouterMessage> router;
    std::function<void(node::CellMessage)> toCell;
    std::function<void(runtime::Reply<std::vector<partition::PartitionView>>)> readPartitions;
    telemetry::MetricsPtr metrics;
};

struct ApiOptions {
    bool mayAdministerFromLoopback = false;
    int traceSampleInterval = 100; //!< every n-th request to a service is traced if it has no trace context; 0: none
};

class IApi {
public:
    virtual ~IApi() = default;
    //! Handles a request of a caller or operator. Called on the interface's loop.
    virtual void handle(http::Request request, http::Responder responder) = 0;
    virtual runtime::Address<node::CellUpdatePtr> updateAddress() = 0;
    //! Makes readiness checks fail, so that the load balancer sends requests to other nodes.
    virtual void setStopping() = 0;
};

using IApiPtr = std::shared_ptr<IApi>;

IApiPtr createApi(runtime::ILoopPtr loop, ApiDependencies dependencies, ApiOptions options);

} // namespace sardinerun::api

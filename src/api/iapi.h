#pragma once

#include "http/ihttpserver.h"
#include "node/nodetypes.h"
#include "node/partitionclient.h"
#include "routing/irouter.h"

#include <memory>

//! The interface of callers and operators over HTTP. Described in docs/API.md.
namespace sardinerun::api {

//! Where the interface sends what it does not answer itself.
struct ApiPorts {
    node::PartitionClientPtr partitionClient;
    runtime::Address<routing::RouterMessage> router;
    std::function<void(node::CellMessage)> toCell;
    std::function<void(runtime::Reply<std::vector<partition::PartitionView>>)> readPartitions;
    telemetry::MetricsPtr metrics;
};

struct ApiOptions {
    bool mayAdministerFromLoopback = false;
    int traceOneIn = 100; //!< requests without a trace of their own: one in so many is traced
};

class IApi {
public:
    virtual ~IApi() = default;
    //! A request of a caller or operator; on the interface's loop.
    virtual void handle(http::Request request, http::Responder responder) = 0;
    virtual runtime::Address<node::CellUpdatePtr> updateAddress() = 0;
    //! Not ready any more: the balancer should send requests elsewhere.
    virtual void setStopping() = 0;
};

using IApiPtr = std::shared_ptr<IApi>;

IApiPtr createApi(runtime::ILoopPtr loop, ApiPorts ports, ApiOptions options);

} // namespace sardinerun::api

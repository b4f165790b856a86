#pragma once

#include "fleet/fleettypes.h"

#include <functional>
#include <memory>

namespace sardinerun::fleet {

//! The worker, and the address of its current incarnation, to which an order is sent.
struct WorkerAddress {
    core::VmId id;
    core::HostPort address;
};

//! Sends orders to workers. Callbacks run on the caller's loop, never before the call has returned.
class IWorkerOrders {
public:
    virtual ~IWorkerOrders() = default;
    virtual void start(const WorkerAddress& to, const StartOrder& order, std::function<void(OrderResult)> callback) = 0;
    virtual void stop(const WorkerAddress& to, const StopOrder& order, std::function<void(OrderResult)> callback) = 0;
    virtual void renewLease(
        const WorkerAddress& to, const LeaseRenewal& order, std::function<void(LeaseRenewalResult)> callback)
        = 0;
    virtual void limitCpu(
        const WorkerAddress& to, const CpuLimitOrder& order, std::function<void(OrderResult)> callback)
        = 0;
};

using IWorkerOrdersPtr = std::shared_ptr<IWorkerOrders>;

//! Sends requests to the advice service from this machine. The service accepts one request per machine at a time.
class IAdviceClient {
public:
    virtual ~IAdviceClient() = default;
    virtual void requestAdvice(const AdviceRequest& request, std::function<void(AdviceResult)> callback) = 0;
};

using IAdviceClientPtr = std::shared_ptr<IAdviceClient>;

} // namespace sardinerun::fleet

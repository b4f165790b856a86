#pragma once

#include "fleet/fleettypes.h"

#include <functional>
#include <memory>

namespace sardinerun::fleet {

//! Which life of which worker an order is for.
struct WorkerAddress {
    core::VmId id;
    core::HostPort address;
};

//! Gives orders to workers. Callbacks run on the caller's loop, never before the call has returned.
class IWorkerOrders {
public:
    virtual ~IWorkerOrders() = default;
    virtual void start(const WorkerAddress& to, const StartOrder& order, std::function<void(OrderResult)> callback) = 0;
    virtual void stop(const WorkerAddress& to, const StopOrder& order, std::function<void(OrderResult)> callback) = 0;
    virtual void hold(
        const WorkerAddress& to, const LeaseRenewal& order, std::function<void(LeaseRenewalResult)> callback)
        = 0;
    virtual void pace(const WorkerAddress& to, const CpuLimitOrder& order, std::function<void(OrderResult)> callback)
        = 0;
};

using IWorkerOrdersPtr = std::shared_ptr<IWorkerOrders>;

//! Asks the advice service from this machine, which serves one question of a machine at a time.
class IAdviceClient {
public:
    virtual ~IAdviceClient() = default;
    virtual void ask(const AdviceRequest& question, std::function<void(AdviceResult)> callback) = 0;
};

using IAdviceClientPtr = std::shared_ptr<IAdviceClient>;

} // namespace sardinerun::fleet

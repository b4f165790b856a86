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
    virtual void hold(const WorkerAddress& to, const HoldOrder& order, std::function<void(HoldResult)> callback) = 0;
    virtual void pace(const WorkerAddress& to, const PaceOrder& order, std::function<void(OrderResult)> callback) = 0;
};

using IWorkerOrdersPtr = std::shared_ptr<IWorkerOrders>;

//! Asks the advice service from this machine, which serves one question of a machine at a time.
class IAdvicePort {
public:
    virtual ~IAdvicePort() = default;
    virtual void ask(const AdviceQuestion& question, std::function<void(AdviceResult)> callback) = 0;
};

using IAdvicePortPtr = std::shared_ptr<IAdvicePort>;

} // namespace sardinerun::fleet

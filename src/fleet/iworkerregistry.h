#pragma once

#include "fleet/fleettypes.h"

#include <functional>
#include <memory>

namespace sardinerun::fleet {

//! Follows the register in which workers enter themselves.
class IWorkerRegistry {
public:
    virtual ~IWorkerRegistry() = default;
    //! Tells all workers whose entries can be read, at first and after each change.
    virtual void start(std::function<void(const std::vector<WorkerEntry>&)> changed) = 0;
    virtual void stop() = 0;
};

using IWorkerRegistryPtr = std::shared_ptr<IWorkerRegistry>;

} // namespace sardinerun::fleet

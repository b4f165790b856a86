#pragma once

#include "fleet/fleettypes.h"

#include <functional>
#include <memory>

namespace sardinerun::fleet {

//! Follows the registry in which workers register themselves.
class IWorkerRegistry {
public:
    virtual ~IWorkerRegistry() = default;
    //! Reports all workers with readable entries, initially and after each change.
    virtual void start(std::function<void(const std::vector<WorkerEntry>&)> changed) = 0;
    virtual void stop() = 0;
};

using IWorkerRegistryPtr = std::shared_ptr<IWorkerRegistry>;

} // namespace sardinerun::fleet

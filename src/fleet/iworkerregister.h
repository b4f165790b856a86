#pragma once

#include "fleet/fleettypes.h"

#include <functional>
#include <memory>

namespace sardinerun::fleet {

//! Follows the register in which workers enter themselves.
class IWorkerRegister {
public:
    virtual ~IWorkerRegister() = default;
    //! Tells all workers whose entries can be read, at first and after each change.
    virtual void start(std::function<void(const std::vector<WorkerEntry>&)> changed) = 0;
    virtual void stop() = 0;
};

using IWorkerRegisterPtr = std::shared_ptr<IWorkerRegister>;

} // namespace sardinerun::fleet

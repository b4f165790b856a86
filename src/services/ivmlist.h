#pragma once

#include "services/servicestypes.h"

#include <functional>
#include <memory>

namespace sardinerun::services {

//! Client of the platform's list of live and leaving VMs. The list lags behind the actual state.
class IVmList {
public:
    virtual ~IVmList() = default;
    virtual void list(std::function<void(VmsResult)> callback) = 0;
};

using IVmListPtr = std::shared_ptr<IVmList>;

} // namespace sardinerun::services

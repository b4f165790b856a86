#pragma once

#include "services/servicestypes.h"

#include <functional>
#include <memory>

namespace sardinerun::services {

//! The platform's list of live and leaving VMs, which lags behind the truth.
class IVmList {
public:
    virtual ~IVmList() = default;
    virtual void list(std::function<void(VmsResult)> callback) = 0;
};

using IVmListPtr = std::shared_ptr<IVmList>;

} // namespace sardinerun::services

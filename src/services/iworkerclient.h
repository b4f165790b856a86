#pragma once

#include "services/servicestypes.h"

#include <functional>
#include <memory>

namespace sardinerun::services {

//! Client of the workers. Hides from callers whether a worker fences by epoch or by time.
class IWorkerClient {
public:
    virtual ~IWorkerClient() = default;
    virtual void sync(const core::HostPort& worker, WorkerSync sync, std::function<void(SyncResult)> callback) = 0;
};

using IWorkerClientPtr = std::shared_ptr<IWorkerClient>;

} // namespace sardinerun::services

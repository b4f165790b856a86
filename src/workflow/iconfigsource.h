#pragma once

#include "workflow/workflowtypes.h"

#include <functional>
#include <memory>

namespace sardinerun::workflow {

//! Follows the operators' configuration. Reports each newer version once, and never an older version after
//! a newer one.
class IConfigSource {
public:
    virtual ~IConfigSource() = default;
    virtual void start(std::function<void(QueueConfigPtr)> changed) = 0;
};

using IConfigSourcePtr = std::shared_ptr<IConfigSource>;

} // namespace sardinerun::workflow

#pragma once

#include "workflow/workflowtypes.h"

#include <functional>
#include <memory>
#include <optional>

namespace sardinerun::workflow {

//! Callbacks of a configuration source.
struct ConfigSourceHooks {
    std::function<void(QueueConfigPtr)> changed; //!< a version was read
    //! The versions reported so far include all changes up to this time.
    std::function<void(core::TimePoint)> confirmed = [](core::TimePoint) {};
    std::function<void(bool isUp)> availability = [](bool) {};
};

//! Follows the operators' configuration.
class IConfigSource {
public:
    virtual ~IConfigSource() = default;
    virtual void start(ConfigSourceHooks hooks) = 0;
    //! Decodes a document of the source that another node has passed on; null if it cannot be read.
    virtual QueueConfigPtr decode(const std::string& document) const = 0;
};

using IConfigSourcePtr = std::shared_ptr<IConfigSource>;

} // namespace sardinerun::workflow

#pragma once

#include "core/types.h"
#include "runtime/iloop.h"

#include <functional>
#include <memory>

namespace sardinerun::node {

//! Finds out whether a process still listens at an address.
class IPortProbe {
public:
    enum class Result {
        Open,
        Refused, //!< the machine answers, and nothing listens there: the process has ended
        Silent //!< no answer, which proves nothing
    };
    virtual ~IPortProbe() = default;
    virtual void probe(const core::HostPort& address, std::function<void(Result)> callback) = 0;
};

using IPortProbePtr = std::shared_ptr<IPortProbe>;

IPortProbePtr createPortProbe(runtime::ILoopPtr loop);

} // namespace sardinerun::node

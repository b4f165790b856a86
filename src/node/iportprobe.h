#pragma once

#include "core/types.h"
#include "runtime/iloop.h"

#include <functional>
#include <memory>

namespace sardinerun::node {

//! Checks whether a process still listens at an address.
class IPortProbe {
public:
    enum class Result {
        Open,
        Refused, //!< the host answers but nothing listens on the port, so the process has ended
        NoAnswer //!< inconclusive: the process may or may not be running
    };
    virtual ~IPortProbe() = default;
    virtual void probe(const core::HostPort& address, std::function<void(Result)> callback) = 0;
};

using IPortProbePtr = std::shared_ptr<IPortProbe>;

//! Creates a probe that tries a TCP connection.
IPortProbePtr createPortProbe(runtime::ILoopPtr loop);

} // namespace sardinerun::node

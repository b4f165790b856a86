#pragma once

#include "core/types.h"
#include "lead/leadtypes.h"
#include "scheduling/schedulingtypes.h"
#include "teams/ratelimiter.h"

#include <string>

namespace sardinerun::settings {

//! Settings of a node that dispatches workflows.
struct DispatchSettings {
    core::NodeId node;
    core::FailureDomainId failureDomain;
    core::HostPort callers; //!< address on which callers are served
    core::HostPort readiness; //!< address of the load balancer's readiness check
    core::HostPort inner; //!< address for other nodes and for reading metrics
    core::HostPort store;
    core::HostPort advice; //!< address of the advice service; port 0 if there is none
    double cpuShare = 1; //!< number of CPU cores of this VM; may be a fraction
    core::Duration stopWithin = std::chrono::seconds(6); //!< time until the platform kills a stopping process
    //! Callers of queues that need a key are refused while the configuration has not been confirmed for `revokeWithin`.
    bool isRevokeStrict = false;
    core::Duration revokeWithin = std::chrono::seconds(5);
    bool learnsRunTimes = true; //!< otherwise the declared estimates are used
    std::size_t maxBodyBytes = std::size_t(1) << 20;
    std::size_t memoryBytes = std::size_t(512) << 20; //!< of this VM
    std::size_t maxDescriptors = 4096; //!< that this process may have open
    scheduling::SchedulingTimes scheduling;
    teams::RatePolicy rates;
    lead::LeaderTimes lead;
};

//! Reads and checks the text of a settings file. Throws codec::YamlError, which names the line and key.
DispatchSettings readDispatchSettings(const std::string& text, const std::string& file);

} // namespace sardinerun::settings

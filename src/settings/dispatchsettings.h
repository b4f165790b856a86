#pragma once

#include "core/types.h"
#include "lead/leadtypes.h"
#include "scheduling/schedulingtypes.h"

#include <string>

namespace sardinerun::settings {

//! What a node that dispatches workflows knows from its own file.
struct DispatchSettings {
    core::NodeId node;
    core::FailureDomainId failureDomain;
    core::HostPort callers; //!< for callers
    core::HostPort readiness; //!< for the balancer's question whether this node takes connections
    core::HostPort inner; //!< for other nodes, and for metrics
    core::HostPort store;
    core::HostPort advice; //!< of the advice service; no port: there is none
    double processorShare = 1; //!< of one core that this VM has
    core::Duration stopWithin = std::chrono::seconds(6); //!< until the platform kills a process that is to stop
    std::size_t maxBodyBytes = std::size_t(1) << 20;
    scheduling::SchedulingTimes scheduling;
    lead::LeaderTimes lead;
};

//! Reads and checks a settings file's text. Throws codec::YamlError, which names the place.
DispatchSettings readDispatchSettings(const std::string& text, const std::string& file);

} // namespace sardinerun::settings

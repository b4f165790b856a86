#pragma once

#include "core/types.h"
#include "http/h2oserver.h"
#include "membership/membershiptypes.h"
#include "partition/partitiontypes.h"
#include "services/httpservices.h"

#include <optional>
#include <string>

//! What a node knows from its own file. Everything that all nodes share lies with the platform instead.
namespace sardinerun::settings {

struct Listener {
    core::HostPort address;
    std::optional<http::TlsFiles> tls;
};

struct NodeSettings {
    core::NodeId node;
    core::FailureDomainId failureDomain;
    Listener callers; //!< for callers and operators
    core::HostPort inner; //!< for other nodes; must be an address that they reach
    core::HostPort platform;
    std::string innerSecret; //!< shared by the nodes of the cell
    bool mayAdministerFromLoopback = false; //!< operators' calls need no token from this machine
    std::uint32_t partitions = 8; //!< used by the first node of a cell only
    std::size_t maxBodyBytes = std::size_t(1) << 20;
    std::size_t maxResponseBytes = std::size_t(4) << 20;
    core::Duration stopWithin = std::chrono::seconds(35); //!< for a planned stop
    membership::MembershipTimes membership;
    partition::PartitionTimes partition;
    services::ServiceTimeouts timeouts;
};

//! Reads and checks a settings file's text. Throws codec::YamlError, which names the place.
NodeSettings readNodeSettings(const std::string& text, const std::string& file);

//! Reads "127.0.0.1:8080"; nothing when it is not an IP address and port.
std::optional<core::HostPort> parseHostPort(const std::string& text);

} // namespace sardinerun::settings

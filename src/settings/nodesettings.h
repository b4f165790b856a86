#pragma once

#include "core/types.h"
#include "http/h2oserver.h"
#include "membership/membershiptypes.h"
#include "partition/partitiontypes.h"
#include "services/httpservices.h"

#include <optional>
#include <string>

//! Settings of a single node, read from its file. The configuration shared by all nodes is stored by the platform.
namespace sardinerun::settings {

struct Listener {
    core::HostPort address;
    std::optional<http::TlsFiles> tls;
};

struct NodeSettings {
    core::NodeId node;
    core::FailureDomainId failureDomain;
    Listener callers; //!< address on which callers and operators are served
    core::HostPort inner; //!< address for other nodes; they must be able to reach it
    core::HostPort platform;
    std::string innerSecret; //!< authenticates messages between nodes; the same on all nodes of the cell
    bool mayAdministerFromLoopback = false; //!< operators' calls from this machine need no token
    std::uint32_t partitions = 8; //!< number of partitions; used only by the first node of a new cell
    std::size_t maxBodyBytes = std::size_t(1) << 20;
    std::size_t memoryBytes = std::size_t(512) << 20; //!< of this VM
    std::size_t maxDescriptors = 4096; //!< that this process may have open
    std::size_t maxResponseBytes = std::size_t(4) << 20;
    core::Duration stopWithin = std::chrono::seconds(35); //!< time limit of a planned stop
    membership::MembershipTimes membership;
    partition::PartitionTimes partition;
    services::ServiceTimeouts timeouts;
};

//! Reads and checks the text of a settings file. Throws codec::YamlError, which names the line and key.
NodeSettings readNodeSettings(const std::string& text, const std::string& file);

//! Parses a text such as "127.0.0.1:8080". Returns std::nullopt if it is not an IPv4 address and port.
std::optional<core::HostPort> parseHostPort(const std::string& text);

} // namespace sardinerun::settings

#pragma once

#include "configuration/configurationtypes.h"

namespace sardinerun::configuration {

//! Reads and checks a document. Throws codec::YamlError, which names the place.
Configuration readConfiguration(const std::string& text, const std::string& file);

//! What applies while one preset gives way to another, or membership is uncertain: what all presets grant.
Preset transitionPreset(const Configuration& configuration);

//! A request as a service sees it.
struct Match {
    const Service* service = nullptr;
    Route route;
    std::string path; //!< below the service's prefix
};

//! The service that a request is for, or nothing. A request that no route names may not be repeated.
std::optional<Match> match(
    const Configuration& configuration, const std::string& host, const std::string& method, const std::string& path);

//! Who a bearer token belongs to.
struct Identity {
    core::TeamId team;
    Role role = Role::Caller;
};

//! Compares in constant time; looks at every token in any case.
std::optional<Identity> identify(const Configuration& configuration, const std::string& token);

std::string sha256Hex(const std::string& text);

} // namespace sardinerun::configuration

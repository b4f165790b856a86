#pragma once

#include "configuration/configurationtypes.h"

namespace sardinerun::configuration {

//! Parses and validates a document. Throws codec::YamlError with the file, line, column and key of the fault.
Configuration readConfiguration(const std::string& text, const std::string& file);

//! Returns the preset for the time between two presets and for uncertain membership: the lowest guaranteed shares of
//! all presets, without borrowing.
Preset makeTransitionPreset(const Configuration& configuration);

//! The service and route that a request matches.
struct Match {
    const Service* service = nullptr;
    Route route;
    std::string path; //!< path without the service's prefix
};

//! Returns the service that a request addresses, or nothing. A request that matches no route is not repeatable.
std::optional<Match> match(
    const Configuration& configuration, const std::string& host, const std::string& method, const std::string& path);

} // namespace sardinerun::configuration

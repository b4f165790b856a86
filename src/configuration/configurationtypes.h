#pragma once

#include "admission/admissiontypes.h"
#include "core/types.h"
#include "placement/istrategy.h"
#include "placement/usageestimator.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

//! Configuration: what operators decide for all nodes together, kept by the platform and changed by version.
namespace sardinerun::configuration {

//! One kind of request to a service.
struct Route {
    std::string method; //!< "*" for any
    std::string path; //!< prefix of the path below the service's own
    bool isRepeatable = false; //!< unknown means not
    jobs::Urgency urgency = jobs::Urgency::Normal;
    core::Duration timeout = std::chrono::seconds(5); //!< for the whole exchange with the runner
};

struct Service {
    core::ServiceId id;
    std::vector<std::string> hosts; //!< names by which callers ask for it
    std::string pathPrefix; //!< or the path below which it lies; removed before the runner sees it
    std::vector<Route> routes; //!< the first that matches counts
    bool isOpen = false; //!< callers need no token
};

enum class Role {
    Caller, //!< sends requests to services
    Submitter, //!< and submits, reads and cancels jobs of its team
    Operator //!< and changes the configuration, and sees everything
};

struct Token {
    std::string sha256; //!< of the token, in hex
    Role role = Role::Caller;
};

struct Team {
    core::TeamId id;
    int weight = 1; //!< part of the fleet against other teams
    std::vector<Token> tokens;
};

//! How requests to services are admitted.
struct RequestPolicy {
    std::uint32_t queue = 256; //!< requests of one service that may wait at a node
    core::Duration maxWait = std::chrono::milliseconds(1000); //!< for a slot; longer is refused at once
    int retryPercent = 10; //!< retries as part of the requests
    bool operator==(const RequestPolicy&) const = default;
};

//! A set of policies for ordinary days, peaks or maintenance. Exactly one is in force at any moment.
struct Preset {
    core::PresetName name;
    placement::StrategyKind placement = placement::StrategyKind::DominantFit;
    placement::GuaranteedShares shares { { 30, 30, 10 } };
    bool mayBorrow = true;
    placement::UsagePolicy usage;
    admission::QueueLimits queues;
    RequestPolicy requests;
};

//! The whole document.
struct Configuration {
    std::vector<Service> services;
    std::vector<Team> teams;
    std::map<core::PresetName, Preset> presets;
};

//! Name of what applies while no preset is in force: guaranteed shares only, nothing borrowed.
inline constexpr const char* noPreset = "none";

} // namespace sardinerun::configuration

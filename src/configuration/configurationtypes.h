#pragma once

#include "admission/admissiontypes.h"
#include "core/types.h"
#include "placement/istrategy.h"
#include "placement/usageestimator.h"
#include "teams/keyring.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

//! Configuration: the settings that operators make for all nodes together, stored by the platform with a version.
namespace sardinerun::configuration {

//! A kind of request to a service, with its policy.
struct Route {
    std::string method; //!< "*" for any
    std::string path; //!< path prefix, relative to the service's own prefix
    bool isRepeatable = false; //!< false unless declared
    jobs::Urgency urgency = jobs::Urgency::Normal;
    core::Duration timeout = std::chrono::seconds(5); //!< limit for the whole exchange with the runner
};

struct Service {
    core::ServiceId id;
    std::vector<std::string> hosts; //!< host names of the service
    std::string pathPrefix; //!< alternative to `hosts`; removed before the request is forwarded to a runner
    std::vector<Route> routes; //!< the first matching route applies
    bool isOpen = false; //!< callers need no token
};

//! How requests to services are admitted.
struct RequestPolicy {
    std::uint32_t queue = 256; //!< maximum number of waiting requests of one service at one node
    core::Duration maxWait = std::chrono::milliseconds(1000); //!< limit on the expected wait for a slot
    int retryPercent = 10; //!< maximum number of retries, in percent of the requests
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

//! The contents of a configuration document.
struct Configuration {
    std::vector<Service> services;
    std::vector<teams::Team> teams;
    teams::KeyRing keys; //!< of all teams
    std::map<core::PresetName, Preset> presets;
};

//! Name of the transition preset, which applies while no preset is in force: guaranteed shares only, no borrowing.
inline constexpr const char* noPreset = "none";

} // namespace sardinerun::configuration

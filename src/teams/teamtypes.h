#pragma once

#include "core/types.h"

#include <vector>

//! Teams: who may call, which share of the fleet a team has, and how much it may run.
namespace sardinerun::teams {

enum class Role {
    Caller, //!< sends requests to services
    Submitter, //!< also submits, reads and cancels jobs of its team
    Operator //!< also changes the configuration and reads everything
};

//! SHA-256 hash of a key, in lower-case hex. The keys themselves are never stored.
using KeyDigest = core::Strong<struct KeyDigestTag, std::string>;

struct Key {
    KeyDigest digest;
    Role role = Role::Caller;
    auto operator<=>(const Key&) const = default;
};

struct Team {
    core::TeamId id;
    int weight = 1; //!< share of the fleet relative to other teams while it is full
    std::vector<Key> keys;
    core::Resources cap; //!< maximum that its tasks may occupy on all workers together; 0: no limit
    //! Jobs per second that the team may rely on; what it submits beyond is served from room that nobody else needs.
    //! 0: no limit.
    double guaranteedJobsPerSecond = 0;
};

//! Team and role of a caller.
struct Identity {
    core::TeamId team;
    Role role = Role::Caller;
    bool operator==(const Identity&) const = default;
};

} // namespace sardinerun::teams

#pragma once

#include "teams/teamtypes.h"

#include <optional>
#include <string_view>
#include <unordered_map>

namespace sardinerun::teams {

//! Returns the digest by which a key is recognized.
KeyDigest digestOf(std::string_view key);

//! The keys of all teams.
class KeyRing {
public:
    KeyRing() = default;
    explicit KeyRing(const std::vector<Team>& teams);

    //! Returns the identity of a key, or nothing.
    std::optional<Identity> identify(std::string_view key) const { return identify(digestOf(key)); }
    std::optional<Identity> identify(const KeyDigest& digest) const;
    bool isEmpty() const { return m_identities.empty(); }

private:
    std::unordered_map<KeyDigest, Identity> m_identities;
};

//! Returns the key of an "authorization" header of the form "Bearer KEY", or nothing.
std::optional<std::string_view> bearerKey(std::string_view authorization);

} // namespace sardinerun::teams

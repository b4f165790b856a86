#include "teams/keyring.h"

#include "core/hashing.h"

namespace sardinerun::teams {

KeyDigest digestOf(std::string_view key)
{
    return KeyDigest(core::sha256Hex(key));
}

KeyRing::KeyRing(const std::vector<Team>& teams)
{
    // A header without a key has this digest, so an empty key would let in everybody.
    static const KeyDigest emptyKey = digestOf("");
    for (const Team& team : teams) {
        for (const Key& it : team.keys)
            if (it.digest != emptyKey)
                m_identities.emplace(it.digest, Identity { team.id, it.role });
    }
}

std::optional<Identity> KeyRing::identify(const KeyDigest& digest) const
{
    // The time of the look-up depends on the digests alone. They tell nothing about a key, so guessing one byte after
    // the other gains nothing.
    const auto it = m_identities.find(digest);
    if (it == m_identities.end())
        return std::nullopt;
    return it->second;
}

std::optional<std::string_view> bearerKey(std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return std::nullopt;
    return authorization.substr(scheme.size());
}

} // namespace sardinerun::teams

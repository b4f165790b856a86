#pragma once

#include "once/claimtypes.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sardinerun::once {

//! Times after which open claims count as unknown and entries are removed.
struct ClaimTimes {
    core::Duration maxRunTime = std::chrono::seconds(35); //!< longer than any request may run
    core::Duration retention = std::chrono::minutes(10);
};

constexpr std::size_t defaultClaimBytes = std::size_t(4) << 20;

//! The claims on the request keys of one home partition. A claim is granted only after it is persisted.
class ClaimTable {
public:
    //! `maxBytes`: memory for claims and stored answers, with the copies in the log of the partition.
    explicit ClaimTable(ClaimTimes times, std::size_t maxBytes = defaultClaimBytes)
        : m_times(times)
        , m_maxBytes(maxBytes)
    {
    }

    struct Claim {
        ClaimResult result = ClaimResult::Granted;
        StoredAnswer answer; //!< set if the result is `Replayed`
        bool mustPersist = false; //!< the claim is granted only after `snapshot(key)` is persisted
    };
    //! A new key is not claimed (`NotPersisted`) while claims alone take all the memory.
    Claim claim(const RequestKey& key, std::uint64_t fingerprint, const ClaimId& id, core::TimePoint now,
        core::WallTime wallNow);

    //! Removes a claim that could not be persisted and so was never granted.
    void drop(const RequestKey& key);
    //! Records the answer of a request that ran. Returns false if the claim is not open.
    bool finish(const RequestKey& key, const ClaimId& id, StoredAnswer answer);
    //! Records that the request certainly did not run. Returns false if the claim is not open.
    bool abandon(const RequestKey& key, const ClaimId& id);

    //! Restores a claim that an earlier owner persisted. `age` is the time since the claim was made.
    void recover(const ClaimSnapshot& snapshot, core::TimePoint now, core::Duration age);
    const ClaimSnapshot* snapshot(const RequestKey& key) const;
    //! Removes the claims whose retention has passed and returns their keys.
    std::vector<RequestKey> removeExpired(core::TimePoint now);
    //! Removes the bodies of stored answers, the largest first, until the memory suffices. Returns the keys of the
    //! claims, which have to be persisted again.
    std::vector<RequestKey> dropBodies();
    std::size_t size() const { return m_entries.size(); }
    std::size_t heldBytes() const { return m_claimBytes + m_bodyBytes; }

private:
    struct Entry {
        ClaimSnapshot snapshot;
        core::TimePoint claimedAt;
    };
    Claim open(ClaimSnapshot snapshot, core::TimePoint now);
    void count(const Entry& entry);
    void discount(const Entry& entry);
    Entry* findOpen(const RequestKey& key, const ClaimId& id);
    void erase(const RequestKey& key);

    ClaimTimes m_times;
    std::map<RequestKey, Entry> m_entries;
    std::set<std::pair<core::TimePoint, RequestKey>> m_keysByAge;
    std::set<std::pair<std::size_t, RequestKey>> m_keysByBody; //!< with stored bodies, by their memory
    std::size_t m_maxBytes = 0;
    std::size_t m_claimBytes = 0;
    std::size_t m_bodyBytes = 0;
};

} // namespace sardinerun::once

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

//! The claims on the request keys of one home partition. A claim is granted only after it is persisted.
class ClaimTable {
public:
    explicit ClaimTable(ClaimTimes times)
        : m_times(times)
    {
    }

    struct Claim {
        ClaimResult result = ClaimResult::Granted;
        StoredAnswer answer; //!< set if the result is `Replayed`
        bool mustPersist = false; //!< the claim is granted only after `snapshot(key)` is persisted
    };
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
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        ClaimSnapshot snapshot;
        core::TimePoint claimedAt;
    };
    Claim open(ClaimSnapshot snapshot, core::TimePoint now);
    Entry* findOpen(const RequestKey& key, const ClaimId& id);
    void erase(const RequestKey& key);

    ClaimTimes m_times;
    std::map<RequestKey, Entry> m_entries;
    std::set<std::pair<core::TimePoint, RequestKey>> m_keysByAge;
};

} // namespace sardinerun::once

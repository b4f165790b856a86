#pragma once

#include "once/claimtypes.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sardinerun::once {

//! Times after which claims are given up and answers forgotten.
struct ClaimTimes {
    core::Duration runLimit = std::chrono::seconds(35); //!< longer than any request may take
    core::Duration retention = std::chrono::minutes(10);
};

//! The keys of one home partition. A claim is granted only after it is kept.
class ClaimTable {
public:
    explicit ClaimTable(ClaimTimes times)
        : m_times(times)
    {
    }

    struct Claim {
        ClaimResult result = ClaimResult::Granted;
        StoredAnswer answer; //!< when replayed
        bool mustKeep = false; //!< granted only once `snapshot(key)` is kept
    };
    Claim claim(const RequestKey& key, std::uint64_t fingerprint, const ClaimId& id, core::TimePoint now,
        core::WallTime wallNow);

    //! The claim could not be kept: it was never granted.
    void drop(const RequestKey& key);
    //! The request ran and has an answer; false when that claim is not open.
    bool finish(const RequestKey& key, const ClaimId& id, StoredAnswer answer);
    //! The request certainly did not run; false when that claim is not open.
    bool abandon(const RequestKey& key, const ClaimId& id);

    //! Takes over what an earlier owner kept; `age` is the time since the claim.
    void recover(const ClaimSnapshot& snapshot, core::TimePoint now, core::Duration age);
    const ClaimSnapshot* snapshot(const RequestKey& key) const;
    //! Keys whose retention has passed; they are forgotten.
    std::vector<RequestKey> forgetOld(core::TimePoint now);
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
    std::set<std::pair<core::TimePoint, RequestKey>> m_byAge;
};

} // namespace sardinerun::once

#pragma once

#include "once/oncetypes.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sardinerun::once {

//! Times after which claims are given up and answers forgotten.
struct OnceTimes {
    core::Duration runLimit = std::chrono::seconds(35); //!< longer than any request may take
    core::Duration retention = std::chrono::minutes(10);
};

//! The keys of one home partition. A claim is granted only after it is kept.
class OnceBook {
public:
    explicit OnceBook(OnceTimes times)
        : m_times(times)
    {
    }

    struct Claim {
        ClaimResult result = ClaimResult::Granted;
        StoredAnswer answer; //!< when replayed
        bool mustKeep = false; //!< granted only once `snapshot(key)` is kept
    };
    Claim claim(
        const OnceKey& key, std::uint64_t fingerprint, const ClaimId& id, core::TimePoint now, core::WallTime wallNow);

    //! The claim could not be kept: it was never granted.
    void drop(const OnceKey& key);
    //! The request ran and has an answer; false when that claim is not open.
    bool finish(const OnceKey& key, const ClaimId& id, StoredAnswer answer);
    //! The request certainly did not run; false when that claim is not open.
    bool abandon(const OnceKey& key, const ClaimId& id);

    //! Takes over what an earlier owner kept; `age` is the time since the claim.
    void recover(const OnceSnapshot& snapshot, core::TimePoint now, core::Duration age);
    const OnceSnapshot* snapshot(const OnceKey& key) const;
    //! Keys whose retention has passed; they are forgotten.
    std::vector<OnceKey> forgetOld(core::TimePoint now);
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        OnceSnapshot snapshot;
        core::TimePoint claimedAt;
    };
    Claim open(OnceSnapshot snapshot, core::TimePoint now);
    Entry* findOpen(const OnceKey& key, const ClaimId& id);
    void erase(const OnceKey& key);

    OnceTimes m_times;
    std::map<OnceKey, Entry> m_entries;
    std::set<std::pair<core::TimePoint, OnceKey>> m_byAge;
};

} // namespace sardinerun::once

#include "once/oncebook.h"

namespace sardinerun::once {

OnceBook::Claim OnceBook::claim(
    const OnceKey& key, std::uint64_t fingerprint, const ClaimId& id, core::TimePoint now, core::WallTime wallNow)
{
    const OnceSnapshot fresh { key, fingerprint, id, wallNow, OnceState::Open, {} };
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return open(fresh, now);
    const OnceSnapshot& known = it->second.snapshot;
    if (known.fingerprint != fingerprint)
        return { ClaimResult::Mismatch, {}, false };
    if (known.state == OnceState::Done)
        return { ClaimResult::Replayed, known.answer, false };
    if (known.state == OnceState::Abandoned) {
        erase(key);
        return open(fresh, now);
    }
    const bool mayStillRun = now - it->second.claimedAt < m_times.runLimit;
    return { mayStillRun ? ClaimResult::InProgress : ClaimResult::Unknown, {}, false };
}

OnceBook::Claim OnceBook::open(OnceSnapshot snapshot, core::TimePoint now)
{
    const OnceKey key = snapshot.key;
    m_byAge.emplace(now, key);
    m_entries[key] = { std::move(snapshot), now };
    return { ClaimResult::Granted, {}, true };
}

OnceBook::Entry* OnceBook::findOpen(const OnceKey& key, const ClaimId& id)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.snapshot.state != OnceState::Open || it->second.snapshot.claim != id)
        return nullptr;
    return &it->second;
}

void OnceBook::erase(const OnceKey& key)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return;
    m_byAge.erase({ it->second.claimedAt, key });
    m_entries.erase(it);
}

void OnceBook::drop(const OnceKey& key)
{
    erase(key);
}

bool OnceBook::finish(const OnceKey& key, const ClaimId& id, StoredAnswer answer)
{
    Entry* it = findOpen(key, id);
    if (!it)
        return false;
    it->snapshot.state = OnceState::Done;
    it->snapshot.answer = std::move(answer);
    return true;
}

bool OnceBook::abandon(const OnceKey& key, const ClaimId& id)
{
    Entry* it = findOpen(key, id);
    if (!it)
        return false;
    it->snapshot.state = OnceState::Abandoned;
    return true;
}

void OnceBook::recover(const OnceSnapshot& snapshot, core::TimePoint now, core::Duration age)
{
    erase(snapshot.key);
    const core::TimePoint claimedAt = now - age;
    m_entries[snapshot.key] = { snapshot, claimedAt };
    m_byAge.emplace(claimedAt, snapshot.key);
}

const OnceSnapshot* OnceBook::snapshot(const OnceKey& key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second.snapshot;
}

std::vector<OnceKey> OnceBook::forgetOld(core::TimePoint now)
{
    std::vector<OnceKey> old;
    while (!m_byAge.empty() && now - m_byAge.begin()->first > m_times.retention) {
        old.push_back(m_byAge.begin()->second);
        erase(old.back());
    }
    return old;
}

} // namespace sardinerun::once

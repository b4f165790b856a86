#include "once/claimtable.h"

namespace sardinerun::once {

ClaimTable::Claim ClaimTable::claim(
    const RequestKey& key, std::uint64_t fingerprint, const ClaimId& id, core::TimePoint now, core::WallTime wallNow)
{
    const ClaimSnapshot newClaim { key, fingerprint, id, wallNow, ClaimState::Open, {} };
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return open(newClaim, now);
    const ClaimSnapshot& existing = it->second.snapshot;
    if (existing.fingerprint != fingerprint)
        return { ClaimResult::Mismatch, {}, false };
    if (existing.state == ClaimState::Done)
        return { ClaimResult::Replayed, existing.answer, false };
    if (existing.state == ClaimState::Abandoned) {
        erase(key);
        return open(newClaim, now);
    }
    const bool mayStillRun = now - it->second.claimedAt < m_times.maxRunTime;
    return { mayStillRun ? ClaimResult::InProgress : ClaimResult::Unknown, {}, false };
}

ClaimTable::Claim ClaimTable::open(ClaimSnapshot snapshot, core::TimePoint now)
{
    const RequestKey key = snapshot.key;
    m_keysByAge.emplace(now, key);
    m_entries[key] = { std::move(snapshot), now };
    return { ClaimResult::Granted, {}, true };
}

ClaimTable::Entry* ClaimTable::findOpen(const RequestKey& key, const ClaimId& id)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.snapshot.state != ClaimState::Open || it->second.snapshot.claim != id)
        return nullptr;
    return &it->second;
}

void ClaimTable::erase(const RequestKey& key)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return;
    m_keysByAge.erase({ it->second.claimedAt, key });
    m_entries.erase(it);
}

void ClaimTable::drop(const RequestKey& key)
{
    erase(key);
}

bool ClaimTable::finish(const RequestKey& key, const ClaimId& id, StoredAnswer answer)
{
    Entry* it = findOpen(key, id);
    if (!it)
        return false;
    it->snapshot.state = ClaimState::Done;
    it->snapshot.answer = std::move(answer);
    return true;
}

bool ClaimTable::abandon(const RequestKey& key, const ClaimId& id)
{
    Entry* it = findOpen(key, id);
    if (!it)
        return false;
    it->snapshot.state = ClaimState::Abandoned;
    return true;
}

void ClaimTable::recover(const ClaimSnapshot& snapshot, core::TimePoint now, core::Duration age)
{
    erase(snapshot.key);
    const core::TimePoint claimedAt = now - age;
    m_entries[snapshot.key] = { snapshot, claimedAt };
    m_keysByAge.emplace(claimedAt, snapshot.key);
}

const ClaimSnapshot* ClaimTable::snapshot(const RequestKey& key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second.snapshot;
}

std::vector<RequestKey> ClaimTable::removeExpired(core::TimePoint now)
{
    std::vector<RequestKey> expired;
    while (!m_keysByAge.empty() && now - m_keysByAge.begin()->first > m_times.retention) {
        expired.push_back(m_keysByAge.begin()->second);
        erase(expired.back());
    }
    return expired;
}

} // namespace sardinerun::once

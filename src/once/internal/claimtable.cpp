#include "once/claimtable.h"

#include <algorithm>

namespace sardinerun::once {

namespace {

//! An entry, its place in the order of ages, and its record in the log; each has the key.
constexpr std::size_t bytesOfClaim = 1024;
constexpr std::size_t copiesOfKey = 4;
//! An escaped character takes six bytes in the record.
constexpr std::size_t bytesOfEscape = 5;

std::size_t bytesOf(const RequestKey& key)
{
    return bytesOfClaim + copiesOfKey * (key.team.value().size() + key.key.value().size());
}

//! Returns the memory of a body here and in the record.
std::size_t bytesOf(const std::string& body)
{
    const auto isEscaped = [](unsigned char c) { return c < ' ' || c == '"' || c == '\\'; };
    const auto escapes = std::size_t(std::count_if(body.begin(), body.end(), isEscaped));
    return 2 * body.size() + bytesOfEscape * escapes;
}

} // namespace

ClaimTable::Claim ClaimTable::claim(
    const RequestKey& key, std::uint64_t fingerprint, const ClaimId& id, core::TimePoint now, core::WallTime wallNow)
{
    const ClaimSnapshot newClaim { key, fingerprint, id, wallNow, ClaimState::Open, {} };
    const auto it = m_entries.find(key);
    if (it == m_entries.end() && m_claimBytes + bytesOf(key) > m_maxBytes)
        return { ClaimResult::NotPersisted, {}, false };
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
    count(m_entries[key] = { std::move(snapshot), now });
    return { ClaimResult::Granted, {}, true };
}

void ClaimTable::count(const Entry& entry)
{
    const std::size_t body = bytesOf(entry.snapshot.answer.body);
    m_claimBytes += bytesOf(entry.snapshot.key);
    m_bodyBytes += body;
    if (body > 0)
        m_keysByBody.emplace(body, entry.snapshot.key);
}

void ClaimTable::discount(const Entry& entry)
{
    const std::size_t body = bytesOf(entry.snapshot.answer.body);
    m_claimBytes -= bytesOf(entry.snapshot.key);
    m_bodyBytes -= body;
    m_keysByBody.erase({ body, entry.snapshot.key });
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
    discount(it->second);
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
    discount(*it);
    it->snapshot.state = ClaimState::Done;
    it->snapshot.answer = std::move(answer);
    count(*it);
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
    count(m_entries[snapshot.key] = { snapshot, claimedAt });
    m_keysByAge.emplace(claimedAt, snapshot.key);
}

const ClaimSnapshot* ClaimTable::snapshot(const RequestKey& key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second.snapshot;
}

std::vector<RequestKey> ClaimTable::dropBodies()
{
    std::vector<RequestKey> dropped;
    while (heldBytes() > m_maxBytes && !m_keysByBody.empty()) {
        dropped.push_back(m_keysByBody.rbegin()->second);
        Entry& entry = m_entries.at(dropped.back());
        discount(entry);
        std::string().swap(entry.snapshot.answer.body); // an assignment would keep the memory
        entry.snapshot.answer.isBodyStored = false;
        count(entry);
    }
    return dropped;
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

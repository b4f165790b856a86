#include "once/oncebook.h"

namespace sardinerun::once {

OnceBook::Claim OnceBook::claim(
    const OnceKey& key, std::uint64_t fingerprint, core::TimePoint now, core::WallTime wallNow)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end()) {
        open(key, fingerprint, now, wallNow);
        return { ClaimResult::Granted, {}, true };
    }
    const OnceSnapshot& known = it->second.snapshot;
    if (known.fingerprint != fingerprint)
        return { ClaimResult::Mismatch, {}, false };
    if (known.state == OnceState::Done)
        return { ClaimResult::Replayed, known.answer, false };
    if (known.state == OnceState::Abandoned) {
        erase(key);
        open(key, fingerprint, now, wallNow);
        return { ClaimResult::Granted, {}, true };
    }
    const bool mayStillRun = now - it->second.claimedAt < m_times.runLimit;
    return { mayStillRun ? ClaimResult::InProgress : ClaimResult::Unknown, {}, false };
}

void OnceBook::open(const OnceKey& key, std::uint64_t fingerprint, core::TimePoint now, core::WallTime wallNow)
{
    m_entries[key] = { { key, fingerprint, wallNow, OnceState::Open, {} }, now };
    m_byAge.emplace(now, key);
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

bool OnceBook::finish(const OnceKey& key, StoredAnswer answer, core::TimePoint)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.snapshot.state != OnceState::Open)
        return false;
    it->second.snapshot.state = OnceState::Done;
    it->second.snapshot.answer = std::move(answer);
    return true;
}

bool OnceBook::abandon(const OnceKey& key, core::TimePoint)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.snapshot.state != OnceState::Open)
        return false;
    it->second.snapshot.state = OnceState::Abandoned;
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

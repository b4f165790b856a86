#include "teams/usageledger.h"

#include "core/shares.h"

#include <algorithm>

namespace sardinerun::teams {

namespace {

//! Returns how often `need` fits into what is left below a cap; 0 as a cap or as a need: any number.
std::int64_t timesWithin(std::int64_t cap, std::int64_t used, std::int64_t need, std::int64_t max)
{
    if (cap <= 0 || need <= 0)
        return max;
    return std::clamp<std::int64_t>((cap - used) / need, 0, max);
}

std::int64_t timesWithin(
    const core::Resources& cap, const core::Resources& used, const core::Resources& need, std::int64_t max)
{
    max = timesWithin(cap.cpu.value(), used.cpu.value(), need.cpu.value(), max);
    max = timesWithin(cap.memory.value(), used.memory.value(), need.memory.value(), max);
    return timesWithin(cap.accelerators.value(), used.accelerators.value(), need.accelerators.value(), max);
}

} // namespace

void UsageLedger::setTeams(const std::vector<Team>& teams)
{
    for (const Team& it : teams) {
        Entry& entry = m_entries[it.id];
        entry.weight = std::max(it.weight, 1);
        entry.cap = it.cap;
        entry.isListed = true;
    }
}

void UsageLedger::recallCap(const core::TeamId& team, const core::Resources& cap)
{
    Entry& entry = m_entries[team];
    if (!entry.isListed)
        entry.cap = cap;
}

const UsageLedger::Entry* UsageLedger::find(const core::TeamId& team) const
{
    const auto it = m_entries.find(team);
    return it == m_entries.end() ? nullptr : &it->second;
}

void UsageLedger::add(const core::TeamId& team, const core::Resources& amount)
{
    Entry& entry = m_entries[team];
    entry.used = entry.used + amount;
}

void UsageLedger::remove(const core::TeamId& team, const core::Resources& amount)
{
    Entry& entry = m_entries[team];
    entry.used = entry.used - amount;
}

void UsageLedger::clearPossible()
{
    for (auto& [team, entry] : m_entries)
        entry.possible = {};
}

core::Resources UsageLedger::usedBy(const core::TeamId& team) const
{
    const Entry* it = find(team);
    return it ? it->used : core::Resources();
}

std::uint32_t UsageLedger::tasksWithinCap(
    const core::TeamId& team, const core::Resources& need, std::uint32_t count) const
{
    const Entry* it = find(team);
    if (!it || team.value().empty())
        return count;
    return static_cast<std::uint32_t>(timesWithin(it->cap, it->used + it->possible, need, count));
}

bool UsageLedger::canEverRun(const core::TeamId& team, const core::Resources& need) const
{
    return timesWithin(capOf(team), core::Resources(), need, 1) > 0;
}

core::Resources UsageLedger::capOf(const core::TeamId& team) const
{
    const Entry* it = find(team);
    return it && !team.value().empty() ? it->cap : core::Resources();
}

int UsageLedger::weightOf(const core::TeamId& team) const
{
    const Entry* it = find(team);
    return it ? it->weight : 1;
}

double UsageLedger::weightedShareOf(const core::TeamId& team, const core::Resources& amount) const
{
    return core::dominantShare(amount, m_capacity) / weightOf(team);
}

} // namespace sardinerun::teams

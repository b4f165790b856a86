#include "placement/healthtracker.h"

#include <algorithm>

namespace sardinerun::placement {

namespace {

constexpr int maxDoublings = 10;

} // namespace

void HealthTracker::onSuccess(const core::VmId& worker)
{
    m_workers.erase(worker);
}

bool HealthTracker::onFailure(const core::VmId& worker, const core::JobId& job, core::Duration runTime,
    std::size_t workerCount, core::TimePoint now)
{
    if (runTime > m_policy.quickFailure)
        return false;
    Record& it = m_workers[worker];
    it.failedJobs.insert(job);
    if (it.failedJobs.size() < m_policy.distinctJobs || now < it.until)
        return false;
    if ((quarantinedCount(now) + 1) * 100 > workerCount * static_cast<std::size_t>(m_policy.maxQuarantinedPercent))
        return false;
    const core::Duration quarantine = m_policy.quarantineTime * (1 << std::min(it.timesQuarantined, maxDoublings));
    it.until = now + std::min(quarantine, m_policy.maxQuarantineTime);
    ++it.timesQuarantined;
    it.failedJobs.clear();
    return true;
}

bool HealthTracker::isQuarantined(const core::VmId& worker, core::TimePoint now) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && now < it->second.until;
}

std::size_t HealthTracker::quarantinedCount(core::TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_workers.begin(), m_workers.end(), [now](const auto& it) { return now < it.second.until; }));
}

} // namespace sardinerun::placement

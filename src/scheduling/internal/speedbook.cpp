#include "scheduling/speedbook.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

//! Weight of one sample; a sample spans a few hundred milliseconds, so a change shows within about a second.
constexpr double gain = 0.35;
constexpr double meanGain = 0.01;
//! Workers of unlike kinds differ by about a half; a worker in trouble by several times.
constexpr double slowShare = 0.42;
constexpr int neededSamples = 3;
//! A task that is much shorter than estimated says no more than this.
constexpr double fastest = 4;
//! After so long without a sample a slow worker is tried again.
constexpr core::Duration memory = std::chrono::milliseconds(2500);
constexpr core::Duration shortestSample = std::chrono::milliseconds(150);

} // namespace

void SpeedBook::onProgress(
    const core::VmId& worker, double share, core::Duration took, core::Duration estimate, core::TimePoint now)
{
    if (took < shortestSample || estimate <= core::Duration(0))
        return;
    const double speed = std::min(share * double(estimate.count()) / double(took.count()), fastest);
    Record& it = m_workers[worker];
    if (now - it.at > memory)
        it.samples = 0;
    it.speed = it.samples == 0 ? speed : it.speed + gain * (speed - it.speed);
    ++it.samples;
    it.at = now;
    m_mean += meanGain * (speed - m_mean);
}

bool SpeedBook::isSlow(const core::VmId& worker, core::TimePoint now) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && it->second.samples >= neededSamples && now - it->second.at <= memory
        && it->second.speed < slowShare * m_mean;
}

double SpeedBook::speedOf(const core::VmId& worker) const
{
    const auto it = m_workers.find(worker);
    return it == m_workers.end() || it->second.samples < neededSamples ? 1 : it->second.speed / std::max(m_mean, 0.05);
}

} // namespace sardinerun::scheduling

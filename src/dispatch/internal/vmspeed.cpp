#include "dispatch/vmspeed.h"

#include "core/hashing.h"

#include <algorithm>
#include <string>

namespace sardinerun::dispatch {

namespace {

//! A VM whose computation takes this many times as long has lost much of its processor.
constexpr int slowFactorPercent = 180;
//! Takes some tens of microseconds: long against the resolution of the clock, short against the work of a leader.
constexpr std::size_t sampleBytes = std::size_t(128) << 10;
//! Shorter samples would be dominated by the resolution of the clock.
constexpr core::Duration minSample = std::chrono::microseconds(5);

} // namespace

void VmSpeed::onSample(core::Duration took)
{
    took = std::max(took, minSample);
    m_best = m_count == 0 ? took : std::min(m_best, took);
    m_recent[m_count % recentSamples] = took;
    ++m_count;
}

bool VmSpeed::isSlowed() const
{
    if (m_count < recentSamples * 2)
        return false; // the normal speed is not known yet
    const core::Duration recentBest = *std::min_element(m_recent.begin(), m_recent.end());
    return recentBest * 100 >= m_best * slowFactorPercent;
}

std::uint64_t computeSpeedSample()
{
    static const std::string bytes(sampleBytes, 'x');
    return core::stableHash(bytes);
}

} // namespace sardinerun::dispatch

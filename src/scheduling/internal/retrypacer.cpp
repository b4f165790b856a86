#include "scheduling/retrypacer.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

//! Steps that cannot start take at most one part in this many of the time.
constexpr double shareDivisor = 8;
constexpr double smoothingFactor = 0.02;
//! A shorter pause would be over before the next round.
constexpr core::Duration minPause = std::chrono::milliseconds(10);
//! Freed room must not be left to less urgent steps for long.
constexpr core::Duration maxPause = std::chrono::milliseconds(200);

} // namespace

void RetryPacer::onFailed(core::Duration took)
{
    const double microseconds = std::chrono::duration<double, std::micro>(took).count();
    m_averageMicroseconds += smoothingFactor * (microseconds - m_averageMicroseconds);
}

core::Duration RetryPacer::pause() const
{
    const auto pause = core::Duration(std::int64_t(m_averageMicroseconds * double(m_waiting) * shareDivisor));
    return pause < minPause ? core::Duration(0) : std::min(pause, maxPause);
}

} // namespace sardinerun::scheduling

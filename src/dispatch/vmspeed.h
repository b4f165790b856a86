#pragma once

#include "core/types.h"

#include <array>

namespace sardinerun::dispatch {

//! Detects that this VM computes slower than it did, from the duration of a fixed computation.
//!
//! Late timers alone do not tell a slow VM from one with too much work. On a slow VM this computation takes longer,
//! too.
class VmSpeed {
public:
    void onSample(core::Duration took);
    //! Returns whether even the best of the recent samples took much longer than the best ever.
    bool isSlowed() const;

private:
    static constexpr std::size_t recentSamples = 8;
    std::array<core::Duration, recentSamples> m_recent {};
    std::size_t m_count = 0;
    core::Duration m_best {};
};

//! Does the fixed computation; the result depends on all of it, so that it cannot be left out.
std::uint64_t computeSpeedSample();

} // namespace sardinerun::dispatch

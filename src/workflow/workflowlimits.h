#pragma once

#include "core/types.h"

#include <cstdint>

//! Bounds of the values of jobs and queues.
//!
//! Admission rejects what exceeds them, so each of them has to be accepted by the decoders of the stored records, too:
//! a leader must be able to read what any other leader has written.
namespace sardinerun::workflow::limits {

constexpr std::size_t maxSteps = 1000;
constexpr std::int64_t maxTasksOfStep = 20'000;
constexpr std::size_t maxTasksOfJob = 20'000; //!< in all occurrences
constexpr std::int64_t maxOccurrences = 10'000;
constexpr std::int64_t dayMs = 86'400'000;
constexpr std::int64_t maxDurationMs = 365 * dayMs;
constexpr std::int64_t maxDurationUs = maxDurationMs * 1000;
constexpr std::int64_t maxAmount
    = 1'000'000'000; //!< of processors, memory or accelerators; sums stay far from overflow
constexpr std::int64_t maxTimeMs = std::int64_t(1) << 50; //!< since 1970
constexpr std::int64_t maxPriority = 1000;
constexpr std::int64_t maxAttempts = UINT32_MAX;
constexpr double maxStretch = 1e6;

} // namespace sardinerun::workflow::limits

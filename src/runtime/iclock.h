#pragma once

#include "core/types.h"

#include <memory>

namespace sardinerun::runtime {

//! Source of monotonic and wall-clock time for all modules. Tests replace it to pause and advance time.
class IClock {
public:
    virtual ~IClock() = default;
    virtual core::TimePoint now() const = 0;
    virtual core::WallTime wallNow() const = 0;
};

using IClockPtr = std::shared_ptr<IClock>;

//! Returns the system clock. It reads CLOCK_BOOTTIME, which includes the time that a VM was suspended.
IClockPtr systemClock();

} // namespace sardinerun::runtime

#pragma once

#include "core/types.h"

#include <memory>

namespace sardinerun::runtime {

//! The clock of the runtime. All modules read time here, so that tests can pause and advance it.
class IClock {
public:
    virtual ~IClock() = default;
    virtual core::TimePoint now() const = 0;
    virtual core::WallTime wallNow() const = 0;
};

using IClockPtr = std::shared_ptr<IClock>;

//! Clock of the machine (CLOCK_BOOTTIME, so that a suspended VM sees the time that passed).
IClockPtr systemClock();

} // namespace sardinerun::runtime

#pragma once

#include "core/types.h"

namespace sardinerun::dispatch {

//! Detects from the lateness of a periodic timer whether this VM has too little CPU for its load.
class LagMeter {
public:
    explicit LagMeter(core::Duration period)
        : m_period(period)
    {
    }

    void onTimer(core::TimePoint now);
    void reset() { *this = LagMeter(m_period); }
    //! Returns whether timers have been late for some time, not just once.
    bool isOverloaded() const;
    core::Duration lateness() const { return m_lateness; }

private:
    core::Duration m_period;
    core::TimePoint m_lastAt {};
    core::Duration m_lateness {}; //!< smoothed
};

} // namespace sardinerun::dispatch

#pragma once

#include "core/types.h"

namespace sardinerun::dispatch {

//! Tells from the lateness of a regular timer whether this VM has too little processor for what it does.
class LagMeter {
public:
    explicit LagMeter(core::Duration period)
        : m_period(period)
    {
    }

    void onTimer(core::TimePoint now);
    void reset() { *this = LagMeter(m_period); }
    //! Timers have been late for a while, not just once.
    bool isOverloaded() const;
    core::Duration lateness() const { return m_lateness; }

private:
    core::Duration m_period;
    core::TimePoint m_lastAt {};
    core::Duration m_lateness {}; //!< smoothed
};

} // namespace sardinerun::dispatch

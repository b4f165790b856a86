#pragma once

#include "core/types.h"

namespace sardinerun::scheduling {

//! Limits the share of the leader's time that is spent on steps that cannot start yet.
//!
//! The more steps wait, and the slower the processor, the longer a step that could not start is left alone. Otherwise
//! waiting steps would take the time in which others could start, and the leader would start less the more waits.
class RetryPacer {
public:
    //! Records that a step was evaluated and did not start.
    void onFailed(core::Duration took);
    //! Sets the number of steps that wait, those that are left alone included.
    void setWaiting(std::size_t steps) { m_waiting = steps; }
    //! Returns how long to leave a step alone that could not start, unless something changes for it.
    core::Duration pause() const;

private:
    double m_averageMicroseconds = 0;
    std::size_t m_waiting = 0;
};

} // namespace sardinerun::scheduling

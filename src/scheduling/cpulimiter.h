#pragma once

#include "core/types.h"

#include <vector>

namespace sardinerun::scheduling {

//! How a task that serves users does beside others on its worker.
struct ServingLoad {
    core::Duration tail {}; //!< of its response times, over the last half second
    core::Duration target {}; //!< below which the tail must stay
};

//! How much of the processors that others leave unused the tasks on one worker may use, so that those that serve users
//! stay below their targets.
//!
//! Falls at once and rises step by step, as the disturbance differs by task and changes within seconds.
class CpuLimiter {
public:
    //! After a report of the worker: the share in percent from now on.
    int shareAfter(const std::vector<ServingLoad>& serving, core::TimePoint now);

private:
    int m_share = 100;
    core::TimePoint m_changedAt {};
};

} // namespace sardinerun::scheduling

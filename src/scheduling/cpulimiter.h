#pragma once

#include "core/types.h"

#include <vector>

namespace sardinerun::scheduling {

//! Response times of a latency-sensitive task.
struct ServingLoad {
    core::Duration tailLatency {}; //!< of the last half second
    core::Duration target {}; //!< upper limit of the tail latency
};

//! Computes the share of a worker's spare CPU that its low-priority tasks may use without pushing the latency-sensitive
//! tasks beside them over their targets.
//!
//! The share falls immediately and rises in small steps, as the interference differs by task and changes within
//! seconds.
class CpuLimiter {
public:
    //! Returns the new share in percent, given the loads of the worker's last report.
    int updateShare(const std::vector<ServingLoad>& serving, core::TimePoint now);

private:
    int m_share = 100;
    core::TimePoint m_changedAt {};
};

} // namespace sardinerun::scheduling

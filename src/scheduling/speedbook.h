#pragma once

#include "core/types.h"

#include <map>

namespace sardinerun::scheduling {

//! Finds workers that have turned slow, from how their tasks get on against what was estimated for them.
//!
//! Estimates may be far off, but not more so on one worker than on another, so a worker is compared with the others.
class SpeedBook {
public:
    //! A task did this share of its work in this time.
    void onProgress(const core::VmId& worker, double share, core::Duration took, core::Duration estimate,
        core::TimePoint now);
    bool isSlow(const core::VmId& worker, core::TimePoint now) const;
    //! How fast the worker is against the mean of all; 1 while nothing is known.
    double speedOf(const core::VmId& worker) const;
    void forget(const core::VmId& worker) { m_workers.erase(worker); }

private:
    struct Record {
        double speed = 1; //!< work done in the time that was estimated for it
        int samples = 0; //!< since it was last trusted
        core::TimePoint at {}; //!< of the newest sample
    };
    std::map<core::VmId, Record> m_workers;
    double m_mean = 1;
};

} // namespace sardinerun::scheduling

#pragma once

#include "core/types.h"

#include <map>
#include <vector>

namespace sardinerun::scheduling {

//! Estimated work of pending tasks, in core-seconds.
struct PendingWork {
    double coreSeconds = 0; //!< of tasks outside of gangs
    double gangCoreSeconds = 0;
    double tasks = 0; //!< number of pending tasks

    double total() const { return coreSeconds + gangCoreSeconds; }
    PendingWork operator*(double share) const
    {
        return { coreSeconds * share, gangCoreSeconds * share, tasks * share };
    }
};

//! The pending work of all jobs, by priority and latest start, for the admission of further jobs.
//!
//! It is built once for many submissions: evaluating every job for each submission makes a submission cost more the
//! more jobs wait, and a leader in overload slower still.
class WorkAhead {
public:
    //! Work that starts before a job.
    struct Sum {
        double coreSeconds = 0; //!< of more urgent tasks outside of gangs, and of all tasks of equal priority
        double gangCoreSeconds = 0; //!< of more urgent gangs
        double lateCoreSeconds = 0; //!< of late jobs, which in fact start after all others
        double tasks = 0; //!< without those of late jobs
    };

    //! Adds the work of a job; `startBy` is its latest start that is expected to meet its objective.
    void add(int priority, core::TimePoint startBy, const PendingWork& work);
    //! Adds the work of a job that cannot meet its objective any more.
    void addLate(int priority, const PendingWork& work);
    //! Returns the work ahead of a job of this priority; among equal priorities, the earlier start comes first.
    Sum before(int priority, core::TimePoint startBy) const;

private:
    struct JobWork {
        core::TimePoint startBy {};
        double coreSeconds = 0;
        double tasks = 0;
    };
    struct Level {
        std::vector<JobWork> jobs;
        PendingWork sum; //!< of `jobs`
        double lateCoreSeconds = 0;
    };
    std::map<int, Level> m_levels; //!< by priority
};

} // namespace sardinerun::scheduling

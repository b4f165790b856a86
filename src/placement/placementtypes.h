#pragma once

#include "core/types.h"
#include "jobs/jobtypes.h"

#include <map>

//! Placement: selects the worker of each task without exceeding the capacity of any worker.
namespace sardinerun::placement {

//! Location and capacity of a worker.
struct Worker {
    core::VmId id;
    core::RackId rack;
    core::FailureDomainId failureDomain;
    core::Resources capacity;
};

//! Number of placed tasks of one job in each rack and failure domain. A service is spread over many of them.
struct Spread {
    std::map<core::RackId, int> byRack;
    std::map<core::FailureDomainId, int> byFailureDomain;
};

//! Requirements of a task to be placed.
struct Need {
    core::Resources resources;
    jobs::Urgency urgency = jobs::Urgency::Normal;
    bool isPreemptible = false; //!< may be stopped and restarted
    const Spread* spread = nullptr; //!< null if the tasks need no spreading
};

//! Room committed to one attempt on one worker.
struct Commitment {
    core::VmId worker;
    core::Resources resources;
    jobs::Urgency urgency = jobs::Urgency::Normal;
    bool isPreemptible = false;
    bool isBorrowed = false; //!< uses room of another class's guaranteed share
};

enum class PlacementFailure {
    None,
    NoRoom, //!< no open worker has room now
    OverShare //!< the class has used up its share and the task may not borrow
};

struct Choice {
    PlacementFailure failure = PlacementFailure::None;
    core::VmId worker;
    bool isBorrowed = false;
};

//! Share of the fleet that is guaranteed to each class, in percent. The sum is at most 100.
struct GuaranteedShares {
    jobs::ByUrgency<int> percent { 0, 0, 0 };
    bool operator==(const GuaranteedShares&) const = default;
};

enum class StrategyKind { BestFit, DominantFit, LeastLoaded, FirstFit };

} // namespace sardinerun::placement

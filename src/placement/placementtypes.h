#pragma once

#include "core/types.h"
#include "jobs/jobtypes.h"

#include <map>

//! Placement: which worker gets a task, so that no worker is given more than it can hold.
namespace sardinerun::placement {

//! A worker as the ledger sees it.
struct Worker {
    core::VmId id;
    core::RackId rack;
    core::FailureDomainId failureDomain;
    core::Resources capacity;
};

//! How tasks of one job are spread so far; fewer in one place is better for a service.
struct Spread {
    std::map<core::RackId, int> byRack;
    std::map<core::FailureDomainId, int> byFailureDomain;
};

//! What is to be placed.
struct Need {
    core::Resources resources;
    jobs::Urgency urgency = jobs::Urgency::Normal;
    bool isPreemptible = false; //!< may be stopped and started again
    const Spread* spread = nullptr; //!< null when the place does not matter
};

//! Room held for one attempt on one worker.
struct Commitment {
    core::VmId worker;
    core::Resources resources;
    jobs::Urgency urgency = jobs::Urgency::Normal;
    bool isPreemptible = false;
    bool isBorrowed = false; //!< taken from the guaranteed share of another class
};

enum class Refusal {
    None,
    NoRoom, //!< no worker has room now
    OverShare //!< the class has its share, and the task may not borrow
};

struct Choice {
    Refusal refusal = Refusal::None;
    core::VmId worker;
    bool isBorrowed = false;
};

//! Part of the fleet that each class can always have, in percent. The sum is at most 100.
struct GuaranteedShares {
    jobs::ByUrgency<int> percent { 0, 0, 0 };
    bool operator==(const GuaranteedShares&) const = default;
};

enum class StrategyKind { BestFit, DominantFit, LeastLoaded, FirstFit };

} // namespace sardinerun::placement

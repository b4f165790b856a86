#pragma once

#include "core/types.h"

namespace sardinerun::dispatch {

//! Decides when an overloaded leader releases the leadership.
//!
//! If the VM has become slow, another node is better. If there is too much work, another node would be overloaded as
//! well, and have to take over beside it: the leader rejects new work instead and keeps the lead. Otherwise leaders
//! replace each other until nothing is served.
class YieldPolicy {
public:
    //! Begins a leadership. `wasFormerOverloaded`: the former leader has released it because of overload.
    YieldPolicy(core::TimePoint now, bool wasFormerOverloaded);

    //! Returns whether to release the leadership now.
    bool mustYield(core::TimePoint now, bool isOverloaded, bool isVmSlowed);

private:
    core::TimePoint m_mayYieldAt {};
    core::TimePoint m_mayYieldUnderLoadAt {};
    core::TimePoint m_overloadedSince {}; //!< epoch if it is not overloaded
};

} // namespace sardinerun::dispatch

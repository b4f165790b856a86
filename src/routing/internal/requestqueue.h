#pragma once

#include "routing/routingtypes.h"

#include <deque>
#include <optional>

namespace sardinerun::routing {

//! Identifies a request within its router.
using RequestId = core::Strong<struct RequestTag, std::uint64_t>;

//! Queues the requests of one service that wait for a slot, and counts the slots in use by each urgency class.
//!
//! Each class may always use its guaranteed share of the slots. The remaining slots are assigned by urgency. A request
//! whose wait, estimated from the duration of recent exchanges, would be too long is rejected on arrival. The queue
//! lengths are bounded as well.
class RequestQueue {
public:
    void setPolicy(
        const configuration::RequestPolicy& policy, const placement::GuaranteedShares& shares, bool mayBorrow);

    //! Returns true if a request of the class may use a slot now.
    bool mayStart(jobs::Urgency urgency, std::int64_t usableSlots) const;
    //! Returns true if a request of the class is expected to get a slot in time and its queue is not full.
    bool mayWait(jobs::Urgency urgency, std::int64_t usableSlots) const;

    void push(jobs::Urgency urgency, RequestId id, core::TimePoint deadline);
    //! The next request to start or to reject.
    struct Next {
        RequestId id;
        bool isExpired = false; //!< the deadline has passed, so the request must not start
    };
    //! Removes and returns an expired request if there is one, else the next request that may start.
    std::optional<Next> pop(std::int64_t usableSlots, core::TimePoint now);

    void onStarted(jobs::Urgency urgency) { ++m_running[jobs::indexOf(urgency)]; }
    void onEnded(jobs::Urgency urgency, core::Duration elapsed);
    std::size_t size() const;
    //! Estimates how long a new request of the class would wait for a slot.
    core::Duration expectedWait(jobs::Urgency urgency, std::int64_t usableSlots) const;

private:
    struct Waiting {
        RequestId id;
        core::TimePoint deadline;
    };
    //! Limit on the slots in use by all classes at which the class may still use slots beyond its guarantee.
    std::int64_t maxRunning(jobs::Urgency urgency, std::int64_t usableSlots) const;
    std::int64_t guaranteedSlots(jobs::Urgency urgency, std::int64_t usableSlots) const;
    std::optional<jobs::Urgency> nextClass(std::int64_t usableSlots) const;

    configuration::RequestPolicy m_policy;
    placement::GuaranteedShares m_shares;
    bool m_mayBorrow = false;
    jobs::ByUrgency<std::deque<Waiting>> m_waiting;
    jobs::ByUrgency<std::int64_t> m_running {};
    double m_meanSeconds = 0; //!< moving average of the duration of an exchange with a runner
};

} // namespace sardinerun::routing

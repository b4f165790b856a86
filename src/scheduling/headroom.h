#pragma once

#include "core/types.h"

#include <array>

namespace sardinerun::scheduling {

//! Computes the room that work with slack leaves free for gangs of more urgent queues.
//!
//! A gang needs much room at the same time. If work with slack fills the fleet, the gang must wait until that work
//! ends; if that work is delayed a little instead, both meet their objectives.
class Headroom {
public:
    //! Records that a gang of this priority became ready; `cores` is its total need.
    void onGangArrival(int priority, double cores);
    //! Resets the waiting gangs at the start of a scheduling round.
    void beginRound() { m_waitingCores = {}; }
    //! Records a gang of this priority that waits for room in this round.
    void onGangWaiting(int priority, double cores) { m_waitingCores[indexOf(priority)] += cores; }
    //! Returns the number of cores that a step must leave free when it starts, out of all cores that its queue may use.
    double coresToLeaveFree(int priority, core::Duration slack, bool isLate, double allCores) const;

private:
    //! Priorities beyond the last index count as the last.
    static constexpr std::size_t priorities = 8;
    static std::size_t indexOf(int priority);
    std::array<double, priorities> m_gangCores {}; //!< moving averages of the gang sizes, by priority
    std::array<double, priorities> m_waitingCores {}; //!< sums over the gangs that wait in this round, by priority
};

} // namespace sardinerun::scheduling

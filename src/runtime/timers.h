#pragma once

#include "runtime/iloop.h"

#include <map>
#include <optional>

namespace sardinerun::runtime {

//! Timers of one loop, ordered by due time; timers with the same due time run in the order in which they were added.
class Timers {
public:
    TimerId add(core::TimePoint at, Work work);
    void cancel(TimerId id);

    //! Removes the earliest timer that is due and returns its work; nothing if no timer is due.
    std::optional<Work> popDue(core::TimePoint now);
    std::optional<core::TimePoint> nextDueAt() const;

private:
    using Key = std::pair<core::TimePoint, TimerId>;
    std::map<Key, Work> m_work;
    std::map<TimerId, core::TimePoint> m_dueTimes;
    std::uint64_t m_lastId = 0;
};

} // namespace sardinerun::runtime

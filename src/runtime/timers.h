#pragma once

#include "runtime/iloop.h"

#include <map>
#include <optional>

namespace sardinerun::runtime {

//! Timers of one loop in order of their time; timers of the same time run in the order they were set.
class Timers {
public:
    TimerId add(core::TimePoint at, Work work);
    void cancel(TimerId id);

    //! Takes one timer that is due, or nothing.
    std::optional<Work> takeDue(core::TimePoint now);
    std::optional<core::TimePoint> nextAt() const;

private:
    using Key = std::pair<core::TimePoint, TimerId>;
    std::map<Key, Work> m_queue;
    std::map<TimerId, core::TimePoint> m_times;
    std::uint64_t m_lastId = 0;
};

} // namespace sardinerun::runtime

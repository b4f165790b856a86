#pragma once

#include "core/types.h"
#include "runtime/work.h"

#include <memory>

namespace sardinerun::runtime {

using TimerId = core::Strong<struct TimerTag, std::uint64_t>;

//! Event loop of one thread. A task stays on the same loop from its creation to its end.
class ILoop {
public:
    virtual ~ILoop() = default;

    //! Queues work for the loop's thread and wakes the thread. May be called from any thread.
    virtual void post(Work work) = 0;

    //! Runs work after a delay. May be called only from the loop's own thread.
    virtual TimerId callAfter(core::Duration delay, Work work) = 0;

    //! Cancels a timer that has not run. May be called only from the loop's own thread.
    virtual void cancel(TimerId id) = 0;

    virtual core::TimePoint now() const = 0;
    virtual core::WallTime wallNow() const = 0;
};

using ILoopPtr = std::shared_ptr<ILoop>;

} // namespace sardinerun::runtime

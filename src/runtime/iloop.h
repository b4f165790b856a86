#pragma once

#include "core/types.h"
#include "runtime/work.h"

#include <memory>

namespace sardinerun::runtime {

using TimerId = core::Strong<struct TimerTag, std::uint64_t>;

//! One thread's event loop. Tasks live on one loop for all their life.
class ILoop {
public:
    virtual ~ILoop() = default;

    //! Queues work for the loop's thread and wakes it; may be called from any thread.
    virtual void post(Work work) = 0;

    //! Runs work after a delay; only from the loop's own thread.
    virtual TimerId callAfter(core::Duration delay, Work work) = 0;

    //! Drops a timer that has not run; only from the loop's own thread.
    virtual void cancel(TimerId id) = 0;

    virtual core::TimePoint now() const = 0;
    virtual core::WallTime wallNow() const = 0;
};

using ILoopPtr = std::shared_ptr<ILoop>;

} // namespace sardinerun::runtime

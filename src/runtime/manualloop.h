#pragma once

#include "runtime/iclock.h"
#include "runtime/timers.h"

#include <deque>

namespace sardinerun::runtime {

//! Clock for tests; its time changes only by `advance`.
class ManualClock : public IClock {
public:
    core::TimePoint now() const override { return m_now; }
    core::WallTime wallNow() const override
    {
        return core::WallTime(m_now.time_since_epoch() / std::chrono::milliseconds(1));
    }
    void advance(core::Duration by) { m_now += by; }

private:
    core::TimePoint m_now { std::chrono::hours(1) };
};

using ManualClockPtr = std::shared_ptr<ManualClock>;

//! Loop without a thread, for tests. Work runs only in `runReady` and `advance`, in a deterministic order.
class ManualLoop : public ILoop {
public:
    explicit ManualLoop(ManualClockPtr clock);

    void post(Work work) override;
    TimerId callAfter(core::Duration delay, Work work) override;
    void cancel(TimerId id) override;
    core::TimePoint now() const override;
    core::WallTime wallNow() const override;

    //! Runs queued work and due timers until none is left. Queued work runs before timers.
    void runReady();
    //! Advances the clock by the given time, stopping at each timer to run it and the work that it queues.
    void advance(core::Duration by);

private:
    ManualClockPtr m_clock;
    std::deque<Work> m_queue;
    Timers m_timers;
};

using ManualLoopPtr = std::shared_ptr<ManualLoop>;

} // namespace sardinerun::runtime

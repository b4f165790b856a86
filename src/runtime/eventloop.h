#pragma once

#include "core/ret.h"
#include "runtime/iclock.h"
#include "runtime/timers.h"

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

struct st_h2o_evloop_t;

namespace sardinerun::runtime {

enum class LoopError {
    NoEventLoop //!< h2o could not create its event loop
};

class EventLoop;
using EventLoopPtr = std::shared_ptr<EventLoop>;

//! Is called on the loop's thread after each turn of the loop.
class ITurnObserver {
public:
    virtual ~ITurnObserver() = default;
    virtual void onTurn() = 0;
};

//! Runs an h2o event loop on a dedicated thread, which sleeps until a socket, a timer or posted work wakes it.
class EventLoop : public ILoop {
public:
    static core::RetVal<EventLoopPtr, LoopError> create(std::string name, IClockPtr clock);
    ~EventLoop() override;

    void post(Work work) override;
    TimerId callAfter(core::Duration delay, Work work) override;
    void cancel(TimerId id) override;
    core::TimePoint now() const override;
    core::WallTime wallNow() const override;

    //! Adds an observer until it is destroyed. Must be called before `start` or on the loop's thread,
    //! and not in `onTurn`.
    void observeTurns(std::weak_ptr<ITurnObserver> observer) { m_observers.push_back(std::move(observer)); }
    //! Starts processing. Before this call, sockets may be opened on the loop from the thread that created it.
    void start();
    //! Stops the thread after the work in progress and joins it.
    void stop();

    //! Returns the underlying h2o loop, for modules that own sockets on this thread.
    st_h2o_evloop_t* handle() const;

private:
    struct Queue;
    EventLoop(std::string name, IClockPtr clock);
    bool open();
    void run();
    //! Returns the time until the next timer is due, in milliseconds; at most maxPollTimeoutMs.
    std::int32_t pollTimeoutMs() const;
    bool runDueTimers();
    void notifyObservers();

    std::string m_name;
    IClockPtr m_clock;
    std::unique_ptr<Queue> m_queue;
    Timers m_timers;
    std::vector<std::weak_ptr<ITurnObserver>> m_observers;
    std::atomic<bool> m_isStopping = false;
    std::promise<void> m_startSignal;
    bool m_isStarted = false;
    std::thread m_thread;
};

} // namespace sardinerun::runtime

#pragma once

#include "core/ret.h"
#include "runtime/iclock.h"
#include "runtime/timers.h"

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>

struct st_h2o_evloop_t;

namespace sardinerun::runtime {

enum class LoopError {
    NoEventLoop //!< the library could not create its loop
};

class EventLoop;
using EventLoopPtr = std::shared_ptr<EventLoop>;

//! Loop with a thread of its own on the h2o event loop. It sleeps until a socket, a timer or a message wakes it.
class EventLoop : public ILoop {
public:
    static core::RetVal<EventLoopPtr, LoopError> create(std::string name, IClockPtr clock);
    ~EventLoop() override;

    void post(Work work) override;
    TimerId callAfter(core::Duration delay, Work work) override;
    void cancel(TimerId id) override;
    core::TimePoint now() const override;
    core::WallTime wallNow() const override;

    //! Lets the thread run. Until then sockets may be opened on the loop from the thread that created it.
    void start();
    //! Asks the thread to end after its present work, and waits for it.
    void stop();

    //! The library's loop, for modules that own sockets on this thread.
    st_h2o_evloop_t* handle() const;

private:
    struct Queue;
    EventLoop(std::string name, IClockPtr clock);
    bool open();
    void run();
    //! How long the loop may sleep, in milliseconds.
    std::int32_t idleWait() const;
    bool runDueTimers();

    std::string m_name;
    IClockPtr m_clock;
    std::unique_ptr<Queue> m_queue;
    Timers m_timers;
    std::atomic<bool> m_isStopping = false;
    std::promise<void> m_mayRun;
    bool m_isStarted = false;
    std::thread m_thread;
};

} // namespace sardinerun::runtime

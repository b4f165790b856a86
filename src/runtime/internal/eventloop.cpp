#include "runtime/eventloop.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <mutex>
#include <pthread.h>
#include <vector>

extern "C" {
#include <h2o.h>
#include <h2o/multithread.h>
}

namespace sardinerun::runtime {

namespace {

constexpr std::int32_t idleWaitMs = 1000;

class SystemClock : public IClock {
public:
    core::TimePoint now() const override
    {
        timespec it {};
        clock_gettime(CLOCK_BOOTTIME, &it);
        return core::TimePoint(std::chrono::seconds(it.tv_sec) + std::chrono::microseconds(it.tv_nsec / 1000));
    }

    core::WallTime wallNow() const override
    {
        const auto it = std::chrono::system_clock::now().time_since_epoch();
        return core::WallTime(it / std::chrono::milliseconds(1));
    }
};

} // namespace

IClockPtr systemClock()
{
    return std::make_shared<SystemClock>();
}

//! Work for the loop's thread. The library's queue carries one message that wakes the loop, however much is posted.
struct EventLoop::Queue {
    void post(Work work);
    //! Runs what was posted up to now; whether there was anything.
    bool runAll();
    static void onWake(h2o_multithread_receiver_t* receiver, h2o_linklist_t* messages);

    h2o_multithread_receiver_t receiver {}; //!< first, since the library gives it back
    h2o_evloop_t* loop = nullptr;
    h2o_multithread_queue_t* queue = nullptr;
    h2o_multithread_message_t wake {};
    bool isDue = false; //!< on the loop's thread: the wake-up came
    std::mutex mutex; //!< of what follows
    std::vector<Work> work;
    bool isWoken = false;
    std::thread::id owner; //!< the loop's thread, set before others may post
};

void EventLoop::Queue::post(Work it)
{
    // The loop's own thread runs what it posts on its next turn, so no system call is needed to wake it.
    if (std::this_thread::get_id() == owner) {
        const std::lock_guard lock(mutex);
        work.push_back(std::move(it));
        isDue = true;
        return;
    }
    bool mustWake = false;
    {
        const std::lock_guard lock(mutex);
        work.push_back(std::move(it));
        mustWake = !std::exchange(isWoken, true);
    }
    if (mustWake)
        h2o_multithread_send_message(&receiver, &wake);
}

bool EventLoop::Queue::runAll()
{
    // Not from the library's callback: it would go on as long as work posts work, and starve sockets and timers. What
    // is posted from here on waits for the next turn.
    if (!std::exchange(isDue, false))
        return false;
    std::vector<Work> taken;
    {
        const std::lock_guard lock(mutex);
        taken.swap(work);
    }
    for (Work& it : taken)
        it();
    return true;
}

void EventLoop::Queue::onWake(h2o_multithread_receiver_t* receiver, h2o_linklist_t* messages)
{
    while (!h2o_linklist_is_empty(messages))
        h2o_linklist_unlink(messages->next);
    auto* self = reinterpret_cast<Queue*>(receiver);
    self->isDue = true;
    // Only now may the message be sent again: until here it was in the library's list.
    const std::lock_guard lock(self->mutex);
    self->isWoken = false;
}

core::RetVal<EventLoopPtr, LoopError> EventLoop::create(std::string name, IClockPtr clock)
{
    signal(SIGPIPE, SIG_IGN); // a broken connection is reported by the call that meets it
    EventLoopPtr it(new EventLoop(std::move(name), std::move(clock)));
    // The library keeps its buffers by thread. The queue's socket must belong to the thread that reads it, or two
    // loops share the buffers of the thread that made them both.
    std::promise<bool> isOpen;
    it->m_thread = std::thread([self = it.get(), &isOpen] {
        const bool isGood = self->open();
        auto mayRun = self->m_mayRun.get_future();
        isOpen.set_value(isGood);
        mayRun.wait();
        if (isGood)
            self->run();
    });
    if (!isOpen.get_future().get())
        return core::Failure { LoopError::NoEventLoop };
    return it;
}

bool EventLoop::open()
{
    pthread_setname_np(pthread_self(), m_name.substr(0, 15).c_str());
    m_queue->owner = std::this_thread::get_id();
    m_queue->loop = h2o_evloop_create();
    if (!m_queue->loop)
        return false;
    m_queue->queue = h2o_multithread_create_queue(m_queue->loop);
    h2o_multithread_register_receiver(m_queue->queue, &m_queue->receiver, Queue::onWake);
    return true;
}

EventLoop::EventLoop(std::string name, IClockPtr clock)
    : m_name(std::move(name))
    , m_clock(std::move(clock))
    , m_queue(std::make_unique<Queue>())
{
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::post(Work work)
{
    m_queue->post(std::move(work));
}

TimerId EventLoop::callAfter(core::Duration delay, Work work)
{
    return m_timers.add(now() + delay, std::move(work));
}

void EventLoop::cancel(TimerId id)
{
    m_timers.cancel(id);
}

core::TimePoint EventLoop::now() const
{
    return m_clock->now();
}

core::WallTime EventLoop::wallNow() const
{
    return m_clock->wallNow();
}

void EventLoop::start()
{
    if (!std::exchange(m_isStarted, true))
        m_mayRun.set_value();
}

void EventLoop::stop()
{
    if (!m_thread.joinable())
        return;
    m_isStopping = true;
    start();
    if (m_queue->queue)
        post([] {});
    m_thread.join();
    // What was posted too late is dropped here; it may hold this loop.
    const std::vector<Work> late = std::exchange(m_queue->work, {});
}

st_h2o_evloop_t* EventLoop::handle() const
{
    return m_queue->loop;
}

void EventLoop::run()
{
    bool hasWorked = false;
    while (!m_isStopping) {
        // Work may have left the library something to do for its sockets, which it finds only on its next turn.
        h2o_evloop_run(m_queue->loop, hasWorked || m_queue->isDue ? 0 : idleWait());
        hasWorked = m_queue->runAll();
        hasWorked = runDueTimers() || hasWorked;
    }
}

std::int32_t EventLoop::idleWait() const
{
    const auto at = m_timers.nextAt();
    if (!at)
        return idleWaitMs;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(*at - now()).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(left, 0, idleWaitMs));
}

bool EventLoop::runDueTimers()
{
    // Timers set by these timers wait for the next turn, so that sockets are served in between.
    const core::TimePoint upTo = now();
    bool hasRun = false;
    while (auto due = m_timers.takeDue(upTo)) {
        (*due)();
        hasRun = true;
    }
    return hasRun;
}

} // namespace sardinerun::runtime

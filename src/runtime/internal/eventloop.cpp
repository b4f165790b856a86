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

constexpr std::int32_t maxPollTimeoutMs = 1000;

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

//! Queue of posted work. Any number of posts shares one wake-up message in the h2o queue.
struct EventLoop::Queue {
    void post(Work work);
    //! Runs the work posted so far. Returns false if there was none.
    bool runPosted();
    static void onWake(h2o_multithread_receiver_t* receiver, h2o_linklist_t* messages);

    h2o_multithread_receiver_t receiver {}; //!< must be the first member: onWake casts its address to Queue
    h2o_evloop_t* loop = nullptr;
    h2o_multithread_queue_t* queue = nullptr;
    h2o_multithread_message_t wake {};
    bool hasWork = false; //!< set on a wake-up; accessed only by the loop's thread
    std::mutex mutex; //!< guards work and isWakePending
    std::vector<Work> work;
    bool isWakePending = false;
    std::thread::id loopThread; //!< set before other threads may post
};

void EventLoop::Queue::post(Work it)
{
    // Work posted from the loop's own thread runs in the next iteration, so no system call is needed for a wake-up.
    if (std::this_thread::get_id() == loopThread) {
        const std::lock_guard lock(mutex);
        work.push_back(std::move(it));
        hasWork = true;
        return;
    }
    bool mustWake = false;
    {
        const std::lock_guard lock(mutex);
        work.push_back(std::move(it));
        mustWake = !std::exchange(isWakePending, true);
    }
    if (mustWake)
        h2o_multithread_send_message(&receiver, &wake);
}

bool EventLoop::Queue::runPosted()
{
    // Posted work does not run in the h2o callback: h2o would continue as long as work posts more work, and starve
    // sockets and timers. Work posted from here on runs in the next iteration.
    if (!std::exchange(hasWork, false))
        return false;
    std::vector<Work> batch;
    {
        const std::lock_guard lock(mutex);
        batch.swap(work);
    }
    for (Work& it : batch)
        it();
    return true;
}

void EventLoop::Queue::onWake(h2o_multithread_receiver_t* receiver, h2o_linklist_t* messages)
{
    while (!h2o_linklist_is_empty(messages))
        h2o_linklist_unlink(messages->next);
    auto* self = reinterpret_cast<Queue*>(receiver);
    self->hasWork = true;
    // The message may be sent again only after it has been unlinked from the h2o list.
    const std::lock_guard lock(self->mutex);
    self->isWakePending = false;
}

core::RetVal<EventLoopPtr, LoopError> EventLoop::create(std::string name, IClockPtr clock)
{
    signal(SIGPIPE, SIG_IGN); // a write to a broken connection returns an error instead
    EventLoopPtr loop(new EventLoop(std::move(name), std::move(clock)));
    // h2o has thread-local buffers. The queue's socket must be created by the thread that reads it; otherwise two loops
    // created by one thread share its buffers and corrupt them.
    std::promise<bool> isOpen;
    loop->m_thread = std::thread([self = loop.get(), &isOpen] {
        const bool isOpened = self->open();
        auto startSignal = self->m_startSignal.get_future();
        isOpen.set_value(isOpened);
        startSignal.wait();
        if (isOpened)
            self->run();
    });
    if (!isOpen.get_future().get())
        return core::Failure { LoopError::NoEventLoop };
    return loop;
}

bool EventLoop::open()
{
    pthread_setname_np(pthread_self(), m_name.substr(0, 15).c_str());
    m_queue->loopThread = std::this_thread::get_id();
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
        m_startSignal.set_value();
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
    // Drops work that was posted too late to run. It may own a reference to this loop.
    const std::vector<Work> undelivered = std::exchange(m_queue->work, {});
}

st_h2o_evloop_t* EventLoop::handle() const
{
    return m_queue->loop;
}

void EventLoop::run()
{
    bool hasRunWork = false;
    while (!m_isStopping) {
        // Work may have changed sockets, which h2o processes only in its next iteration, so do not sleep after work.
        h2o_evloop_run(m_queue->loop, hasRunWork || m_queue->hasWork ? 0 : pollTimeoutMs());
        hasRunWork = m_queue->runPosted();
        hasRunWork = runDueTimers() || hasRunWork;
        notifyObservers();
        // h2o lists sockets that were written to here, and frees those that were closed here, at the beginning of its
        // next iteration. As after its own timers, the list has to be worked off before that.
        if (hasRunWork)
            h2o_timeout__do_post_callback(m_queue->loop);
    }
}

void EventLoop::notifyObservers()
{
    bool isAnyGone = false;
    for (const auto& observer : m_observers) {
        const auto it = observer.lock();
        isAnyGone = isAnyGone || !it;
        if (it)
            it->onTurn();
    }
    if (isAnyGone)
        std::erase_if(m_observers, [](const auto& it) { return it.expired(); });
}

std::int32_t EventLoop::pollTimeoutMs() const
{
    const auto at = m_timers.nextDueAt();
    if (!at)
        return maxPollTimeoutMs;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(*at - now()).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(left, 0, maxPollTimeoutMs));
}

bool EventLoop::runDueTimers()
{
    // Timers set by these timers run in the next iteration at the earliest, so that sockets are served in between.
    const core::TimePoint upTo = now();
    bool hasRun = false;
    while (auto due = m_timers.popDue(upTo)) {
        (*due)();
        hasRun = true;
    }
    return hasRun;
}

} // namespace sardinerun::runtime

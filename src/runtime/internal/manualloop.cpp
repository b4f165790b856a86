#include "runtime/manualloop.h"

namespace sardinerun::runtime {

ManualLoop::ManualLoop(ManualClockPtr clock)
    : m_clock(std::move(clock))
{
}

void ManualLoop::post(Work work)
{
    m_queue.push_back(std::move(work));
}

TimerId ManualLoop::callAfter(core::Duration delay, Work work)
{
    return m_timers.add(now() + delay, std::move(work));
}

void ManualLoop::cancel(TimerId id)
{
    m_timers.cancel(id);
}

core::TimePoint ManualLoop::now() const
{
    return m_clock->now();
}

core::WallTime ManualLoop::wallNow() const
{
    return m_clock->wallNow();
}

void ManualLoop::runReady()
{
    for (;;) {
        if (!m_queue.empty()) {
            Work work = std::move(m_queue.front());
            m_queue.pop_front();
            work();
            continue;
        }
        auto due = m_timers.popDue(now());
        if (!due)
            return;
        (*due)();
    }
}

void ManualLoop::advance(core::Duration by)
{
    const core::TimePoint end = now() + by;
    runReady();
    while (m_timers.nextDueAt() && *m_timers.nextDueAt() <= end) {
        m_clock->advance(std::max(core::Duration(0), *m_timers.nextDueAt() - now()));
        runReady();
    }
    m_clock->advance(std::max(core::Duration(0), end - now())); // the work may have advanced it further
    runReady();
}

} // namespace sardinerun::runtime

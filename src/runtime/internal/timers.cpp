#include "runtime/timers.h"

namespace sardinerun::runtime {

TimerId Timers::add(core::TimePoint at, Work work)
{
    const TimerId id(++m_lastId);
    m_queue.emplace(Key(at, id), std::move(work));
    m_times.emplace(id, at);
    return id;
}

void Timers::cancel(TimerId id)
{
    const auto it = m_times.find(id);
    if (it == m_times.end())
        return;
    m_queue.erase(Key(it->second, id));
    m_times.erase(it);
}

std::optional<Work> Timers::takeDue(core::TimePoint now)
{
    const auto it = m_queue.begin();
    if (it == m_queue.end() || it->first.first > now)
        return std::nullopt;
    Work work = std::move(it->second);
    m_times.erase(it->first.second);
    m_queue.erase(it);
    return work;
}

std::optional<core::TimePoint> Timers::nextAt() const
{
    if (m_queue.empty())
        return std::nullopt;
    return m_queue.begin()->first.first;
}

} // namespace sardinerun::runtime

#include "runtime/timers.h"

namespace sardinerun::runtime {

TimerId Timers::add(core::TimePoint at, Work work)
{
    const TimerId id(++m_lastId);
    m_work.emplace(Key(at, id), std::move(work));
    m_dueTimes.emplace(id, at);
    return id;
}

void Timers::cancel(TimerId id)
{
    const auto it = m_dueTimes.find(id);
    if (it == m_dueTimes.end())
        return;
    m_work.erase(Key(it->second, id));
    m_dueTimes.erase(it);
}

std::optional<Work> Timers::popDue(core::TimePoint now)
{
    const auto it = m_work.begin();
    if (it == m_work.end() || it->first.first > now)
        return std::nullopt;
    Work work = std::move(it->second);
    m_dueTimes.erase(it->first.second);
    m_work.erase(it);
    return work;
}

std::optional<core::TimePoint> Timers::nextDueAt() const
{
    if (m_work.empty())
        return std::nullopt;
    return m_work.begin()->first.first;
}

} // namespace sardinerun::runtime

#include "admission/workqueue.h"

#include <limits>

namespace sardinerun::admission {

void WorkQueue::push(const QueueItem& item)
{
    if (contains(item.job))
        return;
    const std::int64_t deadline = item.deadline ? item.deadline->value() : std::numeric_limits<std::int64_t>::max();
    Place place { item, { deadline, item.since, ++m_sequence, item.job }, std::nullopt };
    insertReady(place);
    ++m_classSizes[jobs::indexOf(item.urgency)];
    ++m_teamSizes[item.team];
    m_byAge[jobs::indexOf(item.urgency)].emplace(item.since, item.job);
    m_places.emplace(item.job, std::move(place));
}

void WorkQueue::remove(const core::JobId& job)
{
    const auto it = m_places.find(job);
    if (it == m_places.end())
        return;
    const Place& place = it->second;
    if (place.asideUntil) {
        m_deferred.erase({ *place.asideUntil, job });
        m_paused.erase({ *place.asideUntil, job });
    } else {
        eraseReady(place);
    }
    --m_classSizes[jobs::indexOf(place.item.urgency)];
    if (--m_teamSizes[place.item.team] == 0)
        m_teamSizes.erase(place.item.team);
    m_byAge[jobs::indexOf(place.item.urgency)].erase({ place.item.since, job });
    m_places.erase(it);
}

void WorkQueue::defer(const core::JobId& job, core::TimePoint until)
{
    setAside(job, until, m_deferred);
}

void WorkQueue::pause(const core::JobId& job, core::TimePoint until)
{
    setAside(job, until, m_paused);
}

void WorkQueue::setAside(const core::JobId& job, core::TimePoint until, Aside& aside)
{
    const auto it = m_places.find(job);
    if (it == m_places.end() || it->second.asideUntil)
        return;
    eraseReady(it->second);
    it->second.asideUntil = until;
    aside.emplace(until, job);
}

void WorkQueue::wakeAll()
{
    wakeDue(m_deferred, core::TimePoint::max());
}

void WorkQueue::wakeDue(Aside& aside, core::TimePoint now)
{
    while (!aside.empty() && aside.begin()->first <= now) {
        Place& place = m_places.at(aside.begin()->second);
        aside.erase(aside.begin());
        place.asideUntil.reset();
        insertReady(place);
    }
}

void WorkQueue::insertReady(const Place& place)
{
    m_ready[jobs::indexOf(place.item.urgency)][place.item.team].insert(place.rank);
}

void WorkQueue::eraseReady(const Place& place)
{
    ClassQueue& queue = m_ready[jobs::indexOf(place.item.urgency)];
    const auto it = queue.find(place.item.team);
    it->second.erase(place.rank);
    if (it->second.empty())
        queue.erase(it);
}

const WorkQueue::Rank* WorkQueue::firstOf(const ClassQueue& queue, const ShareView& view) const
{
    const Rank* best = nullptr;
    double least = 0;
    for (const auto& [team, ranks] : queue) {
        const double share = view.ofTeam ? view.ofTeam(team) : 0;
        if (!best || share < least) {
            best = &*ranks.begin();
            least = share;
        }
    }
    return best;
}

std::optional<core::JobId> WorkQueue::pick(
    core::TimePoint now, const placement::GuaranteedShares& shares, const ShareView& view)
{
    wakeDue(m_deferred, now);
    wakeDue(m_paused, now);
    const Rank* fallback = nullptr;
    for (const jobs::Urgency it : jobs::allUrgencies) {
        const std::size_t n = jobs::indexOf(it);
        const Rank* first = view.isBlocked[n] ? nullptr : firstOf(m_ready[n], view);
        if (!first)
            continue;
        if (view.byUrgency[n] * 100 < shares.percent[n])
            return first->job;
        if (!fallback)
            fallback = first;
    }
    if (!fallback)
        return std::nullopt;
    return fallback->job;
}

std::size_t WorkQueue::sizeOf(const core::TeamId& team) const
{
    const auto it = m_teamSizes.find(team);
    return it == m_teamSizes.end() ? 0 : it->second;
}

core::Duration WorkQueue::oldestWait(jobs::Urgency urgency, core::TimePoint now) const
{
    const auto& byAge = m_byAge[jobs::indexOf(urgency)];
    return byAge.empty() ? core::Duration(0) : now - byAge.begin()->first;
}

} // namespace sardinerun::admission

#include "admission/workqueue.h"

#include <limits>

namespace sardinerun::admission {

void WorkQueue::push(const QueueItem& item)
{
    if (contains(item.job))
        return;
    const std::int64_t deadline = item.deadline ? item.deadline->value() : std::numeric_limits<std::int64_t>::max();
    QueueEntry entry { item, { deadline, item.since, ++m_sequence, item.job }, std::nullopt };
    insertReady(entry);
    ++m_classSizes[jobs::indexOf(item.urgency)];
    ++m_teamSizes[item.team];
    m_byAge[jobs::indexOf(item.urgency)].emplace(item.since, item.job);
    m_entries.emplace(item.job, std::move(entry));
}

void WorkQueue::remove(const core::JobId& job)
{
    const auto it = m_entries.find(job);
    if (it == m_entries.end())
        return;
    const QueueEntry& entry = it->second;
    if (entry.deferredUntil) {
        m_deferred.erase({ *entry.deferredUntil, job });
        m_paused.erase({ *entry.deferredUntil, job });
    } else {
        eraseReady(entry);
    }
    --m_classSizes[jobs::indexOf(entry.item.urgency)];
    if (--m_teamSizes[entry.item.team] == 0)
        m_teamSizes.erase(entry.item.team);
    m_byAge[jobs::indexOf(entry.item.urgency)].erase({ entry.item.since, job });
    m_entries.erase(it);
}

void WorkQueue::defer(const core::JobId& job, core::TimePoint until)
{
    deferIn(job, until, m_deferred);
}

void WorkQueue::pause(const core::JobId& job, core::TimePoint until)
{
    deferIn(job, until, m_paused);
}

void WorkQueue::deferIn(const core::JobId& job, core::TimePoint until, DeferredJobs& deferredJobs)
{
    const auto it = m_entries.find(job);
    if (it == m_entries.end() || it->second.deferredUntil)
        return;
    eraseReady(it->second);
    it->second.deferredUntil = until;
    deferredJobs.emplace(until, job);
}

void WorkQueue::wakeDeferred()
{
    wakeDue(m_deferred, core::TimePoint::max());
}

void WorkQueue::wakeDue(DeferredJobs& deferredJobs, core::TimePoint now)
{
    while (!deferredJobs.empty() && deferredJobs.begin()->first <= now) {
        QueueEntry& entry = m_entries.at(deferredJobs.begin()->second);
        deferredJobs.erase(deferredJobs.begin());
        entry.deferredUntil.reset();
        insertReady(entry);
    }
}

void WorkQueue::insertReady(const QueueEntry& entry)
{
    ClassQueue& queue = m_ready[jobs::indexOf(entry.item.urgency)];
    TeamQueue& ranks = queue.teams[entry.item.team];
    if (ranks.empty())
        onUsageChanged(entry.item.team); // it joins the order with its current usage
    ranks.insert(entry.rank);
}

void WorkQueue::eraseReady(const QueueEntry& entry)
{
    ClassQueue& queue = m_ready[jobs::indexOf(entry.item.urgency)];
    const auto it = queue.teams.find(entry.item.team);
    it->second.erase(entry.rank);
    if (!it->second.empty())
        return;
    queue.teams.erase(it);
    queue.order.remove(entry.item.team);
}

void WorkQueue::onWeightsChanged()
{
    for (const ClassQueue& queue : m_ready) {
        for (const auto& [team, ranks] : queue.teams)
            onUsageChanged(team);
    }
}

void WorkQueue::updateOrder(const PickContext& context)
{
    for (const core::TeamId& team : m_outdatedTeams) {
        const double share = context.ofTeam ? context.ofTeam(team) : 0;
        for (ClassQueue& queue : m_ready) {
            if (queue.teams.contains(team))
                queue.order.set(team, share);
        }
    }
    m_outdatedTeams.clear();
}

const WorkQueue::Rank* WorkQueue::firstOf(const ClassQueue& queue)
{
    const core::TeamId* team = queue.order.first();
    return team ? &*queue.teams.at(*team).begin() : nullptr;
}

std::optional<core::JobId> WorkQueue::pick(
    core::TimePoint now, const placement::GuaranteedShares& shares, const PickContext& context)
{
    wakeDue(m_deferred, now);
    wakeDue(m_paused, now);
    updateOrder(context);
    const Rank* fallback = nullptr;
    for (const jobs::Urgency it : jobs::allUrgencies) {
        const std::size_t n = jobs::indexOf(it);
        const Rank* first = context.isBlocked[n] ? nullptr : firstOf(m_ready[n]);
        if (!first)
            continue;
        if (context.byUrgency[n] * 100 < shares.percent[n])
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

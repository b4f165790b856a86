#include "placement/ledger.h"

#include "core/shares.h"

#include <algorithm>

namespace sardinerun::placement {

namespace {

//! Maximum number of workers with room that are scored for one task.
constexpr int maxScored = 48;
//! Penalty for each task of the same job in the same failure domain or rack; strategies score between -4 and 1.
constexpr double sameFailureDomainWeight = 100;
constexpr double sameRackWeight = 10;

template <class Key> int countOf(const std::map<Key, int>& counts, const Key& key)
{
    const auto it = counts.find(key);
    return it == counts.end() ? 0 : it->second;
}

double spreadPenalty(const Need& need, const Worker& worker)
{
    if (!need.spread)
        return 0;
    return sameFailureDomainWeight * countOf(need.spread->byFailureDomain, worker.failureDomain)
        + sameRackWeight * countOf(need.spread->byRack, worker.rack);
}

} // namespace

RoomIndex& Ledger::roomIndexOf(const Entry& entry)
{
    return entry.worker.capacity.accelerators.value() > 0 ? m_accelerated : m_plain;
}

void Ledger::putWorker(const Worker& worker)
{
    const auto [it, isNew] = m_byId.try_emplace(worker.id, WorkerIndex(m_workers.size()));
    if (isNew) {
        m_workers.push_back({ worker });
        m_total = m_total + worker.capacity;
        return;
    }
    Entry& entry = m_workers[it->second];
    const bool wasOpen = entry.isOpen;
    setOpen(worker.id, false);
    m_total = m_total - entry.worker.capacity + worker.capacity;
    entry.worker = worker;
    setOpen(worker.id, wasOpen);
}

std::vector<core::AttemptId> Ledger::removeWorker(const core::VmId& id)
{
    const auto it = m_byId.find(id);
    if (it == m_byId.end())
        return {};
    setOpen(id, false);
    std::vector<core::AttemptId> lost = m_workers[it->second].attempts;
    for (const core::AttemptId& attempt : lost)
        release(attempt);
    m_total = m_total - m_workers[it->second].worker.capacity;
    m_workers[it->second].isPresent = false; // the entry is not reused, so that other indices stay valid
    m_byId.erase(it);
    return lost;
}

void Ledger::setOpen(const core::VmId& id, bool isOpen)
{
    const auto it = m_byId.find(id);
    if (it == m_byId.end() || m_workers[it->second].isOpen == isOpen)
        return;
    Entry& entry = m_workers[it->second];
    entry.isOpen = isOpen;
    if (isOpen) {
        roomIndexOf(entry).insert(it->second, entry.room());
        ++m_openCount;
    } else {
        roomIndexOf(entry).erase(it->second, entry.room());
        --m_openCount;
    }
}

bool Ledger::isOpen(const core::VmId& id) const
{
    const auto it = m_byId.find(id);
    return it != m_byId.end() && m_workers[it->second].isOpen;
}

const Worker* Ledger::worker(const core::VmId& id) const
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? nullptr : &m_workers[it->second].worker;
}

double Ledger::shareOf(jobs::Urgency urgency, const core::Resources& extra) const
{
    return core::dominantShare(m_committedByUrgency[jobs::indexOf(urgency)] + extra, m_total);
}

double Ledger::maxShare(jobs::Urgency urgency) const
{
    int others = 0;
    for (const jobs::Urgency it : jobs::allUrgencies) {
        if (it != urgency)
            others += m_shares.percent[jobs::indexOf(it)];
    }
    return (100 - others) / 100.0;
}

bool Ledger::isWithinGuarantee(const Need& need) const
{
    const double guaranteed = m_shares.percent[jobs::indexOf(need.urgency)] / 100.0;
    return shareOf(need.urgency, need.resources) <= guaranteed;
}

Choice Ledger::choose(const Need& need, const IStrategy& strategy) const
{
    Choice best;
    best.failure = PlacementFailure::NoRoom;
    if (!need.resources.fitsIn(m_total - m_committed))
        return best;
    // The first task of a class is exempt: in a small partition a large task would otherwise never start.
    const bool isFirst = m_committedByUrgency[jobs::indexOf(need.urgency)] == core::Resources {};
    best.isBorrowed = !isFirst && shareOf(need.urgency, need.resources) > maxShare(need.urgency);
    if (best.isBorrowed && !mayBorrow(need)) {
        best.failure = PlacementFailure::OverShare;
        return best;
    }
    if (strategy.order() == VisitOrder::ByInsertion)
        chooseFirstFitting(need, best);
    else
        chooseBestScored(need, strategy, best);
    return best;
}

void Ledger::chooseFirstFitting(const Need& need, Choice& best) const
{
    for (const Entry& it : m_workers) {
        if (it.isOpen && need.resources.fitsIn(it.room())) {
            best.failure = PlacementFailure::None;
            best.worker = it.worker.id;
            return;
        }
    }
}

void Ledger::chooseBestScored(const Need& need, const IStrategy& strategy, Choice& best) const
{
    int remaining = maxScored;
    double bestScore = 0;
    const auto visit = [&](WorkerIndex index) {
        const Entry& entry = m_workers[index];
        const core::Resources room = entry.room();
        if (!need.resources.fitsIn(room))
            return true;
        const double score
            = strategy.score(room - need.resources, entry.worker.capacity) - spreadPenalty(need, entry.worker);
        if (best.failure == PlacementFailure::NoRoom || score > bestScore) {
            bestScore = score;
            best.failure = PlacementFailure::None;
            best.worker = entry.worker.id;
        }
        return --remaining > 0;
    };
    if (need.resources.accelerators.value() == 0)
        m_plain.search(need.resources, strategy.order(), visit);
    if (best.failure == PlacementFailure::NoRoom)
        m_accelerated.search(need.resources, strategy.order(), visit);
}

void Ledger::setCommitted(WorkerIndex index, const core::Resources& committed)
{
    Entry& entry = m_workers[index];
    const core::Resources before = entry.room();
    m_committed = m_committed - entry.committed + committed;
    entry.committed = committed;
    if (entry.isOpen)
        roomIndexOf(entry).move(index, before, entry.room());
}

void Ledger::commit(const core::AttemptId& id, const Commitment& commitment)
{
    release(id);
    const auto it = m_byId.find(commitment.worker);
    if (it == m_byId.end())
        return;
    m_commitments.emplace(id, commitment);
    m_workers[it->second].attempts.push_back(id);
    setCommitted(it->second, m_workers[it->second].committed + commitment.resources);
    auto& ofClass = m_committedByUrgency[jobs::indexOf(commitment.urgency)];
    ofClass = ofClass + commitment.resources;
}

void Ledger::release(const core::AttemptId& id)
{
    const auto it = m_commitments.find(id);
    if (it == m_commitments.end())
        return;
    const Commitment commitment = it->second;
    m_commitments.erase(it);
    const WorkerIndex index = m_byId.at(commitment.worker);
    std::erase(m_workers[index].attempts, id);
    setCommitted(index, m_workers[index].committed - commitment.resources);
    auto& ofClass = m_committedByUrgency[jobs::indexOf(commitment.urgency)];
    ofClass = ofClass - commitment.resources;
}

void Ledger::resize(const core::AttemptId& id, const core::Resources& resources)
{
    const auto it = m_commitments.find(id);
    if (it == m_commitments.end() || it->second.resources == resources)
        return;
    Commitment changed = it->second;
    changed.resources = resources;
    commit(id, changed);
}

const Commitment* Ledger::find(const core::AttemptId& id) const
{
    const auto it = m_commitments.find(id);
    return it == m_commitments.end() ? nullptr : &it->second;
}

std::vector<core::AttemptId> Ledger::attemptsOn(const core::VmId& id) const
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? std::vector<core::AttemptId> {} : m_workers[it->second].attempts;
}

core::Resources Ledger::committedOn(const core::VmId& id) const
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? core::Resources {} : m_workers[it->second].committed;
}

core::Resources Ledger::largestRoom() const
{
    core::Resources largest;
    int remaining = maxScored;
    const auto visit = [&](WorkerIndex index) {
        const core::Resources room = m_workers[index].room();
        if (room.cpu > largest.cpu)
            largest = room;
        return --remaining > 0;
    };
    m_plain.search({}, VisitOrder::MostRoomFirst, visit);
    remaining = maxScored;
    m_accelerated.search({}, VisitOrder::MostRoomFirst, visit);
    return largest;
}

std::vector<core::AttemptId> Ledger::victimsFor(const Need& need) const
{
    std::vector<core::AttemptId> best;
    for (const Entry& entry : m_workers) {
        if (!entry.isOpen)
            continue;
        std::vector<core::AttemptId> victims;
        core::Resources room = entry.room();
        // The newest attempts are preempted first, since they lose the least work.
        for (auto it = entry.attempts.rbegin(); it != entry.attempts.rend() && !need.resources.fitsIn(room); ++it) {
            const Commitment& commitment = m_commitments.at(*it);
            if (!commitment.isBorrowed || commitment.urgency == need.urgency)
                continue;
            victims.push_back(*it);
            room = room + commitment.resources;
        }
        const bool isEnough = !victims.empty() && need.resources.fitsIn(room);
        if (isEnough && (best.empty() || victims.size() < best.size()))
            best = std::move(victims);
    }
    return best;
}

} // namespace sardinerun::placement

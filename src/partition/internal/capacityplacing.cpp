//! The part of a capacity partition that allocates room: placements, preemption and reservations.

#include "partition/internal/attemptlabel.h"
#include "partition/internal/capacity.h"

#include <algorithm>

namespace sardinerun::partition {

void Capacity::onPlace(const protocol::PlaceTasks& message, EventTime at, Effects& effects)
{
    if (isStale(message.from))
        return;
    // A request that is not a resend is valid only for the owner that it names. A resend may concern an attempt that an
    // earlier owner started, so it is ignored until all attempts on the workers are known.
    const bool isForThisOwner = message.isResend ? m_isRecovered : message.toEpoch == m_epoch;
    if (!isForThisOwner) {
        ++m_counters.staleMessages;
        return;
    }
    protocol::PlaceAnswer answer { m_id, m_epoch, message.from, message.id, message.spec.id, {} };
    if (message.mode == protocol::PlaceMode::StartNow) {
        for (const protocol::TaskAttempt& task : message.tasks) {
            const core::AttemptId id = attemptOf(message.spec, task);
            if (!isKnown(id)) {
                const auto worker = allocateRoom(message.spec, id, at.now);
                if (!worker)
                    break; // all tasks of a job need the same resources, so the next one would not fit either
                startAttempt(message.spec, id, *worker, at);
            }
            answer.accepted.push_back(task);
        }
    } else {
        reserve(message, answer, at);
    }
    if (answer.accepted.size() < message.tasks.size()) {
        placement::Need need { message.spec.taskResources, message.spec.urgency };
        preemptFor(need, at, effects);
    }
    effects.push_back(SendMessage { { message.from.partition, std::move(answer) } });
}

std::optional<core::VmId> Capacity::allocateRoom(const jobs::JobSpec& spec, const core::AttemptId& id, core::TimePoint)
{
    placement::Need need;
    need.resources = m_usage.toCommit(spec.workload, spec.taskResources, m_policy.usage);
    need.urgency = spec.urgency;
    need.isPreemptible = spec.isRepeatable && spec.kind != jobs::JobKind::Service && m_policy.mayBorrow;
    const auto spread = m_spread.find(id.job);
    if (spread != m_spread.end())
        need.spread = &spread->second;
    const placement::Choice choice = m_ledger.choose(need, placement::strategyOf(m_policy.strategy));
    if (choice.failure != placement::PlacementFailure::None)
        return std::nullopt;
    m_ledger.commit(id, { choice.worker, need.resources, spec.urgency, need.isPreemptible, choice.isBorrowed });
    if (spec.kind == jobs::JobKind::Service)
        updateSpread(id.job, choice.worker, 1);
    return choice.worker;
}

void Capacity::updateSpread(const core::JobId& job, const core::VmId& worker, int change)
{
    const placement::Worker* it = m_ledger.worker(worker);
    if (!it)
        return;
    placement::Spread& spread = m_spread[job];
    spread.byRack[it->rack] += change;
    spread.byFailureDomain[it->failureDomain] += change;
}

void Capacity::startAttempt(
    const jobs::JobSpec& spec, const core::AttemptId& id, const core::VmId& worker, EventTime at)
{
    const placement::Commitment* commitment = m_ledger.find(id);
    Attempt attempt { worker, spec.workload, spec.taskResources, spec.kind, spec.urgency, commitment->isPreemptible,
        at.now };
    services::StartOrder order;
    order.id = id;
    order.resources = spec.taskResources;
    order.runTime = spec.kind == jobs::JobKind::Service ? core::Duration(0) : spec.runTime;
    order.workload = spec.workload;
    order.label = encodeLabel({ spec.kind, spec.urgency, attempt.isPreemptible });
    m_attempts.emplace(id, std::move(attempt));
    m_links.at(worker)->start(order);
    m_workersWithOrders.insert(worker);
    ++m_counters.tasksPlaced;
}

void Capacity::preemptFor(const placement::Need& need, EventTime at, Effects& effects)
{
    if (!m_ledger.isWithinGuarantee(need))
        return;
    for (const core::AttemptId& it : m_ledger.victimsFor(need)) {
        ++m_counters.tasksPreempted;
        stopAttempt(it, at, effects);
    }
}

void Capacity::reserve(const protocol::PlaceTasks& message, protocol::PlaceAnswer& answer, EventTime at)
{
    const ReservationKey key { message.from.partition, message.id };
    if (!m_reservations.contains(key)) {
        Reservation it { message.spec, {}, at.now + m_times.reservationTime };
        for (const protocol::TaskAttempt& task : message.tasks) {
            const core::AttemptId id = attemptOf(message.spec, task);
            const auto worker = isKnown(id) ? std::nullopt : allocateRoom(message.spec, id, at.now);
            if (!worker)
                break;
            it.tasks.push_back({ task, *worker });
        }
        const bool isEnough
            = message.mode == protocol::PlaceMode::ReserveSome || it.tasks.size() == message.tasks.size();
        if (!isEnough) {
            releaseReservation(it);
            return;
        }
        m_reservations.emplace(key, std::move(it));
    }
    for (const ReservedTask& it : m_reservations.at(key).tasks)
        answer.accepted.push_back(it.task);
}

void Capacity::releaseReservation(const Reservation& reservation)
{
    for (const ReservedTask& it : reservation.tasks) {
        m_ledger.release(attemptOf(reservation.spec, it.task));
        if (reservation.spec.kind == jobs::JobKind::Service)
            updateSpread(reservation.spec.id, it.worker, -1);
    }
}

void Capacity::onCommit(const protocol::CommitReservation& message, EventTime at, Effects& effects)
{
    // Without a reservation the answer depends on the starts of earlier owners, so it waits until those are known.
    if (isStale(message.from) || !m_isRecovered)
        return;
    const auto isTaskKnown = [&](const protocol::TaskAttempt& it) {
        return isKnown({ message.job, it.task, it.attempt });
    };
    bool isStarted = std::all_of(message.tasks.begin(), message.tasks.end(), isTaskKnown);
    const auto it = m_reservations.find({ message.from.partition, message.id });
    if (it != m_reservations.end()) {
        for (const ReservedTask& task : it->second.tasks)
            startAttempt(it->second.spec, attemptOf(it->second.spec, task.task), task.worker, at);
        m_reservations.erase(it);
        isStarted = true;
    }
    protocol::CommitAnswer answer { m_id, m_epoch, message.from, message.id, message.job, isStarted };
    effects.push_back(SendMessage { { message.from.partition, answer } });
}

void Capacity::onRelease(const protocol::ReleaseReservation& message)
{
    const auto it = m_reservations.find({ message.from.partition, message.id });
    if (isStale(message.from) || it == m_reservations.end())
        return;
    releaseReservation(it->second);
    m_reservations.erase(it);
}

void Capacity::releaseExpiredReservations(core::TimePoint now)
{
    for (auto it = m_reservations.begin(); it != m_reservations.end();) {
        if (now < it->second.expiresAt) {
            ++it;
            continue;
        }
        releaseReservation(it->second);
        it = m_reservations.erase(it);
    }
}

} // namespace sardinerun::partition

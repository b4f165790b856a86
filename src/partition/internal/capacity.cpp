#include "partition/internal/capacity.h"

#include "core/hashing.h"

#include <algorithm>

namespace sardinerun::partition {

namespace {

//! Time for which the end of an attempt is remembered after the home persisted it.
constexpr core::Duration tombstoneRetention = std::chrono::minutes(2);
//! Interval of checking all workers for due heartbeats and expired leases. Orders and answers are handled immediately.
constexpr core::Duration pollPeriod = std::chrono::milliseconds(100);

} // namespace

Capacity::Capacity(core::PartitionId id, core::Epoch epoch, std::uint32_t partitionCount, const PartitionTimes& times)
    : m_id(id)
    , m_epoch(epoch)
    , m_partitionCount(partitionCount)
    , m_times(times)
    , m_health(times.health)
{
}

void Capacity::setPolicy(const Policy& policy)
{
    m_policy = policy;
    m_ledger.setShares(policy.shares);
}

void Capacity::setHomeEpochs(const std::map<core::PartitionId, core::Epoch>& epochs)
{
    for (const auto& [home, epoch] : epochs)
        m_homeEpochs[home] = std::max(m_homeEpochs[home], epoch);
}

void Capacity::setWorkers(const std::vector<services::VmInfo>& workers, EventTime at)
{
    m_hasWorkerList = true;
    for (const services::VmInfo& it : workers) {
        m_ledger.putWorker({ it.id, it.rack, it.failureDomain, it.capacity });
        auto& link = m_links[it.id];
        if (!link)
            link = std::make_unique<WorkerLink>(it.address, m_epoch, m_times, at.now);
        link->setAddress(it.address);
        m_workerStates[it.id] = it.state;
        updateAvailability(it.id, at.now);
    }
    // A worker that is no longer listed gets no new attempts, but the exchanges with it continue: the list lags behind,
    // and the outcome of its attempts is known only from the worker or from the expiry of its lease.
    for (auto& [id, state] : m_workerStates) {
        const auto isListed = [&id = id](const services::VmInfo& it) { return it.id == id; };
        if (std::none_of(workers.begin(), workers.end(), isListed)) {
            state = services::VmState::Leaving;
            updateAvailability(id, at.now);
        }
    }
}

std::size_t Capacity::readyWorkers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_links.begin(), m_links.end(), [](const auto& it) { return it.second->isReady(); }));
}

void Capacity::updateAvailability(const core::VmId& worker, core::TimePoint now)
{
    const auto link = m_links.find(worker);
    const bool isUsable = link != m_links.end() && link->second->isReady()
        && m_workerStates[worker] == services::VmState::Live && !m_health.isQuarantined(worker, now);
    m_ledger.setOpen(worker, isUsable);
}

bool Capacity::isStale(const protocol::HomeEpoch& from)
{
    core::Epoch& known = m_homeEpochs[from.partition];
    if (from.epoch < known) {
        ++m_counters.staleMessages;
        return true;
    }
    known = from.epoch;
    return false;
}

core::AttemptId Capacity::attemptOf(const jobs::JobSpec& spec, const protocol::TaskAttempt& task) const
{
    return { spec.id, task.task, task.attempt };
}

bool Capacity::isKnown(const core::AttemptId& id) const
{
    return m_attempts.contains(id) || m_pendingEnds.contains(id) || m_tombstones.contains(id);
}

void Capacity::onStop(const protocol::StopJobs& message, EventTime at, Effects& effects)
{
    if (isStale(message.from))
        return;
    const std::set<core::JobId> jobs(message.jobs.begin(), message.jobs.end());
    std::vector<core::AttemptId> attempts;
    for (const auto& [id, attempt] : m_attempts) {
        if (jobs.contains(id.job))
            attempts.push_back(id);
    }
    std::sort(attempts.begin(), attempts.end());
    for (const core::AttemptId& it : attempts)
        stopAttempt(it, at, effects);
}

void Capacity::stopAttempt(const core::AttemptId& id, EventTime at, Effects& effects)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const auto link = m_links.find(it->second.worker);
    if (link == m_links.end())
        return;
    if (link->second->withdraw(id))
        endAttempt(id, services::AttemptState::Stopped, false, at, effects);
    else
        link->second->stop(id);
    m_workersWithOrders.insert(link->first);
}

void Capacity::endAttempt(
    const core::AttemptId& id, services::AttemptState state, bool isLost, EventTime at, Effects& effects)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const Attempt attempt = it->second;
    if (attempt.kind == jobs::JobKind::Service)
        updateSpread(id.job, attempt.worker, -1);
    m_ledger.release(id);
    m_attempts.erase(it);
    if (isLost)
        ++m_counters.attemptsLost;
    else
        recordHealth(id, attempt, state, at);
    PendingEnd end;
    end.message
        = { m_id, core::partitionOf(id.job.value(), m_partitionCount), id, state, isLost, at.now - attempt.startedAt };
    end.worker = attempt.worker;
    end.nextSend = at.now + m_times.resendInterval;
    effects.push_back(SendMessage { { end.message.home, end.message } });
    m_pendingEnds.emplace(id, std::move(end));
}

void Capacity::recordHealth(
    const core::AttemptId& id, const Attempt& attempt, services::AttemptState state, EventTime at)
{
    using State = services::AttemptState;
    if (state == State::Succeeded)
        m_health.onSuccess(attempt.worker);
    if (state != State::Failed && state != State::NotStarted)
        return;
    const core::Duration runTime = at.now - attempt.startedAt;
    if (m_health.onFailure(attempt.worker, id.job, runTime, m_ledger.workerCount(), at.now)) {
        ++m_counters.workersQuarantined;
        updateAvailability(attempt.worker, at.now);
    }
}

void Capacity::onEndsPersisted(const protocol::EndsPersisted& message, core::TimePoint now)
{
    // A home that was replaced does not know the tasks of its successor, so its answer says nothing about their ends.
    if (isStale(message.from))
        return;
    for (const core::AttemptId& id : message.attempts) {
        const auto it = m_pendingEnds.find(id);
        if (it == m_pendingEnds.end())
            continue;
        if (const auto link = m_links.find(it->second.worker); link != m_links.end())
            link->second->acknowledge(id);
        m_tombstones.insert(id);
        m_tombstoneExpiries.emplace_back(now + tombstoneRetention, id);
        m_pendingEnds.erase(it);
    }
}

void Capacity::onRequestInventory(const protocol::RequestInventory& message, Effects& effects)
{
    if (isStale(message.from))
        return;
    if (m_isRecovered)
        effects.push_back(SendMessage { { message.from.partition, inventoryFor(message.from) } });
    else
        m_inventoryRequesters.push_back(message.from);
}

protocol::Inventory Capacity::inventoryFor(protocol::HomeEpoch home) const
{
    protocol::Inventory inventory { m_id, m_epoch, home, {} };
    const auto add = [&](const core::AttemptId& id) {
        if (core::partitionOf(id.job.value(), m_partitionCount) == home.partition)
            inventory.attempts.push_back(id);
    };
    for (const auto& it : m_attempts)
        add(it.first);
    for (const auto& it : m_pendingEnds)
        add(it.first);
    std::sort(inventory.attempts.begin(), inventory.attempts.end());
    return inventory;
}

void Capacity::updateRecovery(Effects& effects)
{
    if (m_isRecovered || !m_hasWorkerList)
        return;
    const auto isFenced = [](const auto& it) { return it.second->isFenced(); };
    if (!std::all_of(m_links.begin(), m_links.end(), isFenced))
        return;
    m_isRecovered = true;
    for (const protocol::HomeEpoch& it : m_inventoryRequesters)
        effects.push_back(SendMessage { { it.partition, inventoryFor(it) } });
    m_inventoryRequesters.clear();
}

void Capacity::flush(EventTime at, Effects& effects)
{
    for (auto it = m_workersWithOrders.begin(); it != m_workersWithOrders.end();) {
        const auto link = m_links.find(*it);
        auto sync = link->second->next(at.now);
        if (!sync) {
            ++it; // an exchange is in progress; the next one carries the orders
            continue;
        }
        effects.push_back(SyncWorker { *it, link->second->address(), std::move(*sync) });
        it = m_workersWithOrders.erase(it);
    }
}

void Capacity::tick(EventTime at, Effects& effects)
{
    releaseExpiredReservations(at.now);
    removeExpiredTombstones(at.now);
    if (at.now >= m_nextPollAt)
        pollWorkers(at, effects);
    resendEnds(at, effects);
    updateRecovery(effects);
}

void Capacity::pollWorkers(EventTime at, Effects& effects)
{
    m_nextPollAt = at.now + pollPeriod;
    for (auto& [worker, link] : m_links) {
        // The silence of a worker says nothing while another owner may have taken over: it may reach the worker, and
        // extend its lease. Each lost worker waits until the membership is certain.
        if (at.now < m_membershipCertainUntil && link->expireLease(at.now, m_formerOwnerGoneAt))
            endAttemptsOfLostWorker(worker, at, effects);
        if (auto sync = link->next(at.now))
            effects.push_back(SyncWorker { worker, link->address(), std::move(*sync) });
        updateAvailability(worker, at.now);
    }
}

void Capacity::removeExpiredTombstones(core::TimePoint now)
{
    while (!m_tombstoneExpiries.empty() && m_tombstoneExpiries.front().first < now) {
        m_tombstones.erase(m_tombstoneExpiries.front().second);
        m_tombstoneExpiries.pop_front();
    }
}

void Capacity::resendEnds(EventTime at, Effects& effects)
{
    for (auto& [id, end] : m_pendingEnds) {
        if (at.now < end.nextSend)
            continue;
        end.nextSend = at.now + m_times.resendInterval;
        effects.push_back(SendMessage { { end.message.home, end.message } });
    }
}

} // namespace sardinerun::partition

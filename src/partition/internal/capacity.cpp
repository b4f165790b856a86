#include "partition/internal/capacity.h"

#include "core/hashing.h"
#include "partition/internal/label.h"

#include <algorithm>

namespace sardinerun::partition {

namespace {

//! Time for which the end of an attempt is remembered after the home keeps it.
constexpr core::Duration tombstoneTime = std::chrono::minutes(2);
//! Between two looks at all workers for heartbeats and lapses; orders and answers are taken up at once.
constexpr core::Duration visitPeriod = std::chrono::milliseconds(100);

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
        m_states[it.id] = it.state;
        openOrClose(it.id, at.now);
    }
    // A worker that is not listed any more is closed and goes on being asked: the list lags, and only the worker
    // or the lapse of its lease says what became of its attempts.
    for (auto& [id, state] : m_states) {
        const auto isListed = [&id = id](const services::VmInfo& it) { return it.id == id; };
        if (std::none_of(workers.begin(), workers.end(), isListed)) {
            state = services::VmState::Leaving;
            openOrClose(id, at.now);
        }
    }
}

std::size_t Capacity::readyWorkers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_links.begin(), m_links.end(), [](const auto& it) { return it.second->isReady(); }));
}

void Capacity::openOrClose(const core::VmId& worker, core::TimePoint now)
{
    const auto link = m_links.find(worker);
    const bool isUsable = link != m_links.end() && link->second->isReady()
        && m_states[worker] == services::VmState::Live && !m_health.isQuarantined(worker, now);
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
    return m_attempts.contains(id) || m_ends.contains(id) || m_tombstones.contains(id);
}

void Capacity::onPlace(const protocol::PlaceTasks& message, EventTime at, Effects& effects)
{
    if (isStale(message.from))
        return;
    // A first sending was meant for the owner it names. A resend may concern what an earlier owner started, so
    // it waits until everything on the workers is known.
    const bool isForMe = message.isResend ? m_isRecovered : message.toEpoch == m_epoch;
    if (!isForMe) {
        ++m_counters.staleMessages;
        return;
    }
    protocol::PlaceAnswer answer { m_id, m_epoch, message.from, message.id, message.spec.id, {} };
    if (message.mode == protocol::PlaceMode::StartNow) {
        for (const protocol::TaskAttempt& task : message.tasks) {
            const core::AttemptId id = attemptOf(message.spec, task);
            if (!isKnown(id)) {
                const auto worker = takeRoom(message.spec, id, at.now);
                if (!worker)
                    break; // tasks of one job need the same: the next one would not fit either
                startAttempt(message.spec, id, *worker, at);
            }
            answer.taken.push_back(task);
        }
    } else {
        hold(message, answer, at);
    }
    if (answer.taken.size() < message.tasks.size()) {
        placement::Need need { message.spec.taskResources, message.spec.urgency };
        preemptFor(need, at, effects);
    }
    effects.push_back(SendMessage { { message.from.partition, std::move(answer) } });
}

std::optional<core::VmId> Capacity::takeRoom(const jobs::JobSpec& spec, const core::AttemptId& id, core::TimePoint)
{
    placement::Need need;
    need.resources = m_usage.toCommit(spec.workload, spec.taskResources, m_policy.usage);
    need.urgency = spec.urgency;
    need.isPreemptible = spec.isRepeatable && spec.kind != jobs::JobKind::Service && m_policy.mayBorrow;
    const auto spread = m_spread.find(id.job);
    if (spread != m_spread.end())
        need.spread = &spread->second;
    const placement::Choice choice = m_ledger.choose(need, placement::strategyOf(m_policy.strategy));
    if (choice.refusal != placement::Refusal::None)
        return std::nullopt;
    m_ledger.commit(id, { choice.worker, need.resources, spec.urgency, need.isPreemptible, choice.isBorrowed });
    if (spec.kind == jobs::JobKind::Service)
        countSpread(id.job, choice.worker, 1);
    return choice.worker;
}

void Capacity::countSpread(const core::JobId& job, const core::VmId& worker, int change)
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
    order.label = writeLabel({ spec.kind, spec.urgency, attempt.isPreemptible });
    m_attempts.emplace(id, std::move(attempt));
    m_links.at(worker)->start(order);
    m_withOrders.insert(worker);
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

void Capacity::hold(const protocol::PlaceTasks& message, protocol::PlaceAnswer& answer, EventTime at)
{
    const HoldKey key { message.from.partition, message.id };
    if (!m_holds.contains(key)) {
        Hold it { message.spec, {}, at.now + m_times.hold };
        for (const protocol::TaskAttempt& task : message.tasks) {
            const core::AttemptId id = attemptOf(message.spec, task);
            const auto worker = isKnown(id) ? std::nullopt : takeRoom(message.spec, id, at.now);
            if (!worker)
                break;
            it.tasks.push_back({ task, *worker });
        }
        const bool isEnough
            = message.mode == protocol::PlaceMode::ReserveSome || it.tasks.size() == message.tasks.size();
        if (!isEnough) {
            dropHold(it);
            return;
        }
        m_holds.emplace(key, std::move(it));
    }
    for (const HeldTask& it : m_holds.at(key).tasks)
        answer.taken.push_back(it.task);
}

void Capacity::dropHold(const Hold& hold)
{
    for (const HeldTask& it : hold.tasks) {
        m_ledger.release(attemptOf(hold.spec, it.task));
        if (hold.spec.kind == jobs::JobKind::Service)
            countSpread(hold.spec.id, it.worker, -1);
    }
}

void Capacity::onCommit(const protocol::CommitReservation& message, EventTime at, Effects& effects)
{
    // Without the hold the answer depends on what earlier owners did: it must wait until that is known.
    if (isStale(message.from) || !m_isRecovered)
        return;
    const auto isTaskKnown = [&](const protocol::TaskAttempt& it) {
        return isKnown({ message.job, it.task, it.attempt });
    };
    bool isStarted = std::all_of(message.tasks.begin(), message.tasks.end(), isTaskKnown);
    const auto it = m_holds.find({ message.from.partition, message.id });
    if (it != m_holds.end()) {
        for (const HeldTask& task : it->second.tasks)
            startAttempt(it->second.spec, attemptOf(it->second.spec, task.task), task.worker, at);
        m_holds.erase(it);
        isStarted = true;
    }
    protocol::CommitAnswer answer { m_id, m_epoch, message.from, message.id, message.job, isStarted };
    effects.push_back(SendMessage { { message.from.partition, answer } });
}

void Capacity::onRelease(const protocol::ReleaseReservation& message)
{
    const auto it = m_holds.find({ message.from.partition, message.id });
    if (isStale(message.from) || it == m_holds.end())
        return;
    dropHold(it->second);
    m_holds.erase(it);
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
    m_withOrders.insert(link->first);
}

void Capacity::endAttempt(
    const core::AttemptId& id, services::AttemptState state, bool isLost, EventTime at, Effects& effects)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const Attempt attempt = it->second;
    if (attempt.kind == jobs::JobKind::Service)
        countSpread(id.job, attempt.worker, -1);
    m_ledger.release(id);
    m_attempts.erase(it);
    if (isLost)
        ++m_counters.attemptsLost;
    else
        judge(id, attempt, state, at);
    End end;
    end.message
        = { m_id, core::partitionOf(id.job.value(), m_partitionCount), id, state, isLost, at.now - attempt.startedAt };
    end.worker = attempt.worker;
    end.nextSend = at.now + m_times.resend;
    effects.push_back(SendMessage { { end.message.home, end.message } });
    m_ends.emplace(id, std::move(end));
}

void Capacity::judge(const core::AttemptId& id, const Attempt& attempt, services::AttemptState state, EventTime at)
{
    using State = services::AttemptState;
    if (state == State::Succeeded)
        m_health.onSuccess(attempt.worker);
    if (state != State::Failed && state != State::NotStarted)
        return;
    const core::Duration ran = at.now - attempt.startedAt;
    if (m_health.onFailure(attempt.worker, id.job, ran, m_ledger.workerCount(), at.now)) {
        ++m_counters.workersQuarantined;
        openOrClose(attempt.worker, at.now);
    }
}

void Capacity::onEndsPersisted(const protocol::EndsPersisted& message, core::TimePoint now)
{
    for (const core::AttemptId& id : message.attempts) {
        const auto it = m_ends.find(id);
        if (it == m_ends.end())
            continue;
        if (const auto link = m_links.find(it->second.worker); link != m_links.end())
            link->second->acknowledge(id);
        m_tombstones.insert(id);
        m_tombstoneTimes.emplace_back(now + tombstoneTime, id);
        m_ends.erase(it);
    }
}

void Capacity::onRequestInventory(const protocol::RequestInventory& message, Effects& effects)
{
    if (isStale(message.from))
        return;
    if (m_isRecovered)
        effects.push_back(SendMessage { { message.from.partition, inventoryFor(message.from) } });
    else
        m_askedInventory.push_back(message.from);
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
    for (const auto& it : m_ends)
        add(it.first);
    std::sort(inventory.attempts.begin(), inventory.attempts.end());
    return inventory;
}

void Capacity::noteRecovery(Effects& effects)
{
    if (m_isRecovered || !m_hasWorkerList)
        return;
    const auto isFenced = [](const auto& it) { return it.second->isFenced(); };
    if (!std::all_of(m_links.begin(), m_links.end(), isFenced))
        return;
    m_isRecovered = true;
    for (const protocol::HomeEpoch& it : m_askedInventory)
        effects.push_back(SendMessage { { it.partition, inventoryFor(it) } });
    m_askedInventory.clear();
}

void Capacity::flush(EventTime at, Effects& effects)
{
    for (auto it = m_withOrders.begin(); it != m_withOrders.end();) {
        const auto link = m_links.find(*it);
        auto sync = link->second->next(at.now);
        if (!sync) {
            ++it; // an exchange is in progress; the orders go with the next one
            continue;
        }
        effects.push_back(SyncWorker { *it, link->second->address(), std::move(*sync) });
        it = m_withOrders.erase(it);
    }
}

void Capacity::tick(EventTime at, Effects& effects)
{
    dropOldHolds(at.now);
    forgetTombstones(at.now);
    if (at.now >= m_visitAt)
        visitWorkers(at, effects);
    sendEnds(at, effects);
    noteRecovery(effects);
}

void Capacity::visitWorkers(EventTime at, Effects& effects)
{
    m_visitAt = at.now + visitPeriod;
    for (auto& [worker, link] : m_links) {
        if (link->takeLapsed(at.now, m_formerGoneAt))
            loseWorker(worker, at, effects);
        if (auto sync = link->next(at.now))
            effects.push_back(SyncWorker { worker, link->address(), std::move(*sync) });
        openOrClose(worker, at.now);
    }
}

void Capacity::dropOldHolds(core::TimePoint now)
{
    for (auto it = m_holds.begin(); it != m_holds.end();) {
        if (now < it->second.until) {
            ++it;
            continue;
        }
        dropHold(it->second);
        it = m_holds.erase(it);
    }
}

void Capacity::forgetTombstones(core::TimePoint now)
{
    while (!m_tombstoneTimes.empty() && m_tombstoneTimes.front().first < now) {
        m_tombstones.erase(m_tombstoneTimes.front().second);
        m_tombstoneTimes.pop_front();
    }
}

void Capacity::sendEnds(EventTime at, Effects& effects)
{
    for (auto& [id, end] : m_ends) {
        if (at.now < end.nextSend)
            continue;
        end.nextSend = at.now + m_times.resend;
        effects.push_back(SendMessage { { end.message.home, end.message } });
    }
}

} // namespace sardinerun::partition

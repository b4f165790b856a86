//! The part of a home that requests room for tasks.

#include "core/hashing.h"
#include "partition/internal/home.h"

#include <algorithm>

namespace sardinerun::partition {

using jobs::TaskState;

namespace {

constexpr core::Duration maxHintAge = std::chrono::seconds(4);
constexpr core::Duration firstDeferral = std::chrono::milliseconds(50);
constexpr int maxDeferralDoublings = 5;
//! Pause after a fault, doubled with each fault of the task, so that a worker that fails for some time does not use up
//! all attempts of the task.
constexpr core::Duration firstFaultPause = std::chrono::milliseconds(50);
constexpr std::uint32_t maxFaultDoublings = 6;
//! Number of consecutive refusals after which a class is blocked until room is freed or `blockTime` has passed.
constexpr int maxRefusalsInRow = 32;
constexpr core::Duration blockTime = std::chrono::milliseconds(250);
constexpr int maxPicksPerRound = 256;
constexpr std::size_t maxTasksPerRequest = 256;

} // namespace

void Home::changeState(Job& job, core::TaskIndex task, TaskState state)
{
    const TaskState before = job.task(task).state;
    if (before == state)
        return;
    const core::Resources& taskResources = job.spec().taskResources;
    auto& waiting = m_waitingResources[jobs::indexOf(job.spec().urgency)];
    auto& running = m_teamRunning[job.spec().team];
    if (before == TaskState::Waiting)
        waiting = waiting - taskResources;
    if (state == TaskState::Waiting)
        waiting = waiting + taskResources;
    if (before == TaskState::Running)
        running = running - taskResources;
    if (state == TaskState::Running)
        running = running + taskResources;
    if (before == TaskState::Running || state == TaskState::Running)
        m_queue.onUsageChanged(job.spec().team);
    job.setState(task, state);
}

void Home::enqueue(const Job& job)
{
    if (!job.isAccepted || job.isCancelled() || job.waiting().empty() || job.isRecovered)
        return;
    const jobs::JobSpec& spec = job.spec();
    m_queue.push({ spec.id, spec.team, spec.urgency, spec.deadline, job.waitingSince() });
}

admission::PickContext Home::pickContext(core::TimePoint now) const
{
    admission::PickContext view;
    view.byUrgency = m_fleet.shares;
    for (const jobs::Urgency it : jobs::allUrgencies)
        view.isBlocked[jobs::indexOf(it)] = now < m_blockedUntil[jobs::indexOf(it)];
    view.ofTeam = [this](const core::TeamId& team) {
        const auto running = m_teamRunning.find(team);
        const auto weight = m_policy.teamWeights.find(team);
        const double cpu = running == m_teamRunning.end() ? 0 : static_cast<double>(running->second.cpu.value());
        return cpu / (weight == m_policy.teamWeights.end() ? 1 : weight->second);
    };
    return view;
}

void Home::placeWaiting(EventTime at, Effects& effects)
{
    if (std::exchange(m_isRoomFreed, false)) {
        ++m_roomGeneration;
        m_queue.wakeDeferred();
        m_blockedUntil = {};
    }
    for (int n = 0; n < maxPicksPerRound; ++n) {
        const auto id = m_queue.pick(at.now, m_policy.shares, pickContext(at.now));
        if (!id)
            return;
        place(m_jobs.at(*id), at, effects);
    }
}

void Home::place(Job& job, EventTime at, Effects& effects)
{
    if (job.spec().kind == jobs::JobKind::Gang) {
        beginGang(job, at, effects);
        return;
    }
    if (const auto target = targetFor(job, at.now))
        sendPlace(job, *target, at, effects);
    else
        defer(job, at.now);
}

bool Home::hasHintedRoom(core::PartitionId partition, const core::Resources& need, core::TimePoint now) const
{
    const auto it = m_hints.find(partition);
    return it != m_hints.end() && now - it->second.at < maxHintAge && need.fitsIn(it->second.message.largest)
        && ownerOf(partition) == it->second.message.fromEpoch;
}

std::optional<core::PartitionId> Home::targetFor(const Job& job, core::TimePoint now) const
{
    const bool isRefusedHere = job.refusedBy.contains(m_id) && job.refusedInGeneration >= m_roomGeneration;
    if (!isRefusedHere)
        return m_id;
    std::optional<core::PartitionId> best;
    core::MilliCpu most;
    for (const auto& [partition, hint] : m_hints) {
        const bool isUsable = partition != m_id && !job.refusedBy.contains(partition)
            && hasHintedRoom(partition, job.spec().taskResources, now);
        if (isUsable && (!best || hint.message.room.cpu > most)) {
            best = partition;
            most = hint.message.room.cpu;
        }
    }
    return best;
}

core::AttemptNumber Home::newAttempt(TaskRecord& task) const
{
    const core::AttemptNumber first = firstAttemptOf(m_epoch);
    task.attempt = task.attempt < first ? first : core::AttemptNumber(task.attempt.value() + 1);
    return task.attempt;
}

void Home::sendPlace(Job& job, core::PartitionId target, EventTime at, Effects& effects)
{
    protocol::PlaceTasks message;
    message.from = homeEpoch();
    message.to = target;
    message.toEpoch = ownerOf(target);
    message.id = protocol::PlacementId(++m_lastPlacement);
    message.spec = job.spec();
    while (!job.waiting().empty() && message.tasks.size() < maxTasksPerRequest) {
        const core::TaskIndex task = *job.waiting().begin();
        TaskRecord& record = job.mutableTask(task);
        record.partition = target;
        message.tasks.push_back({ task, newAttempt(record) });
        changeState(job, task, TaskState::Placing);
    }
    if (job.waiting().empty())
        m_queue.remove(job.spec().id);
    PendingPlacement pending { message, std::nullopt, at.now };
    // The start of a non-repeatable task is persisted before it can happen, in case this owner ends.
    if (!job.spec().isRepeatable)
        pending.awaitedRevision = persist(job, false);
    else
        effects.push_back(SendMessage { { target, message } });
    m_pendingPlacements.emplace(message.id, std::move(pending));
}

namespace {

//! Returns a time between 0.5 and 1.5 times `base`, so that jobs deferred together do not return at the same time.
core::Duration withJitter(core::Duration base, const Job& job)
{
    const auto span = static_cast<std::uint64_t>(base.count());
    const auto jitter = core::stableHash(job.spec().id.value(), job.deferrals) % span;
    return base / 2 + core::Duration(static_cast<std::int64_t>(jitter));
}

} // namespace

void Home::defer(Job& job, core::TimePoint now)
{
    const int doublings = std::min<int>(static_cast<int>(job.deferrals++), maxDeferralDoublings);
    job.refusedBy.clear();
    m_queue.defer(job.spec().id, now + withJitter(firstDeferral * (1 << doublings), job));
    recordRefusal(job.spec().urgency, now);
}

void Home::pause(Job& job, std::uint32_t faults, core::TimePoint now)
{
    m_queue.pause(job.spec().id, now + withJitter(firstFaultPause * (1 << std::min(faults, maxFaultDoublings)), job));
}

void Home::recordRefusal(jobs::Urgency urgency, core::TimePoint now)
{
    int& n = m_refusalsInRow[jobs::indexOf(urgency)];
    if (++n < maxRefusalsInRow)
        return;
    n = 0;
    m_blockedUntil[jobs::indexOf(urgency)] = now + blockTime;
}

void Home::recordPlaced(Job& job, EventTime at)
{
    job.deferrals = 0;
    m_refusalsInRow[jobs::indexOf(job.spec().urgency)] = 0;
    if (std::exchange(job.wasPlaced, true))
        return;
    ++m_counters.jobsPlaced;
    m_counters.waitSecondsSum += std::chrono::duration<double>(at.now - job.waitingSince()).count();
}

bool Home::isStaleCapacity(core::PartitionId from, core::Epoch epoch)
{
    const auto it = m_capacityEpochs.find(from);
    if (it == m_capacityEpochs.end() || epoch >= it->second)
        return false;
    ++m_counters.staleMessages;
    return true;
}

void Home::onPlaceAnswer(const protocol::PlaceAnswer& message, EventTime at, Effects& effects)
{
    if (message.to != homeEpoch() || isStaleCapacity(message.from, message.fromEpoch))
        return;
    const auto job = m_jobs.find(message.job);
    if (const auto it = m_gangs.find(message.job); it != m_gangs.end() && job != m_jobs.end()) {
        applyGangActions(job->second, it->second.onPlaceAnswer(message), at, effects);
        return;
    }
    const auto pending = m_pendingPlacements.find(message.id);
    if (pending == m_pendingPlacements.end() || job == m_jobs.end())
        return;
    const std::vector<protocol::TaskAttempt> tasks = std::move(pending->second.message.tasks);
    m_pendingPlacements.erase(pending);
    Job& it = job->second;
    const std::set<protocol::TaskAttempt> accepted(message.accepted.begin(), message.accepted.end());
    for (const protocol::TaskAttempt& task : tasks) {
        const TaskRecord& record = it.task(task.task);
        if (record.state != TaskState::Placing || record.attempt != task.attempt)
            continue;
        const TaskState other = it.isCancelled() ? TaskState::Cancelled : TaskState::Waiting;
        changeState(it, task.task, accepted.contains(task) ? TaskState::Running : other);
    }
    if (accepted.size() < tasks.size()) {
        it.refusedBy.insert(message.from);
        it.refusedInGeneration = m_roomGeneration;
        enqueue(it);
        // The record marks the tasks as possibly started; after the refusal it is corrected.
        if (!it.spec().isRepeatable)
            persist(it, false);
    }
    if (!accepted.empty())
        recordPlaced(it, at);
    // The job may have been cancelled while the request was in flight.
    if (it.isCancelled()) {
        if (!accepted.empty())
            stopJob(it, effects);
        persist(it, false);
    }
    onTasksChanged(it, at, effects);
}

void Home::onHint(const protocol::RoomHint& message, core::TimePoint now)
{
    if (message.from == m_id)
        return;
    m_hints[message.from] = { message, now };
}

} // namespace sardinerun::partition

//! The part of a home that starts gangs.

#include "partition/internal/home.h"

#include <algorithm>

namespace sardinerun::partition {

using jobs::TaskState;

namespace {

//! Number of partitions that get a request for room for the whole gang before room is reserved in pieces.
constexpr std::size_t maxWholeCandidates = 3;

} // namespace

void Home::beginGang(Job& job, EventTime at, Effects& effects)
{
    std::vector<protocol::TaskAttempt> tasks;
    for (const core::TaskIndex task : std::set<core::TaskIndex>(job.waiting())) {
        tasks.push_back({ task, newAttempt(job.mutableTask(task)) });
        changeState(job, task, TaskState::Placing);
    }
    m_queue.remove(job.spec().id);
    const core::Resources all = job.spec().taskResources * static_cast<std::int64_t>(tasks.size());
    std::vector<core::PartitionId> wholeCandidates { m_id };
    std::vector<core::PartitionId> pieceCandidates;
    for (std::uint32_t n = 0; n < m_partitionCount; ++n) {
        const core::PartitionId it(n);
        const auto hint = m_hints.find(it);
        const bool hasSome = it == m_id || hasHintedRoom(it, job.spec().taskResources, at.now);
        if (hasSome)
            pieceCandidates.push_back(it);
        if (it != m_id && hasSome && all.fitsIn(hint->second.message.room)
            && wholeCandidates.size() < maxWholeCandidates)
            wholeCandidates.push_back(it);
    }
    const auto nextId = [this] { return protocol::PlacementId(++m_lastPlacement); };
    auto& it
        = m_gangs.insert_or_assign(job.spec().id, Gang(tasks, wholeCandidates, pieceCandidates, nextId)).first->second;
    if (!job.spec().isRepeatable)
        persist(job, false);
    applyGangActions(job, it.begin(), at, effects);
}

void Home::sendGangRequest(const Job& job, const GangRequest& request, bool isResend, Effects& effects) const
{
    using Kind = GangRequest::Kind;
    const core::JobId& id = job.spec().id;
    protocol::Message message;
    if (request.kind == Kind::Commit) {
        message = protocol::CommitReservation { homeEpoch(), request.to, request.id, id, request.tasks };
    } else if (request.kind == Kind::Release) {
        message = protocol::ReleaseReservation { homeEpoch(), request.to, request.id };
    } else {
        const auto mode
            = request.kind == Kind::ReserveAll ? protocol::PlaceMode::ReserveAll : protocol::PlaceMode::ReserveSome;
        message = protocol::PlaceTasks { homeEpoch(), request.to, ownerOf(request.to), request.id, mode, isResend,
            job.spec(), request.tasks };
    }
    effects.push_back(SendMessage { { request.to, std::move(message) } });
}

void Home::applyGangActions(Job& job, const GangActions& actions, EventTime at, Effects& effects)
{
    const core::JobId id = job.spec().id;
    for (const GangRequest& it : actions.requests) {
        if (it.kind == GangRequest::Kind::Commit && !job.spec().isRepeatable && m_unpersisted.contains(id)) {
            // The start of a non-repeatable task is persisted before it can happen.
            sendAfterPersisted(
                id, { { it.to, protocol::CommitReservation { homeEpoch(), it.to, it.id, id, it.tasks } } }, effects);
            continue;
        }
        sendGangRequest(job, it, false, effects);
    }
    for (const protocol::TaskAttempt& it : actions.started) {
        TaskRecord& task = job.mutableTask(it.task);
        if (task.state != TaskState::Placing || task.attempt != it.attempt)
            continue;
        task.partition = actions.startedAt;
        changeState(job, it.task, TaskState::Running);
    }
    if (!actions.isAllStarted && !actions.isAborted && !actions.isPartlyStarted)
        return;
    m_gangs.erase(id);
    for (std::uint32_t n = 0; n < job.taskCount(); ++n) {
        const core::TaskIndex task(n);
        if (job.task(task).state == TaskState::Placing)
            changeState(job, task, job.isCancelled() ? TaskState::Cancelled : TaskState::Waiting);
    }
    if (actions.isAllStarted)
        recordPlaced(job, at);
    if ((actions.isPartlyStarted || job.isCancelled()) && job.count(TaskState::Running) > 0)
        stopJob(job, effects);
    if (job.isCancelled())
        persist(job, false);
    onTasksChanged(job, at, effects);
    if (actions.isAborted && m_queue.contains(id))
        defer(job, at.now);
}

void Home::onCommitAnswer(const protocol::CommitAnswer& message, EventTime at, Effects& effects)
{
    const auto job = m_jobs.find(message.job);
    const auto it = m_gangs.find(message.job);
    if (message.to != homeEpoch() || job == m_jobs.end() || it == m_gangs.end())
        return;
    if (isStaleCapacity(message.from, message.fromEpoch))
        return;
    applyGangActions(job->second, it->second.onCommitAnswer(message), at, effects);
}

} // namespace sardinerun::partition

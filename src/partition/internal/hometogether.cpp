//! The part of a home that starts the tasks of all-at-once jobs.

#include "partition/internal/home.h"

#include <algorithm>

namespace sardinerun::partition {

using jobs::TaskState;

namespace {

//! Partitions that are asked for room for all tasks before pieces are held.
constexpr std::size_t maxWholeCandidates = 3;

} // namespace

void Home::beginAllAtOnce(Job& job, EventTime at, Effects& effects)
{
    std::vector<protocol::TaskAttempt> tasks;
    for (const core::TaskIndex task : std::set<core::TaskIndex>(job.waiting())) {
        tasks.push_back({ task, newAttempt(job.mutableTask(task)) });
        changeState(job, task, TaskState::Placing);
    }
    m_queue.remove(job.spec().id);
    const core::Resources all = job.spec().taskResources * static_cast<std::int64_t>(tasks.size());
    std::vector<core::PartitionId> whole { m_id };
    std::vector<core::PartitionId> pieces;
    for (std::uint32_t n = 0; n < m_partitionCount; ++n) {
        const core::PartitionId it(n);
        const auto hint = m_hints.find(it);
        const bool hasSome = it == m_id || hasHintedRoom(it, job.spec().taskResources, at.now);
        if (hasSome)
            pieces.push_back(it);
        if (it != m_id && hasSome && all.fitsIn(hint->second.message.room) && whole.size() < maxWholeCandidates)
            whole.push_back(it);
    }
    const auto nextId = [this] { return protocol::PlacementId(++m_lastPlacement); };
    auto& it = m_allAtOnce.insert_or_assign(job.spec().id, Gang(tasks, whole, pieces, nextId)).first->second;
    if (!job.spec().isRepeatable)
        keep(job, false);
    applyStep(job, it.begin(), at, effects);
}

void Home::sendRequest(const Job& job, const AllAtOnceRequest& request, bool isResend, Effects& effects) const
{
    using Kind = AllAtOnceRequest::Kind;
    const core::JobId& id = job.spec().id;
    protocol::Message message;
    if (request.kind == Kind::Commit) {
        message = protocol::CommitReservation { stamp(), request.to, request.id, id, request.tasks };
    } else if (request.kind == Kind::Release) {
        message = protocol::ReleaseReservation { stamp(), request.to, request.id };
    } else {
        const auto mode
            = request.kind == Kind::ReserveAll ? protocol::PlaceMode::ReserveAll : protocol::PlaceMode::ReserveSome;
        message = protocol::PlaceTasks { stamp(), request.to, ownerOf(request.to), request.id, mode, isResend,
            job.spec(), request.tasks };
    }
    effects.push_back(SendMessage { { request.to, std::move(message) } });
}

void Home::applyStep(Job& job, const AllAtOnceStep& step, EventTime at, Effects& effects)
{
    const core::JobId id = job.spec().id;
    for (const AllAtOnceRequest& it : step.requests) {
        if (it.kind == AllAtOnceRequest::Kind::Commit && !job.spec().isRepeatable && m_unkept.contains(id)) {
            // Kept first: a start that may not be repeated is recorded before it can happen.
            sendAfterKept(
                id, { { it.to, protocol::CommitReservation { stamp(), it.to, it.id, id, it.tasks } } }, effects);
            continue;
        }
        sendRequest(job, it, false, effects);
    }
    for (const protocol::TaskAttempt& it : step.started) {
        TaskRecord& task = job.mutableTask(it.task);
        if (task.state != TaskState::Placing || task.attempt != it.attempt)
            continue;
        task.where = step.startedAt;
        changeState(job, it.task, TaskState::Running);
    }
    if (!step.isDone && !step.isGivenUp && !step.isBroken)
        return;
    m_allAtOnce.erase(id);
    for (std::uint32_t n = 0; n < job.taskCount(); ++n) {
        const core::TaskIndex task(n);
        if (job.task(task).state == TaskState::Placing)
            changeState(job, task, job.isCancelled() ? TaskState::Cancelled : TaskState::Waiting);
    }
    if (step.isDone)
        notePlaced(job, at);
    if ((step.isBroken || job.isCancelled()) && job.count(TaskState::Running) > 0)
        stopJob(job, effects);
    if (job.isCancelled())
        keep(job, false);
    afterChange(job, at, effects);
    if (step.isGivenUp && m_queue.contains(id))
        defer(job, at.now);
}

void Home::onCommitAnswer(const protocol::CommitAnswer& message, EventTime at, Effects& effects)
{
    const auto job = m_jobs.find(message.job);
    const auto it = m_allAtOnce.find(message.job);
    if (message.to != stamp() || job == m_jobs.end() || it == m_allAtOnce.end())
        return;
    if (isStaleCapacity(message.from, message.fromEpoch))
        return;
    applyStep(job->second, it->second.onCommitAnswer(message), at, effects);
}

} // namespace sardinerun::partition

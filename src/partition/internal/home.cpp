#include "partition/internal/home.h"

#include "codec/json.h"
#include "core/hashing.h"
#include "jobs/jobcodec.h"

#include <algorithm>

namespace sardinerun::partition {

using jobs::TaskState;

namespace {

constexpr core::Duration hintAge = std::chrono::seconds(4);
constexpr core::Duration firstDeferral = std::chrono::milliseconds(50);
constexpr int maxDeferralDoublings = 5;
//! Refusals in a row after which a class waits until room is freed.
constexpr int maxRefusalsInRow = 32;
constexpr core::Duration blockedTime = std::chrono::milliseconds(250);
constexpr int maxPicksPerPump = 256;
constexpr std::size_t maxTasksPerRequest = 256;
//! A worker that cannot start a task is not the task's fault, so more such failures are borne.
constexpr std::uint32_t startFailuresPerAttempt = 5;
constexpr std::size_t maxWholeCandidates = 3;

} // namespace

Home::Home(core::PartitionId id, core::Epoch epoch, std::uint32_t partitionCount, const Times& times,
    acceptance::GroupLog& log)
    : m_id(id)
    , m_epoch(epoch)
    , m_partitionCount(partitionCount)
    , m_times(times)
    , m_log(log)
{
}

acceptance::ItemId Home::itemOf(const core::JobId& job)
{
    return acceptance::ItemId("job/" + job.value());
}

void Home::setPolicy(const Policy& policy)
{
    m_policy = policy;
    m_gate.setLimits(policy.queues);
}

void Home::setFleet(FleetView fleet)
{
    m_fleet = std::move(fleet);
}

core::Epoch Home::ownerOf(core::PartitionId partition) const
{
    if (partition == m_id)
        return m_epoch;
    const auto it = m_fleet.owners.find(partition);
    return it == m_fleet.owners.end() ? core::Epoch(0) : it->second;
}

// --- Records

acceptance::Revision Home::keep(const Job& job, bool isRefusable)
{
    const core::JobId& id = job.spec().id;
    const auto revision = m_log.append(itemOf(id), codec::writeJson(jobs::encodeSnapshot(job.snapshot())), isRefusable);
    m_unkept[id] = revision;
    return revision;
}

void Home::sendAfterKept(const core::JobId& job, SendMessage send, Effects& effects)
{
    const auto it = m_unkept.find(job);
    if (it == m_unkept.end())
        effects.push_back(std::move(send));
    else
        m_afterKept[job].push_back({ it->second, std::move(send) });
}

void Home::sendEndKept(const core::JobId& job, const protocol::AttemptEnded& message, Effects& effects)
{
    sendAfterKept(job, { { message.from, protocol::EndsKept { stamp(), message.from, { message.id } } } }, effects);
}

void Home::onKept(const core::JobId& id, acceptance::Revision revision, Moment at, Effects& effects)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end())
        return;
    Job& job = it->second;
    if (!job.isAccepted) {
        job.isAccepted = true;
        ++m_counters.jobsAccepted;
        enqueue(job);
    }
    if (const auto unkept = m_unkept.find(id); unkept != m_unkept.end() && unkept->second <= revision)
        m_unkept.erase(unkept);
    if (auto submitters = m_submitters.extract(id)) {
        for (const protocol::Asker& asker : submitters.mapped())
            answerSubmit(asker, { asker.token, protocol::SubmitOutcome::Accepted, id, {} }, effects);
    }
    auto& waiting = m_afterKept[id];
    for (AfterKept& entry : waiting) {
        if (entry.revision <= revision)
            effects.push_back(std::move(entry.send));
    }
    std::erase_if(waiting, [revision](const AfterKept& entry) { return entry.revision <= revision; });
    if (waiting.empty())
        m_afterKept.erase(id);
    for (auto& [placement, outstanding] : m_outstanding) {
        if (outstanding.message.spec.id != id || !outstanding.awaits || *outstanding.awaits > revision)
            continue;
        outstanding.awaits.reset();
        outstanding.sentAt = at.now;
        effects.push_back(SendMessage { { outstanding.message.to, outstanding.message } });
    }
}

void Home::onRefused(const core::JobId& id, Effects& effects)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end() || it->second.isAccepted)
        return;
    admission::Refusal refusal { admission::RefusalReason::StoreDown, "the platform's store does not answer",
        std::chrono::seconds(5) };
    if (auto submitters = m_submitters.extract(id)) {
        for (const protocol::Asker& asker : submitters.mapped())
            answerSubmit(asker, { asker.token, protocol::SubmitOutcome::Refused, id, refusal }, effects);
    }
    m_unkept.erase(id);
    m_afterKept.erase(id);
    for (const core::TaskIndex task : std::set<core::TaskIndex>(it->second.waiting()))
        changeState(it->second, task, TaskState::Cancelled);
    m_jobs.erase(it);
    ++m_counters.jobsRefused;
}

// --- Submitting and reading

void Home::answerSubmit(const protocol::Asker& asker, const protocol::SubmitAnswer& answer, Effects& effects)
{
    effects.push_back(SendMessage { { asker.node, answer } });
}

void Home::answerKnown(const protocol::SubmitJob& message, Job& job, Effects& effects)
{
    // The deadline is reckoned from the time of the request, so a resend has another one.
    jobs::JobSpec known = job.spec();
    known.deadline = message.spec.deadline;
    const core::JobId& id = message.spec.id;
    if (known != message.spec) {
        answerSubmit(message.asker, { message.asker.token, protocol::SubmitOutcome::Conflict, id, {} }, effects);
        return;
    }
    if (job.isAccepted)
        answerSubmit(message.asker, { message.asker.token, protocol::SubmitOutcome::Accepted, id, {} }, effects);
    else
        m_submitters[id].push_back(message.asker);
}

std::optional<admission::Refusal> Home::refusalOf(const jobs::JobSpec& spec, Moment at) const
{
    if (!m_log.isHealthy()) {
        return admission::Refusal { admission::RefusalReason::StoreDown, "the platform's store does not answer",
            std::chrono::seconds(5) };
    }
    admission::GateView view;
    view.fleet = &m_fleet.shapes;
    view.roomOfHome = m_fleet.ownRoom;
    view.now = at.wall;
    for (const jobs::Urgency it : jobs::allUrgencies) {
        if (it <= spec.urgency)
            view.waiting = view.waiting + m_waitingResources[jobs::indexOf(it)];
    }
    return m_gate.refuse(spec, m_queue, m_runTimes, view);
}

void Home::onSubmit(const protocol::SubmitJob& message, Moment at, Effects& effects)
{
    if (const auto known = m_jobs.find(message.spec.id); known != m_jobs.end()) {
        answerKnown(message, known->second, effects);
        return;
    }
    if (auto refusal = refusalOf(message.spec, at)) {
        ++m_counters.jobsRefused;
        answerSubmit(message.asker,
            { message.asker.token, protocol::SubmitOutcome::Refused, message.spec.id, std::move(*refusal) }, effects);
        return;
    }
    jobs::JobSnapshot snapshot;
    snapshot.spec = message.spec;
    snapshot.acceptedAt = at.wall;
    auto& job = m_jobs.emplace(message.spec.id, Job(std::move(snapshot), at.now)).first->second;
    auto& waiting = m_waitingResources[jobs::indexOf(message.spec.urgency)];
    waiting = waiting + message.spec.each * message.spec.taskCount;
    m_submitters[message.spec.id].push_back(message.asker);
    keep(job, true);
}

void Home::onCancel(const protocol::CancelJobs& message, Moment at, Effects& effects)
{
    std::vector<core::JobId> ids = message.jobs;
    if (!message.workload.empty()) {
        for (const auto& [id, job] : m_jobs) {
            if (job.spec().workload == message.workload)
                ids.push_back(id);
        }
    }
    protocol::CancelAnswer answer { message.asker.token, 0 };
    std::map<core::PartitionId, std::vector<core::JobId>> stops;
    const core::JobId* last = nullptr;
    for (const core::JobId& id : ids) {
        const auto it = m_jobs.find(id);
        const bool isAllowed
            = it != m_jobs.end() && (message.team.value().empty() || it->second.spec().team == message.team);
        if (!isAllowed || !cancelJob(it->second, stops, at, effects))
            continue;
        ++answer.cancelled;
        last = &it->first;
    }
    for (auto& [partition, jobs] : stops)
        effects.push_back(SendMessage { { partition, protocol::StopJobs { stamp(), partition, std::move(jobs) } } });
    // Records are kept in order, so the last one of the wave stands for all.
    SendMessage send { { message.asker.node, answer } };
    if (last)
        sendAfterKept(*last, std::move(send), effects);
    else
        effects.push_back(std::move(send));
}

bool Home::cancelJob(
    Job& job, std::map<core::PartitionId, std::vector<core::JobId>>& stops, Moment at, Effects& effects)
{
    if (job.isEnded() || job.isCancelled())
        return false;
    job.setCancelled();
    m_queue.remove(job.spec().id);
    for (const core::TaskIndex task : std::set<core::TaskIndex>(job.waiting()))
        changeState(job, task, TaskState::Cancelled);
    for (const core::PartitionId it : job.places())
        stops[it].push_back(job.spec().id);
    m_stopping.insert(job.spec().id);
    keep(job, false);
    afterChange(job, at, effects);
    return true;
}

void Home::onRead(const protocol::ReadJobs& message, Effects& effects) const
{
    protocol::JobsAnswer answer { message.asker.token, {} };
    const auto isVisible = [&message](const Job& job) {
        return job.isAccepted && (message.team.value().empty() || job.spec().team == message.team);
    };
    if (!message.job.value().empty()) {
        const auto it = m_jobs.find(message.job);
        if (it != m_jobs.end() && isVisible(it->second))
            answer.jobs.push_back(it->second.status());
    } else {
        for (auto it = m_jobs.upper_bound(message.after); it != m_jobs.end() && answer.jobs.size() < message.limit;
             ++it) {
            if (isVisible(it->second))
                answer.jobs.push_back(it->second.status());
        }
    }
    effects.push_back(SendMessage { { message.asker.node, std::move(answer) } });
}

// --- Placing

void Home::changeState(Job& job, core::TaskIndex task, TaskState state)
{
    const TaskState before = job.task(task).state;
    if (before == state)
        return;
    const core::Resources& each = job.spec().each;
    auto& waiting = m_waitingResources[jobs::indexOf(job.spec().urgency)];
    auto& running = m_teamRunning[job.spec().team];
    if (before == TaskState::Waiting)
        waiting = waiting - each;
    if (state == TaskState::Waiting)
        waiting = waiting + each;
    if (before == TaskState::Running)
        running = running - each;
    if (state == TaskState::Running)
        running = running + each;
    job.setState(task, state);
}

void Home::enqueue(const Job& job)
{
    if (!job.isAccepted || job.isCancelled() || job.waiting().empty() || job.isRecovered)
        return;
    const jobs::JobSpec& spec = job.spec();
    m_queue.push({ spec.id, spec.team, spec.urgency, spec.deadline, job.since() });
}

admission::ShareView Home::shareView(core::TimePoint now) const
{
    admission::ShareView view;
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

void Home::pump(Moment at, Effects& effects)
{
    if (std::exchange(m_isRoomFreed, false)) {
        m_queue.wakeAll();
        m_blockedUntil = {};
    }
    for (int n = 0; n < maxPicksPerPump; ++n) {
        const auto id = m_queue.pick(at.now, m_policy.shares, shareView(at.now));
        if (!id)
            return;
        place(m_jobs.at(*id), at, effects);
    }
}

void Home::place(Job& job, Moment at, Effects& effects)
{
    if (job.spec().kind == jobs::JobKind::AllAtOnce) {
        beginAllAtOnce(job, at, effects);
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
    return it != m_hints.end() && now - it->second.at < hintAge && need.fitsIn(it->second.message.largest)
        && ownerOf(partition) == it->second.message.fromEpoch;
}

std::optional<core::PartitionId> Home::targetFor(const Job& job, core::TimePoint now) const
{
    if (!job.refusedBy.contains(m_id))
        return m_id;
    std::optional<core::PartitionId> best;
    core::MilliCpu most;
    for (const auto& [partition, hint] : m_hints) {
        const bool isUsable
            = partition != m_id && !job.refusedBy.contains(partition) && hasHintedRoom(partition, job.spec().each, now);
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

void Home::sendPlace(Job& job, core::PartitionId target, Moment at, Effects& effects)
{
    protocol::PlaceTasks message;
    message.from = stamp();
    message.to = target;
    message.toEpoch = ownerOf(target);
    message.id = protocol::PlacementId(++m_lastPlacement);
    message.spec = job.spec();
    while (!job.waiting().empty() && message.tasks.size() < maxTasksPerRequest) {
        const core::TaskIndex task = *job.waiting().begin();
        TaskRecord& record = job.mutableTask(task);
        record.where = target;
        message.tasks.push_back({ task, newAttempt(record) });
        changeState(job, task, TaskState::Placing);
    }
    if (job.waiting().empty())
        m_queue.remove(job.spec().id);
    Outstanding outstanding { message, std::nullopt, at.now };
    // A start that may not be repeated is recorded before it can happen, for the case that this owner ends.
    if (!job.spec().isRepeatable)
        outstanding.awaits = keep(job, false);
    else
        effects.push_back(SendMessage { { target, message } });
    m_outstanding.emplace(message.id, std::move(outstanding));
}

void Home::defer(Job& job, core::TimePoint now)
{
    const int doublings = std::min<int>(static_cast<int>(job.deferrals++), maxDeferralDoublings);
    const core::Duration base = firstDeferral * (1 << doublings);
    const auto jitter
        = core::stableHash(job.spec().id.value(), job.deferrals) % static_cast<std::uint64_t>(base.count());
    job.refusedBy.clear();
    m_queue.defer(job.spec().id, now + base / 2 + core::Duration(static_cast<std::int64_t>(jitter)));
    noteRefusal(job.spec().urgency, now);
}

void Home::noteRefusal(jobs::Urgency urgency, core::TimePoint now)
{
    int& n = m_refusalsInRow[jobs::indexOf(urgency)];
    if (++n < maxRefusalsInRow)
        return;
    n = 0;
    m_blockedUntil[jobs::indexOf(urgency)] = now + blockedTime;
}

void Home::notePlaced(Job& job, Moment at)
{
    job.deferrals = 0;
    m_refusalsInRow[jobs::indexOf(job.spec().urgency)] = 0;
    if (std::exchange(job.isFirstPlaced, true))
        return;
    ++m_counters.jobsPlaced;
    m_counters.waitSecondsSum += std::chrono::duration<double>(at.now - job.since()).count();
}

bool Home::isStaleCapacity(core::PartitionId from, core::Epoch epoch)
{
    const auto it = m_capacityEpochs.find(from);
    if (it == m_capacityEpochs.end() || epoch >= it->second)
        return false;
    ++m_counters.staleMessages;
    return true;
}

void Home::onPlaceAnswer(const protocol::PlaceAnswer& message, Moment at, Effects& effects)
{
    if (message.to != stamp() || isStaleCapacity(message.from, message.fromEpoch))
        return;
    const auto job = m_jobs.find(message.job);
    if (const auto it = m_allAtOnce.find(message.job); it != m_allAtOnce.end() && job != m_jobs.end()) {
        applyStep(job->second, it->second.onPlaceAnswer(message), at, effects);
        return;
    }
    const auto outstanding = m_outstanding.find(message.id);
    if (outstanding == m_outstanding.end() || job == m_jobs.end())
        return;
    const std::vector<protocol::TaskAttempt> tasks = std::move(outstanding->second.message.tasks);
    m_outstanding.erase(outstanding);
    Job& it = job->second;
    const std::set<protocol::TaskAttempt> taken(message.taken.begin(), message.taken.end());
    for (const protocol::TaskAttempt& task : tasks) {
        const TaskRecord& record = it.task(task.task);
        if (record.state != TaskState::Placing || record.attempt != task.attempt)
            continue;
        const TaskState other = it.isCancelled() ? TaskState::Cancelled : TaskState::Waiting;
        changeState(it, task.task, taken.contains(task) ? TaskState::Running : other);
    }
    if (taken.size() < tasks.size()) {
        it.refusedBy.insert(message.from);
        enqueue(it);
        // The record says that it may have started; the refusal takes that back.
        if (!it.spec().isRepeatable)
            keep(it, false);
    }
    if (!taken.empty())
        notePlaced(it, at);
    // A cancellation may have crossed the request.
    if (it.isCancelled()) {
        if (!taken.empty())
            stopJob(it, effects);
        keep(it, false);
    }
    afterChange(it, at, effects);
}

// --- Ends of attempts

TaskState Home::stateAfter(Job& job, TaskRecord& task, const protocol::AttemptEnded& message) const
{
    using State = platform::AttemptState;
    const jobs::JobSpec& spec = job.spec();
    const bool isService = spec.kind == jobs::JobKind::Service;
    if (message.state == State::Succeeded && !isService)
        return TaskState::Succeeded;
    if (job.isCancelled())
        return TaskState::Cancelled;
    if (message.state == State::NotStarted) {
        ++task.startFailures;
        return task.startFailures < startFailuresPerAttempt * spec.maxAttempts ? TaskState::Waiting : TaskState::Failed;
    }
    if (message.state == State::Stopped)
        return spec.isRepeatable ? TaskState::Waiting : TaskState::Unknown;
    ++task.failures;
    if (isService)
        return TaskState::Waiting;
    return spec.isRepeatable && task.failures < spec.maxAttempts ? TaskState::Waiting : TaskState::Failed;
}

void Home::onAttemptEnded(const protocol::AttemptEnded& message, Moment at, Effects& effects)
{
    const auto it = m_jobs.find(message.id.job);
    if (it == m_jobs.end() || !it->second.hasTask(message.id.task)) {
        sendEndKept(message.id.job, message, effects);
        return;
    }
    Job& job = it->second;
    const TaskRecord& task = job.task(message.id.task);
    // While inventories are awaited the newest attempt is not known yet: any attempt counts.
    const bool isNewest = task.attempt == message.id.attempt && task.state != TaskState::Waiting;
    if (!jobs::isEnded(task.state) && (isNewest || job.isRecovered))
        applyEnd(job, message, at, effects);
    sendEndKept(message.id.job, message, effects);
}

void Home::applyEnd(Job& job, const protocol::AttemptEnded& message, Moment at, Effects& effects)
{
    TaskRecord& task = job.mutableTask(message.id.task);
    task.attempt = std::max(task.attempt, message.id.attempt);
    const TaskState state = stateAfter(job, task, message);
    changeState(job, message.id.task, state);
    if (state == TaskState::Succeeded) {
        ++m_counters.tasksSucceeded;
        m_runTimes.report(job.spec().workload, job.spec().runTime, message.ran);
    }
    if (state == TaskState::Failed)
        ++m_counters.tasksFailed;
    if (message.isLost)
        ++m_counters.attemptsLost;
    if (jobs::isEnded(state))
        keep(job, false);
    else
        job.refusedBy.clear();
    afterChange(job, at, effects);
    const bool isFault
        = message.state == platform::AttemptState::Failed || message.state == platform::AttemptState::NotStarted;
    if (state == TaskState::Waiting && isFault && m_queue.contains(job.spec().id))
        defer(job, at.now);
}

void Home::loseAttempt(Job& job, core::TaskIndex task, Moment at, Effects& effects)
{
    protocol::AttemptEnded end;
    end.from = job.task(task).where;
    end.home = m_id;
    end.id = { job.spec().id, task, job.task(task).attempt };
    end.state = platform::AttemptState::Stopped;
    end.isLost = true;
    applyEnd(job, end, at, effects);
}

void Home::afterChange(Job& job, Moment at, Effects& effects)
{
    if (job.isEnded()) {
        m_queue.remove(job.spec().id);
        m_endedJobs.emplace_back(at.now, job.spec().id);
        return;
    }
    if (job.waiting().empty() || job.isRecovered)
        return;
    if (job.spec().kind != jobs::JobKind::AllAtOnce) {
        enqueue(job);
        return;
    }
    // Tasks that start together also start again together.
    const bool isAtRest = job.count(TaskState::Running) + job.count(TaskState::Placing) == 0;
    if (isAtRest) {
        m_stopping.erase(job.spec().id); // or the next attempt would be stopped as well
        enqueue(job);
    } else if (job.count(TaskState::Running) > 0 && !m_allAtOnce.contains(job.spec().id)) {
        stopJob(job, effects);
    }
}

void Home::stopJob(const Job& job, Effects& effects)
{
    m_stopping.insert(job.spec().id);
    for (const core::PartitionId it : job.places())
        effects.push_back(SendMessage { { it, protocol::StopJobs { stamp(), it, { job.spec().id } } } });
}

// --- All-at-once jobs

void Home::beginAllAtOnce(Job& job, Moment at, Effects& effects)
{
    std::vector<protocol::TaskAttempt> tasks;
    for (const core::TaskIndex task : std::set<core::TaskIndex>(job.waiting())) {
        tasks.push_back({ task, newAttempt(job.mutableTask(task)) });
        changeState(job, task, TaskState::Placing);
    }
    m_queue.remove(job.spec().id);
    const core::Resources all = job.spec().each * static_cast<std::int64_t>(tasks.size());
    std::vector<core::PartitionId> whole { m_id };
    std::vector<core::PartitionId> pieces;
    for (std::uint32_t n = 0; n < m_partitionCount; ++n) {
        const core::PartitionId it(n);
        const auto hint = m_hints.find(it);
        const bool hasSome = it == m_id || hasHintedRoom(it, job.spec().each, at.now);
        if (hasSome)
            pieces.push_back(it);
        if (it != m_id && hasSome && all.fitsIn(hint->second.message.room) && whole.size() < maxWholeCandidates)
            whole.push_back(it);
    }
    const auto nextId = [this] { return protocol::PlacementId(++m_lastPlacement); };
    auto& it = m_allAtOnce.insert_or_assign(job.spec().id, AllAtOnce(tasks, whole, pieces, nextId)).first->second;
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
        message = protocol::CommitHeld { stamp(), request.to, request.id, id, request.tasks };
    } else if (request.kind == Kind::Release) {
        message = protocol::ReleaseHeld { stamp(), request.to, request.id };
    } else {
        const auto mode = request.kind == Kind::HoldAll ? protocol::PlaceMode::HoldAll : protocol::PlaceMode::HoldSome;
        message = protocol::PlaceTasks { stamp(), request.to, ownerOf(request.to), request.id, mode, isResend,
            job.spec(), request.tasks };
    }
    effects.push_back(SendMessage { { request.to, std::move(message) } });
}

void Home::applyStep(Job& job, const AllAtOnceStep& step, Moment at, Effects& effects)
{
    const core::JobId id = job.spec().id;
    for (const AllAtOnceRequest& it : step.requests) {
        if (it.kind == AllAtOnceRequest::Kind::Commit && !job.spec().isRepeatable && m_unkept.contains(id)) {
            // Kept first: a start that may not be repeated is recorded before it can happen.
            sendAfterKept(id, { { it.to, protocol::CommitHeld { stamp(), it.to, it.id, id, it.tasks } } }, effects);
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

void Home::onCommitAnswer(const protocol::CommitAnswer& message, Moment at, Effects& effects)
{
    const auto job = m_jobs.find(message.job);
    const auto it = m_allAtOnce.find(message.job);
    if (message.to != stamp() || job == m_jobs.end() || it == m_allAtOnce.end())
        return;
    if (isStaleCapacity(message.from, message.fromEpoch))
        return;
    applyStep(job->second, it->second.onCommitAnswer(message), at, effects);
}

void Home::onHint(const protocol::RoomHint& message, core::TimePoint now)
{
    if (message.from == m_id)
        return;
    m_hints[message.from] = { message, now };
}

// --- Recovery

void Home::recover(std::vector<jobs::JobSnapshot> snapshots, Moment at, Effects& effects)
{
    for (jobs::JobSnapshot& it : snapshots) {
        const core::JobId id = it.spec.id;
        const auto age = std::chrono::milliseconds(std::max<std::int64_t>(0, at.wall.value() - it.acceptedAt.value()));
        Job job(std::move(it), at.now - age);
        job.isAccepted = true;
        job.isRecovered = !job.isEnded();
        auto& waiting = m_waitingResources[jobs::indexOf(job.spec().urgency)];
        waiting = waiting + job.spec().each * job.count(TaskState::Waiting);
        if (job.isEnded())
            m_endedJobs.emplace_back(at.now, id);
        m_jobs.emplace(id, std::move(job));
    }
    for (std::uint32_t n = 0; n < m_partitionCount; ++n)
        m_awaitedInventories.insert(core::PartitionId(n));
    m_capacityEpochs = m_fleet.owners;
    m_nextResend = at.now + m_times.resend;
    askInventories(effects);
}

void Home::askInventories(Effects& effects) const
{
    std::set<core::PartitionId> asked = m_awaitedInventories;
    // A partition with a new owner may have lost attempts with the former one.
    for (const auto& [partition, epoch] : m_fleet.owners) {
        const auto known = m_capacityEpochs.find(partition);
        if (partition != m_id && (known == m_capacityEpochs.end() || known->second < epoch))
            asked.insert(partition);
    }
    for (const core::PartitionId it : asked)
        effects.push_back(SendMessage { { it, protocol::AskInventory { stamp(), it } } });
}

void Home::onInventory(const protocol::Inventory& message, Moment at, Effects& effects)
{
    if (message.to != stamp() || isStaleCapacity(message.from, message.fromEpoch))
        return;
    m_capacityEpochs[message.from] = message.fromEpoch;
    std::set<core::JobId> unwanted;
    for (const core::AttemptId& it : message.attempts) {
        if (!adopt(it, message.from))
            unwanted.insert(it.job);
    }
    if (!unwanted.empty()) {
        protocol::StopJobs stop { stamp(), message.from, { unwanted.begin(), unwanted.end() } };
        effects.push_back(SendMessage { { message.from, std::move(stop) } });
    }
    loseMissing(message, at, effects);
    if (m_awaitedInventories.erase(message.from) > 0 && m_awaitedInventories.empty())
        finishRecovery(at, effects);
}

//! Takes an attempt that runs as the task's newest one; false when nobody wants it.
bool Home::adopt(const core::AttemptId& id, core::PartitionId where)
{
    const auto it = m_jobs.find(id.job);
    if (it == m_jobs.end() || !it->second.hasTask(id.task))
        return false;
    Job& job = it->second;
    if (job.isCancelled())
        return false;
    TaskRecord& task = job.mutableTask(id.task);
    if (!job.isRecovered || jobs::isEnded(task.state) || id.attempt <= task.attempt)
        return true; // known already, or over: its end will be told
    task.attempt = id.attempt;
    task.where = where;
    changeState(job, id.task, TaskState::Running);
    return true;
}

void Home::loseMissing(const protocol::Inventory& message, Moment at, Effects& effects)
{
    const std::set<core::AttemptId> present(message.attempts.begin(), message.attempts.end());
    std::vector<core::AttemptId> missing;
    for (const auto& [id, job] : m_jobs) {
        for (std::uint32_t n = 0; n < job.taskCount() && job.count(TaskState::Running) > 0; ++n) {
            const TaskRecord& task = job.task(core::TaskIndex(n));
            const core::AttemptId attempt { id, core::TaskIndex(n), task.attempt };
            if (task.state == TaskState::Running && task.where == message.from && !present.contains(attempt))
                missing.push_back(attempt);
        }
    }
    for (const core::AttemptId& it : missing)
        loseAttempt(m_jobs.at(it.job), it.task, at, effects);
}

void Home::finishRecovery(Moment at, Effects& effects)
{
    std::vector<core::JobId> recovered;
    for (auto& [id, job] : m_jobs) {
        if (std::exchange(job.isRecovered, false))
            recovered.push_back(id);
    }
    for (const core::JobId& id : recovered) {
        Job& job = m_jobs.at(id);
        bool isChanged = false;
        for (std::uint32_t n = 0; n < job.taskCount(); ++n) {
            const core::TaskIndex task(n);
            const TaskState state = job.task(task).state;
            // Its start may have been sent, and no partition knows of it: it may have run and be lost.
            const bool isLost = state == TaskState::Placing;
            const bool isCancelled = job.isCancelled() && (isLost || state == TaskState::Waiting);
            if (!isLost && !isCancelled)
                continue;
            changeState(job, task, isCancelled && !isLost ? TaskState::Cancelled : TaskState::Unknown);
            isChanged = true;
        }
        if (isChanged)
            keep(job, false);
        afterChange(job, at, effects);
    }
}

// --- Time

void Home::tick(Moment at, Effects& effects)
{
    forgetOld(at);
    if (at.now < m_nextResend)
        return;
    m_nextResend = at.now + m_times.resend / 2;
    askInventories(effects);
    resend(at, effects);
}

void Home::resend(Moment at, Effects& effects)
{
    for (auto& [id, it] : m_outstanding) {
        if (it.awaits || at.now < it.sentAt + m_times.resend)
            continue;
        // An attempt whose end is known must not be asked for again: a new owner would start it once more.
        const Job& job = m_jobs.at(it.message.spec.id);
        std::erase_if(it.message.tasks, [&job](const protocol::TaskAttempt& task) {
            const TaskRecord& record = job.task(task.task);
            return record.state != TaskState::Placing || record.attempt != task.attempt;
        });
        it.sentAt = at.now;
        it.message.isResend = true;
        if (!it.message.tasks.empty())
            effects.push_back(SendMessage { { it.message.to, it.message } });
    }
    std::erase_if(m_outstanding, [](const auto& it) { return it.second.message.tasks.empty(); });
    for (const core::JobId& id : std::set<core::JobId>(m_stopping)) {
        const auto job = m_jobs.find(id);
        const bool isStopped = job == m_jobs.end() || job->second.places().empty();
        if (isStopped)
            m_stopping.erase(id);
        else
            stopJob(job->second, effects);
    }
    for (const auto& [id, it] : m_allAtOnce) {
        if (m_unkept.contains(id))
            continue;
        for (const AllAtOnceRequest& request : it.unanswered())
            sendRequest(m_jobs.at(id), request, true, effects);
    }
}

void Home::forgetOld(Moment at)
{
    while (!m_endedJobs.empty() && at.now - m_endedJobs.front().first > m_times.jobRetention) {
        const core::JobId id = m_endedJobs.front().second;
        m_endedJobs.pop_front();
        if (m_unkept.contains(id)) {
            // Its end is not in the table yet; without it a later owner would run the job again.
            m_endedJobs.emplace_back(at.now, id);
            continue;
        }
        const auto it = m_jobs.find(id);
        if (it == m_jobs.end() || !it->second.isEnded())
            continue;
        m_jobs.erase(it);
        m_unkept.erase(id);
        m_afterKept.erase(id);
        m_log.forget(itemOf(id));
    }
}

} // namespace sardinerun::partition

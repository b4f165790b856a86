#include "partition/internal/home.h"

#include "codec/json.h"
#include "jobs/jobcodec.h"

#include <algorithm>

namespace sardinerun::partition {

using jobs::TaskState;

namespace {

constexpr core::Duration retryWithoutStore = std::chrono::seconds(5);

} // namespace

Home::Home(core::PartitionId id, core::Epoch epoch, std::uint32_t partitionCount, const PartitionTimes& times,
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
    const bool areWeightsChanged = m_policy.teamWeights != policy.teamWeights;
    m_policy = policy;
    if (areWeightsChanged)
        m_queue.onWeightsChanged();
    m_admissionControl.setLimits(policy.queues);
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

acceptance::Revision Home::persist(const Job& job, bool mayBeDropped)
{
    const core::JobId& id = job.spec().id;
    const auto revision
        = m_log.append(itemOf(id), codec::writeJson(jobs::encodeSnapshot(job.snapshot())), mayBeDropped);
    m_unpersisted[id] = revision;
    return revision;
}

void Home::sendAfterPersisted(const core::JobId& job, SendMessage send, Effects& effects)
{
    const auto it = m_unpersisted.find(job);
    if (it == m_unpersisted.end())
        effects.push_back(std::move(send));
    else
        m_sendsOnPersisted[job].push_back({ it->second, std::move(send) });
}

void Home::sendEndPersisted(const core::JobId& job, const protocol::AttemptEnded& message, Effects& effects)
{
    sendAfterPersisted(
        job, { { message.from, protocol::EndsPersisted { homeEpoch(), message.from, { message.id } } } }, effects);
}

void Home::onPersisted(const core::JobId& id, acceptance::Revision revision, EventTime at, Effects& effects)
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
    if (const auto unpersisted = m_unpersisted.find(id);
        unpersisted != m_unpersisted.end() && unpersisted->second <= revision)
        m_unpersisted.erase(unpersisted);
    if (auto submitters = m_submitters.extract(id)) {
        for (const protocol::Requester& requester : submitters.mapped())
            answerSubmit(requester, { requester.token, protocol::SubmitOutcome::Accepted, id, {} }, effects);
    }
    auto& waiting = m_sendsOnPersisted[id];
    for (SendOnPersisted& entry : waiting) {
        if (entry.revision <= revision)
            effects.push_back(std::move(entry.send));
    }
    std::erase_if(waiting, [revision](const SendOnPersisted& entry) { return entry.revision <= revision; });
    if (waiting.empty())
        m_sendsOnPersisted.erase(id);
    for (auto& [placement, pending] : m_pendingPlacements) {
        if (pending.message.spec.id != id || !pending.awaitedRevision || *pending.awaitedRevision > revision)
            continue;
        pending.awaitedRevision.reset();
        pending.sentAt = at.now;
        effects.push_back(SendMessage { { pending.message.to, pending.message } });
    }
}

void Home::onNotPersisted(const core::JobId& id, Effects& effects)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end() || it->second.isAccepted)
        return;
    admission::Refusal refusal { admission::RefusalReason::StoreDown, "the platform's store does not answer",
        retryWithoutStore };
    if (auto submitters = m_submitters.extract(id)) {
        for (const protocol::Requester& requester : submitters.mapped())
            answerSubmit(requester, { requester.token, protocol::SubmitOutcome::Refused, id, refusal }, effects);
    }
    m_unpersisted.erase(id);
    m_sendsOnPersisted.erase(id);
    for (const core::TaskIndex task : std::set<core::TaskIndex>(it->second.waiting()))
        changeState(it->second, task, TaskState::Cancelled);
    m_jobs.erase(it);
    ++m_counters.jobsRefused;
}

void Home::answerSubmit(const protocol::Requester& requester, const protocol::SubmitAnswer& answer, Effects& effects)
{
    effects.push_back(SendMessage { { requester.node, answer } });
}

void Home::answerDuplicate(const protocol::SubmitJob& message, Job& job, Effects& effects)
{
    // The deadline is computed from the time of the request, so it differs in a resend.
    jobs::JobSpec recorded = job.spec();
    recorded.deadline = message.spec.deadline;
    const core::JobId& id = message.spec.id;
    if (recorded != message.spec) {
        answerSubmit(
            message.requester, { message.requester.token, protocol::SubmitOutcome::Conflict, id, {} }, effects);
        return;
    }
    if (job.isAccepted)
        answerSubmit(
            message.requester, { message.requester.token, protocol::SubmitOutcome::Accepted, id, {} }, effects);
    else
        m_submitters[id].push_back(message.requester);
}

std::optional<admission::Refusal> Home::refusalOf(const jobs::JobSpec& spec, EventTime at) const
{
    if (!m_log.isHealthy()) {
        return admission::Refusal { admission::RefusalReason::StoreDown, "the platform's store does not answer",
            retryWithoutStore };
    }
    admission::AdmissionContext view;
    view.fleet = &m_fleet.shapes;
    view.homeCapacity = m_fleet.homeCapacity;
    view.now = at.wall;
    for (const jobs::Urgency it : jobs::allUrgencies) {
        if (it <= spec.urgency)
            view.waiting = view.waiting + m_waitingResources[jobs::indexOf(it)];
    }
    view.waitingOfClass = m_waitingResources[jobs::indexOf(spec.urgency)];
    view.shareOfClass = reachableShare(spec.urgency);
    view.meanRunTimeOfClass = m_runTimes.meanExpectedRunTime(spec.urgency);
    return m_admissionControl.refuse(spec, m_queue, m_runTimes, view);
}

double Home::reachableShare(jobs::Urgency urgency) const
{
    double free = 1;
    for (const double it : m_fleet.shares)
        free -= it;
    const double guaranteed = m_policy.shares.percent[jobs::indexOf(urgency)] / 100.0;
    const double reachable = m_fleet.shares[jobs::indexOf(urgency)] + (m_policy.mayBorrow ? std::max(free, 0.0) : 0.0);
    return std::max(guaranteed, reachable);
}

void Home::onSubmit(const protocol::SubmitJob& message, EventTime at, Effects& effects)
{
    if (const auto known = m_jobs.find(message.spec.id); known != m_jobs.end()) {
        answerDuplicate(message, known->second, effects);
        return;
    }
    if (auto refusal = refusalOf(message.spec, at)) {
        ++m_counters.jobsRefused;
        answerSubmit(message.requester,
            { message.requester.token, protocol::SubmitOutcome::Refused, message.spec.id, std::move(*refusal) },
            effects);
        return;
    }
    jobs::JobSnapshot snapshot;
    snapshot.spec = message.spec;
    snapshot.acceptedAt = at.wall;
    auto& job = m_jobs.emplace(message.spec.id, Job(std::move(snapshot), at.now)).first->second;
    auto& waiting = m_waitingResources[jobs::indexOf(message.spec.urgency)];
    waiting = waiting + message.spec.taskResources * message.spec.taskCount;
    m_runTimes.onAdmitted(message.spec.urgency, m_runTimes.expect(message.spec.workload, message.spec.runTime));
    m_submitters[message.spec.id].push_back(message.requester);
    persist(job, true);
}

void Home::onCancel(const protocol::CancelJobs& message, EventTime at, Effects& effects)
{
    std::vector<core::JobId> ids = message.jobs;
    if (!message.workload.empty()) {
        for (const auto& [id, job] : m_jobs) {
            if (job.spec().workload == message.workload)
                ids.push_back(id);
        }
    }
    protocol::CancelAnswer answer { message.requester.token, 0 };
    std::map<core::PartitionId, std::vector<core::JobId>> stops;
    const core::JobId* last = nullptr;
    bool isAnyUnknown = !message.workload.empty();
    for (const core::JobId& id : ids) {
        const auto it = m_jobs.find(id);
        isAnyUnknown = isAnyUnknown || it == m_jobs.end();
        const bool isAllowed
            = it != m_jobs.end() && (message.team.value().empty() || it->second.spec().team == message.team);
        if (!isAllowed || !cancelJob(it->second, stops, at, effects))
            continue;
        ++answer.cancelled;
        last = &it->first;
    }
    for (auto& [partition, jobs] : stops)
        effects.push_back(
            SendMessage { { partition, protocol::StopJobs { homeEpoch(), partition, std::move(jobs) } } });
    // Records are persisted in order, so waiting for the last one covers all cancelled jobs.
    SendMessage send { { message.requester.node, answer } };
    if (last)
        sendAfterPersisted(*last, std::move(send), effects);
    else if (!isAnyUnknown || at.now < m_membershipCertainUntil)
        effects.push_back(std::move(send));
}

bool Home::cancelJob(
    Job& job, std::map<core::PartitionId, std::vector<core::JobId>>& stops, EventTime at, Effects& effects)
{
    if (job.isEnded() || job.isCancelled())
        return false;
    job.setCancelled();
    m_queue.remove(job.spec().id);
    for (const core::TaskIndex task : std::set<core::TaskIndex>(job.waiting()))
        changeState(job, task, TaskState::Cancelled);
    for (const core::PartitionId it : job.partitionsWithAttempts())
        stops[it].push_back(job.spec().id);
    m_stopping.insert(job.spec().id);
    persist(job, false);
    onTasksChanged(job, at, effects);
    return true;
}

void Home::onRead(const protocol::ReadJobs& message, EventTime at, Effects& effects) const
{
    protocol::JobsAnswer answer { message.requester.token, {} };
    const auto isVisible = [&message](const Job& job) {
        return job.isAccepted && (message.team.value().empty() || job.spec().team == message.team);
    };
    if (!message.job.value().empty()) {
        const auto it = m_jobs.find(message.job);
        if (it == m_jobs.end() && at.now >= m_membershipCertainUntil)
            return; // the caller asks again
        if (it != m_jobs.end() && isVisible(it->second))
            answer.jobs.push_back(it->second.status());
    } else {
        for (auto it = m_jobs.upper_bound(message.after); it != m_jobs.end() && answer.jobs.size() < message.limit;
             ++it) {
            if (isVisible(it->second))
                answer.jobs.push_back(it->second.status());
        }
    }
    effects.push_back(SendMessage { { message.requester.node, std::move(answer) } });
}

} // namespace sardinerun::partition

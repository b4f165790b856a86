//! Calls about jobs and queues, and what of them is kept.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"
#include "workflow/workflowcodec.h"

#include <algorithm>
#include <cmath>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;
using workflow::JobState;
using workflow::WorkflowOutcome;
using workflow::WorkflowResult;

//! Until a call that came too early is told to come back.
constexpr core::Duration longestHold = std::chrono::milliseconds(400);
constexpr core::Duration notNowRetry = std::chrono::milliseconds(400);
//! Time over which arrivals are averaged: some seconds, as bursts last.
constexpr double arrivalsSeconds = 6;

WorkflowResult answerOf(WorkflowOutcome outcome, std::string reason = "")
{
    WorkflowResult it;
    it.outcome = outcome;
    it.reason = std::move(reason);
    return it;
}

WorkflowResult notNow(std::string reason)
{
    WorkflowResult it = answerOf(WorkflowOutcome::NotNow, std::move(reason));
    it.retryAfter = notNowRetry;
    return it;
}

store::RowKey jobKey(const core::JobId& id)
{
    return { "jobs", "", id.value() };
}

store::RowKey progressKey(const core::JobId& id)
{
    return { "progress", "", id.value() };
}

} // namespace

bool EngineImpl::mayAnswer(const workflow::WorkflowCall& call) const
{
    return m_areTablesRead && m_config && m_config->version >= call.knownConfig && m_entries;
}

void EngineImpl::handle(const workflow::WorkflowCall& call, Answered answered)
{
    if (m_isOver || m_isReleasing) {
        answered(notNow("the leader is stopping"));
        return;
    }
    if (!mayAnswer(call)) {
        m_held.push_back({ call, std::move(answered), m_dependencies.loop->now() + longestHold });
        return;
    }
    // In the order of workflow::CallKind.
    static constexpr std::array<CallHandler, 4> handlers { &EngineImpl::submit, &EngineImpl::read, &EngineImpl::cancel,
        &EngineImpl::countPending };
    (this->*handlers[static_cast<std::size_t>(call.kind)])(call, answered);
}

void EngineImpl::answerHeld()
{
    std::deque<HeldCall> held = std::exchange(m_held, {});
    for (HeldCall& it : held) {
        if (mayAnswer(it.call))
            handle(it.call, std::move(it.answered));
        else if (m_dependencies.loop->now() >= it.until)
            it.answered(notNow("the leader is taking over"));
        else
            m_held.push_back(std::move(it));
    }
}

core::Duration EngineImpl::patienceOf(const workflow::WorkflowCall& call) const
{
    const core::Duration named = call.timeout > core::Duration(0) ? call.timeout : m_dependencies.times.callTimeout;
    return std::min(named, m_dependencies.times.callTimeout);
}

void EngineImpl::submit(const workflow::WorkflowCall& call, const Answered& answered)
{
    const workflow::QueuePolicy* queue = m_config->find(call.host, call.path);
    if (!queue) {
        answered(answerOf(WorkflowOutcome::NoQueue));
        return;
    }
    if (const JobPtr known = jobOf(call.spec.id)) {
        answerKnown(*known, answered);
        return;
    }
    if (!m_log->isUp()) {
        answered(notNow("the store does not answer"));
        return;
    }
    if (const core::Duration delay = m_log->expectedDelay(); delay >= patienceOf(call)) {
        LogLine(Severity::Warning, "store-too-slow")
            .with("job", call.spec.id.value())
            .with("expectedMs", core::toMs(delay))
            .with("patienceMs", core::toMs(patienceOf(call)))
            .with("outcome", "not-now");
        WorkflowResult answer = notNow("the store is too slow to keep it in time");
        answer.retryAfter = delay;
        answered(answer);
        return;
    }
    const AdmissionInputs view = intakeView(call, *queue);
    const auto refusal = refusalOf(call.spec, *queue, view);
    LogLine(Severity::Info, "intake")
        .with("job", call.spec.id.value())
        .with("queue", queue->name)
        .with("config", std::int64_t(m_config->version.value()))
        .with("aheadCoreSeconds", std::int64_t(view.coreSecondsAhead))
        .with("gangCoreSeconds", std::int64_t(view.gangCoreSecondsAhead))
        .with("freeCores", std::int64_t(view.freeCores))
        .with("workers", view.workers)
        .with("adviceWaitMs", core::toMs(view.adviceWait))
        .with("outcome", refusal ? "refused" : "taken")
        .with("why", refusal ? refusal->reason : "");
    if (refusal) {
        m_dependencies.metrics->add(telemetry::Metric::WorkRefused, { { "queue", queue->name } });
        WorkflowResult answer = answerOf(WorkflowOutcome::Refused, refusal->reason);
        answer.retryAfter = refusal->retryAfter.value_or(core::Duration(0));
        answered(answer);
        return;
    }
    accept(call, *queue, answered);
}

void EngineImpl::answerKnown(Job& job, const Answered& answered)
{
    if (job.isKept)
        answered(answerOf(WorkflowOutcome::Accepted));
    else
        job.submitters.push_back(answered);
}

void EngineImpl::accept(
    const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue, const Answered& answered)
{
    workflow::JobRecord record;
    record.spec = call.spec;
    record.queue = queue;
    record.acceptedAt = m_dependencies.loop->wallNow();
    for (std::size_t n = 0; n < workflow::stageCount(call.spec); ++n) {
        const std::size_t count = call.spec.steps[n % call.spec.steps.size()].count;
        record.stages.push_back(workflow::initialProgress(count));
    }
    const JobPtr job = std::make_shared<Job>(makeJob(std::move(record)));
    job->acceptedAt = m_dependencies.loop->now();
    job->objectiveAt = job->acceptedAt + objectiveOf(call.spec, queue);
    job->submitters.push_back(answered);
    m_jobs[call.spec.id] = job;
    m_active[call.spec.id] = job;
    noteArrival(queue.priority, coreSecondsOf(call.spec));
    const lead::LogRevision revision = m_log->put(jobKey(call.spec.id), workflow::encodeJob(job->record));
    whenKept(revision, [this, job] { onAccepted(job); });
    m_dependencies.loop->callAfter(patienceOf(call), [self = weak_from_this(), id = call.spec.id] {
        if (const auto it = self.lock())
            it->onSubmitPatienceOver(id);
    });
    // Advice may be asked for meanwhile; tasks start only once the record is kept.
    openStages(job);
    pumpSoon();
}

void EngineImpl::onAccepted(const JobPtr& job)
{
    if (std::exchange(job->isKept, true))
        return;
    m_dependencies.metrics->add(telemetry::Metric::WorkAccepted, { { "queue", job->record.queue.name } });
    m_dependencies.metrics->observe(telemetry::Metric::WorkAcceptSeconds, {},
        std::chrono::duration<double>(m_dependencies.loop->now() - job->acceptedAt).count());
    for (const Answered& it : std::exchange(job->submitters, {}))
        it(answerOf(WorkflowOutcome::Accepted));
    pumpSoon();
}

void EngineImpl::onSubmitPatienceOver(const core::JobId& id)
{
    const JobPtr job = jobOf(id);
    if (!job || job->isKept || m_isOver)
        return;
    if (withdrawUnkept(job, "the store does not answer in time"))
        return;
    for (const Answered& it : std::exchange(job->submitters, {}))
        it(answerOf(WorkflowOutcome::Uncertain, "the store has not answered"));
}

bool EngineImpl::withdrawUnkept(const JobPtr& job, const char* why)
{
    const core::JobId id = job->record.spec.id;
    if (!m_log->withdraw(jobKey(id)))
        return false;
    LogLine(Severity::Warning, "withdrawn").with("job", id.value()).with("why", why);
    m_jobs.erase(id);
    m_active.erase(id);
    job->record.state = JobState::Cancelled;
    for (const Answered& it : std::exchange(job->submitters, {}))
        it(notNow(why));
    return true;
}

bool EngineImpl::isNowhere(const workflow::WorkflowCall& call, const JobPtr& job) const
{
    const bool isOwnQueue = job && job->record.queue.matches(call.host, call.path);
    return !isOwnQueue && !m_config->find(call.host, call.path);
}

void EngineImpl::read(const workflow::WorkflowCall& call, const Answered& answered)
{
    const JobPtr job = jobOf(call.spec.id);
    if (isNowhere(call, job)) {
        answered(answerOf(WorkflowOutcome::NoQueue));
        return;
    }
    if (!job || !job->isKept) {
        answered(answerOf(WorkflowOutcome::NoJob));
        return;
    }
    WorkflowResult answer = answerOf(WorkflowOutcome::Found);
    answer.state = job->shown;
    answered(answer);
}

void EngineImpl::cancel(const workflow::WorkflowCall& call, const Answered& answered)
{
    const JobPtr job = jobOf(call.spec.id);
    if (isNowhere(call, job)) {
        answered(answerOf(WorkflowOutcome::NoQueue));
        return;
    }
    if (!job) {
        answered(answerOf(WorkflowOutcome::NoJob));
        return;
    }
    if (!job->isOver())
        endJob(job, JobState::Cancelled, "a caller cancelled it");
    if (job->shown == job->record.state) {
        answered(answerOf(WorkflowOutcome::Cancelled));
        return;
    }
    const lead::LogRevision revision = m_log->put(progressKey(call.spec.id), workflow::encodeProgress(job->record));
    whenKept(revision, [answered] { answered(answerOf(WorkflowOutcome::Cancelled)); });
}

void EngineImpl::countPending(const workflow::WorkflowCall& call, const Answered& answered)
{
    const workflow::QueuePolicy* queue = m_config->find(call.host, call.path);
    if (!queue) {
        answered(answerOf(WorkflowOutcome::NoQueue));
        return;
    }
    WorkflowResult answer = answerOf(WorkflowOutcome::Counted);
    answer.pending
        = static_cast<std::uint64_t>(std::count_if(m_active.begin(), m_active.end(), [queue](const auto& it) {
              return it.second->isKept && !it.second->hasStarted && it.second->record.queue.name == queue->name;
          }));
    answered(answer);
}

AdmissionInputs EngineImpl::intakeView(const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue) const
{
    AdmissionInputs view;
    const core::TimePoint now = m_dependencies.loop->now();
    for (const auto& [id, worker] : m_workers) {
        const fleet::WorkerEntry& entry = worker->entry();
        if (entry.service != queue.service || !worker->isListed() || entry.isDraining)
            continue;
        ++view.workers;
        view.largestWorker.cpu = std::max(view.largestWorker.cpu, entry.capacity.cpu);
        view.largestWorker.memory = std::max(view.largestWorker.memory, entry.capacity.memory);
        view.largestWorker.accelerators = std::max(view.largestWorker.accelerators, entry.capacity.accelerators);
        // A worker that a new leader has not heard of yet counts: it answers within some milliseconds.
        if (worker->isSilent() || m_health.isQuarantined(id, now))
            continue;
        view.cores += double(entry.capacity.cpu.value()) / 1000;
        view.freeCores += double(worker->room().cpu.value()) / 1000;
    }
    const core::TimePoint startBy = now + objectiveOf(call.spec, queue) - workflow::criticalPath(call.spec);
    for (const auto& [id, job] : m_active) {
        const int priority = job->record.queue.priority;
        const WaitingWork work = job->waitingWork();
        if (priority < queue.priority) {
            view.coreSecondsAhead += work.coreSeconds;
            view.gangCoreSecondsAhead += work.gangCoreSeconds;
        } else if (priority == queue.priority && job->objectiveAt - job->chainLeft() <= startBy) {
            view.coreSecondsAhead += work.coreSeconds + work.gangCoreSeconds;
        }
    }
    double higher = 0;
    const double decay = std::exp(-std::chrono::duration<double>(now - m_arrivalsAt).count() / arrivalsSeconds);
    for (std::size_t n = 0; n < m_arrivals.size() && int(n) < queue.priority; ++n)
        higher += m_arrivals[n] * decay;
    view.higherShare = view.cores > 0 ? higher / view.cores : 0;
    if (queue.advice)
        view.adviceWait = queue.advice->costOf(std::min<std::size_t>(30, std::size_t(view.workers)));
    return view;
}

void EngineImpl::noteArrival(int priority, double coreSeconds)
{
    const core::TimePoint now = m_dependencies.loop->now();
    const double decay = std::exp(-std::chrono::duration<double>(now - m_arrivalsAt).count() / arrivalsSeconds);
    for (double& it : m_arrivals)
        it *= decay;
    m_arrivalsAt = now;
    const std::size_t n = std::min<std::size_t>(static_cast<std::size_t>(std::max(priority, 0)), m_arrivals.size() - 1);
    m_arrivals[n] += coreSeconds / arrivalsSeconds;
}

// --- Keeping

lead::LogRevision EngineImpl::keepProgress(Job& job)
{
    return m_log->put(progressKey(job.record.spec.id), workflow::encodeProgress(job.record));
}

void EngineImpl::whenKept(lead::LogRevision revision, std::function<void()> action)
{
    m_afterKept.emplace(revision, std::move(action));
}

void EngineImpl::onKept(lead::LogRevision revision)
{
    const auto end = m_afterKept.upper_bound(revision);
    std::vector<std::function<void()>> due;
    for (auto it = m_afterKept.begin(); it != end; ++it)
        due.push_back(std::move(it->second));
    m_afterKept.erase(m_afterKept.begin(), end);
    for (const auto& it : due)
        it();
}

void EngineImpl::onStore(bool isUp)
{
    const LogLine line(isUp ? Severity::Info : Severity::Warning, isUp ? "store-regained" : "store-lost");
    m_dependencies.metrics->set(telemetry::Metric::StoreUp, {}, isUp ? 1 : 0);
    if (isUp)
        return;
    std::vector<JobPtr> unkept;
    for (const auto& [id, job] : m_active) {
        if (!job->isKept)
            unkept.push_back(job);
    }
    for (const JobPtr& it : unkept)
        withdrawUnkept(it, "the store does not answer");
}

void EngineImpl::endJob(const JobPtr& job, JobState state, const char* why)
{
    const core::JobId id = job->record.spec.id;
    LogLine(Severity::Info, "job-ended")
        .with("job", id.value())
        .with("queue", job->record.queue.name)
        .with("state", workflow::nameOf(state))
        .with("ageMs", core::toMs(m_dependencies.loop->now() - job->acceptedAt))
        .with("late", std::int64_t(m_dependencies.loop->now() > job->objectiveAt))
        .with("why", why);
    job->record.state = state;
    job->endedAt = m_dependencies.loop->now();
    m_active.erase(id);
    for (const Stage& stage : job->stages)
        stopLive(*job, stage);
    const lead::LogRevision revision = keepProgress(*job);
    job->endRevision = revision;
    m_log->put(jobKey(id), std::nullopt);
    whenKept(revision, [this, job, state] {
        job->shown = state;
        job->isKept = true;
        m_dependencies.metrics->observe(telemetry::Metric::WorkJobSeconds,
            { { "queue", job->record.queue.name }, { "state", workflow::nameOf(state) } },
            std::chrono::duration<double>(m_dependencies.loop->now() - job->acceptedAt).count());
        // The answers to callers need no more than the state.
        job->record.spec.steps.clear();
        job->record.spec.payload.clear();
        job->record.stages.clear();
        job->stages.clear();
        m_ended.push_back(job->record.spec.id);
    });
    pumpSoon();
}

void EngineImpl::forgetOldJobs()
{
    const core::TimePoint before = m_dependencies.loop->now() - m_dependencies.times.jobRetention;
    while (!m_ended.empty()) {
        const JobPtr job = jobOf(m_ended.front());
        if (job && job->endedAt > before)
            return;
        m_ended.pop_front();
        if (!job)
            continue;
        m_log->put(progressKey(job->record.spec.id), std::nullopt);
        m_jobs.erase(job->record.spec.id);
    }
}

} // namespace sardinerun::scheduling

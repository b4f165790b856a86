//! Calls about jobs and queues.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"
#include "workflow/workflowcodec.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;
using workflow::answerOf;
using workflow::JobState;
using workflow::WorkflowOutcome;
using workflow::WorkflowResult;

//! How long a call waits for the end of recovery or for its configuration before the caller is asked to retry.
constexpr core::Duration maxCallDeferral = std::chrono::milliseconds(400);
constexpr core::Duration notNowRetryAfter = std::chrono::milliseconds(400);

//! While the loop's timers are this late on average, the leader refuses all new jobs. What it has accepted, and calls
//! about it, come first.
constexpr core::Duration maxLoopLateness = std::chrono::milliseconds(40);
//! Less urgent jobs are refused earlier, by this much for each more urgent priority that is configured.
constexpr core::Duration latenessPerPriority = std::chrono::milliseconds(10);
constexpr core::Duration minLatenessLimit = std::chrono::milliseconds(20);
constexpr core::Duration overloadRetryAfter = std::chrono::milliseconds(1000);
constexpr const char* overloadReason = "the leader is overloaded";

WorkflowResult notNow(std::string reason)
{
    WorkflowResult it = answerOf(WorkflowOutcome::NotNow, std::move(reason));
    it.retryAfter = notNowRetryAfter;
    return it;
}

} // namespace

bool EngineImpl::canAnswer(const workflow::WorkflowCall& call) const
{
    return m_areTablesRead && m_config && m_config->version >= call.knownConfig && m_registryEntries;
}

void EngineImpl::handle(const workflow::WorkflowCall& call, AnswerCallback callback)
{
    if (m_isStopped || m_isReleasing) {
        callback(notNow("the leader is stopping"));
        return;
    }
    if (!canAnswer(call)) {
        m_deferredCalls.push_back({ call, std::move(callback), m_dependencies.loop->now() + maxCallDeferral });
        return;
    }
    if (m_unreadableJobs.contains(call.spec.id)) {
        callback(notNow("the record of the job cannot be read"));
        return;
    }
    // indexed by workflow::CallKind
    static constexpr std::array<CallHandler, 4> handlers { &EngineImpl::submit, &EngineImpl::read, &EngineImpl::cancel,
        &EngineImpl::countPending };
    (this->*handlers[static_cast<std::size_t>(call.kind)])(call, callback);
}

void EngineImpl::retryDeferredCalls()
{
    std::deque<DeferredCall> deferredCalls = std::exchange(m_deferredCalls, {});
    for (DeferredCall& it : deferredCalls) {
        if (canAnswer(it.call))
            handle(it.call, std::move(it.callback));
        else if (m_dependencies.loop->now() >= it.deadline)
            it.callback(notNow("the leader is taking over"));
        else
            m_deferredCalls.push_back(std::move(it));
    }
}

core::Duration EngineImpl::timeoutOf(const workflow::WorkflowCall& call) const
{
    const core::Duration requested = call.timeout > core::Duration(0) ? call.timeout : m_dependencies.times.callTimeout;
    return std::min(requested, m_dependencies.times.callTimeout);
}

void EngineImpl::submit(const workflow::WorkflowCall& call, const AnswerCallback& callback)
{
    const workflow::QueuePolicy* queue = m_config->find(call.host, call.path);
    if (!queue) {
        callback(answerOf(WorkflowOutcome::NoQueue));
        return;
    }
    const JobPtr known = jobOf(call.spec.id);
    if (const auto denial = denialOf(call, known)) {
        callback(answerOf(*denial));
        return;
    }
    if (known) {
        answerDuplicate(*known, callback);
        return;
    }
    if (m_loopLateness >= latenessLimitOf(queue->priority)) {
        refuseUnderOverload(call, *queue, callback);
        return;
    }
    if (!m_log->isUp()) {
        callback(notNow("the store does not answer"));
        return;
    }
    if (const core::Duration delay = m_log->expectedDelay(); delay >= timeoutOf(call)) {
        LogLine(Severity::Warning, "store-too-slow")
            .with("job", call.spec.id.value())
            .with("expectedMs", core::toMs(delay))
            .with("patienceMs", core::toMs(timeoutOf(call)))
            .with("outcome", "not-now");
        WorkflowResult answer = notNow("the store is too slow to keep it in time");
        answer.retryAfter = delay;
        callback(answer);
        return;
    }
    const core::TeamId team = teamOf(call);
    const workflow::JobSpec expected = m_estimates.expectedSpec(call.spec, *queue, team);
    const AdmissionInputs inputs = admissionInputs(call, *queue, expected);
    const bool isExcess
        = !team.value().empty() && m_rates.timeToNext(team, m_dependencies.loop->now()) > core::Duration(0);
    auto refusal = teamRefusalOf(call, *queue, inputs);
    if (!refusal)
        refusal = refusalOf(expected, *queue, inputs);
    LogLine(Severity::Info, "intake")
        .with("job", call.spec.id.value())
        .with("queue", queue->name)
        .with("team", team.value())
        .with("config", std::int64_t(m_config->version.value()))
        .with("coreSeconds", std::int64_t(coreSecondsOf(expected)))
        .with("aheadCoreSeconds", std::int64_t(inputs.coreSecondsAhead))
        .with("lateCoreSeconds", std::int64_t(inputs.lateCoreSeconds))
        .with("gangCoreSeconds", std::int64_t(inputs.gangCoreSecondsAhead))
        .with("freeCores", std::int64_t(inputs.freeCores))
        .with("workers", inputs.workers)
        .with("adviceWaitMs", core::toMs(inputs.adviceWait))
        .with("capWaitMs", core::toMs(inputs.capWait))
        .with("excess", std::int64_t(isExcess))
        .with("outcome", refusal ? "refused" : "taken")
        .with("why", refusal ? refusal->reason : "");
    if (refusal) {
        countRefusal(*queue, team, refusal->cause);
        WorkflowResult answer = answerOf(WorkflowOutcome::Refused, refusal->reason);
        answer.retryAfter = refusal->retryAfter.value_or(core::Duration(0));
        callback(answer);
        return;
    }
    accept(call, *queue, callback);
}

core::Duration EngineImpl::latenessLimitOf(int priority) const
{
    std::set<int> moreUrgent;
    for (const workflow::QueuePolicy& it : m_config->queues) {
        if (it.priority < priority)
            moreUrgent.insert(it.priority);
    }
    return std::max(maxLoopLateness - latenessPerPriority * std::int64_t(moreUrgent.size()), minLatenessLimit);
}

void EngineImpl::refuseUnderOverload(
    const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue, const AnswerCallback& callback)
{
    // Decided before anything is computed: a refusal has to cost much less than the work that it keeps away.
    countRefusal(queue, teamOf(call), RefusalCause::Overload);
    LogLine(Severity::Info, "intake")
        .with("job", call.spec.id.value())
        .with("queue", queue.name)
        .with("latenessMs", core::toMs(m_loopLateness))
        .with("outcome", "refused")
        .with("why", overloadReason);
    WorkflowResult answer = answerOf(WorkflowOutcome::Refused, overloadReason);
    answer.retryAfter = overloadRetryAfter;
    callback(answer);
}

void EngineImpl::answerDuplicate(Job& job, const AnswerCallback& callback)
{
    if (job.isPersisted)
        callback(answerOf(WorkflowOutcome::Accepted));
    else
        job.submitCallbacks.push_back(callback);
}

void EngineImpl::accept(
    const workflow::WorkflowCall& call, const workflow::QueuePolicy& queue, const AnswerCallback& callback)
{
    workflow::JobRecord record;
    record.spec = call.spec;
    record.queue = queue;
    record.team = teamOf(call);
    record.cap = m_usage.capOf(record.team);
    const core::TimePoint now = m_dependencies.loop->now();
    record.isExcess = !m_rates.tryTake(record.team, now);
    record.acceptedAt = m_dependencies.loop->wallNow();
    std::string row = workflow::encodeJob(record);
    if (row.size() > store::maxValueBytes) {
        // The store would reject the whole group of writes each time, and with it the jobs of other callers.
        LogLine(Severity::Warning, "record-too-large")
            .with("job", call.spec.id.value())
            .with("bytes", std::int64_t(row.size()))
            .with("outcome", "refused");
        callback(answerOf(WorkflowOutcome::Refused, "its record is too large to be persisted"));
        return;
    }
    record.stages.reserve(workflow::stageCount(call.spec));
    for (std::size_t n = 0; n < workflow::stageCount(call.spec); ++n) {
        const std::size_t count = call.spec.steps[n % call.spec.steps.size()].count;
        record.stages.push_back(workflow::initialProgress(count));
    }
    const JobPtr job = std::make_shared<Job>(makeJob(std::move(record)));
    job->acceptedAt = now;
    m_estimates.update(*job);
    m_estimates.onJobAccepted(*job);
    job->submitCallbacks.push_back(callback);
    m_jobs[call.spec.id] = job;
    m_active[call.spec.id] = job;
    m_admissionSnapshot.jobBytes += job->bytes;
    if (job->record.isExcess) {
        m_admissionSnapshot.work.addLate(queue.priority, job->pendingWork());
    } else {
        recordArrival(queue.priority, { job->expectedCoreSeconds(), double(job->tasks) });
        m_admissionSnapshot.work.add(queue.priority, job->startBy(), job->pendingWork());
    }
    const lead::LogRevision revision = m_log->put(jobKey(call.spec.id), std::move(row));
    whenPersisted(revision, [this, job] { onAccepted(job); });
    m_dependencies.loop->callAfter(timeoutOf(call), [self = weak_from_this(), id = call.spec.id] {
        if (const auto it = self.lock())
            it->onSubmitTimeout(id);
    });
    // Advice may be requested in the meantime; tasks start only once the record is persisted.
    openStages(job);
    scheduleRound();
}

void EngineImpl::onAccepted(const JobPtr& job)
{
    if (std::exchange(job->isPersisted, true))
        return;
    m_dependencies.metrics->add(telemetry::Metric::WorkAccepted, { { "queue", job->record.queue.name } });
    if (job->record.isExcess)
        m_dependencies.metrics->add(
            telemetry::Metric::TeamExcess, { { "team", m_dependencies.metrics->teamLabel(job->record.team.value()) } });
    m_dependencies.metrics->observe(telemetry::Metric::WorkAcceptSeconds, {},
        std::chrono::duration<double>(m_dependencies.loop->now() - job->acceptedAt).count());
    for (const AnswerCallback& it : std::exchange(job->submitCallbacks, {}))
        it(answerOf(WorkflowOutcome::Accepted));
    for (Stage& it : job->stages)
        it.tryAgainAt = {}; // its advice may have come before
    scheduleRound();
}

void EngineImpl::onSubmitTimeout(const core::JobId& id)
{
    const JobPtr job = jobOf(id);
    if (!job || job->isPersisted || m_isStopped)
        return;
    // What is queued for a job that was cancelled meanwhile is the deletion of its record, which may be in the store.
    if (!job->hasEnded() && withdrawUnpersisted(job, "the store does not answer in time"))
        return;
    for (const AnswerCallback& it : std::exchange(job->submitCallbacks, {}))
        it(answerOf(WorkflowOutcome::Uncertain, "the store has not answered"));
}

bool EngineImpl::withdrawUnpersisted(const JobPtr& job, const char* why)
{
    const core::JobId id = job->record.spec.id;
    if (!m_log->withdraw(jobKey(id)))
        return false;
    LogLine(Severity::Warning, "withdrawn").with("job", id.value()).with("why", why);
    m_jobs.erase(id);
    m_active.erase(id);
    job->record.state = JobState::Cancelled;
    for (const AnswerCallback& it : std::exchange(job->submitCallbacks, {}))
        it(notNow(why));
    return true;
}

core::TeamId EngineImpl::teamOf(const workflow::WorkflowCall& call) const
{
    const auto identity = m_config->keys.identify(call.key);
    return identity ? identity->team : core::TeamId();
}

std::optional<WorkflowOutcome> EngineImpl::denialOf(const workflow::WorkflowCall& call, const JobPtr& job) const
{
    const workflow::QueuePolicy* queue = m_config->find(call.host, call.path);
    // Jobs are found by their id alone, so the path of a public queue must not open the jobs of others.
    const bool isOfQueue = !job || (queue && job->record.queue.name == queue->name);
    if (queue && queue->isPublic && isOfQueue)
        return std::nullopt;
    const core::TeamId team = teamOf(call);
    const bool isJobOfTeam = job && !job->record.team.value().empty();
    if (team.value().empty() && (queue || isJobOfTeam))
        return WorkflowOutcome::NoKey;
    if (isJobOfTeam && job->record.team != team)
        return WorkflowOutcome::OtherTeam;
    return std::nullopt;
}

bool EngineImpl::matchesNoQueue(const workflow::WorkflowCall& call, const JobPtr& job) const
{
    const bool isOwnQueue = job && job->record.queue.matches(call.host, call.path);
    return !isOwnQueue && !m_config->find(call.host, call.path);
}

WorkflowResult EngineImpl::answerUnknownJob() const
{
    return m_log->mayBeReplaced() ? notNow("the leader does not reach the store") : answerOf(WorkflowOutcome::NoJob);
}

void EngineImpl::cancel(const workflow::WorkflowCall& call, const AnswerCallback& callback)
{
    const JobPtr job = jobOf(call.spec.id);
    if (matchesNoQueue(call, job)) {
        callback(answerOf(WorkflowOutcome::NoQueue));
        return;
    }
    if (const auto denial = denialOf(call, job)) {
        callback(answerOf(*denial));
        return;
    }
    if (!job) {
        callback(answerUnknownJob());
        return;
    }
    if (!job->hasEnded())
        endJob(job, JobState::Cancelled, "cancelled by a caller");
    if (job->visibleState == job->record.state) {
        callback(answerOf(WorkflowOutcome::Cancelled));
        return;
    }
    whenPersisted(persistProgress(*job), [callback] { callback(answerOf(WorkflowOutcome::Cancelled)); });
}

void EngineImpl::countPending(const workflow::WorkflowCall& call, const AnswerCallback& callback)
{
    const workflow::QueuePolicy* queue = m_config->find(call.host, call.path);
    if (!queue) {
        callback(answerOf(WorkflowOutcome::NoQueue));
        return;
    }
    if (const auto denial = denialOf(call, nullptr)) {
        callback(answerOf(*denial));
        return;
    }
    WorkflowResult answer = answerOf(WorkflowOutcome::Counted);
    answer.pending
        = static_cast<std::uint64_t>(std::count_if(m_active.begin(), m_active.end(), [queue](const auto& it) {
              return it.second->isPersisted && !it.second->hasStarted && it.second->record.queue.name == queue->name;
          }));
    callback(answer);
}

EngineImpl::~EngineImpl()
{
    for (const DeferredCall& it : m_deferredCalls)
        it.callback(notNow("the leadership has ended"));
    for (const auto& [id, job] : std::map(m_active)) {
        if (!job->isPersisted && m_log)
            withdrawUnpersisted(job, "the leadership has ended");
    }
    for (const auto& [id, job] : m_jobs)
        answerHeldReads(*job);
}

} // namespace sardinerun::scheduling

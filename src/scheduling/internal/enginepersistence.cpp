//! Persistence of jobs: records, progress, and the end of jobs.

#include "scheduling/internal/engineimpl.h"

#include "telemetry/log.h"
#include "workflow/workflowcodec.h"

namespace sardinerun::scheduling {

namespace {

using telemetry::LogLine;
using telemetry::Severity;
using workflow::JobState;

} // namespace

lead::LogRevision EngineImpl::persistProgress(Job& job)
{
    return m_log->put(progressKey(job.record.spec.id), workflow::encodeProgress(job.record));
}

lead::LogRevision EngineImpl::persistFailure(Job& job, std::size_t stage, std::size_t task)
{
    if (!workflow::storesFailuresSeparately(job.record))
        return persistProgress(job);
    const workflow::FailureBlock block = workflow::failureBlockOf(job.record, stage, task);
    job.failureRows.insert(block);
    return m_log->put(failuresKey(job.record.spec.id, block), workflow::encodeFailures(job.record, block));
}

void EngineImpl::onWriteRejected(const lead::RejectedWrite& write)
{
    m_afterPersisted.erase(write.revision);
    m_dependencies.metrics->add(telemetry::Metric::WorkWritesRejected, { { "table", write.key.table } });
    const JobPtr job = write.key.table == jobKey({}).table ? jobOf(core::JobId(write.key.key)) : nullptr;
    if (!job || job->isPersisted)
        return;
    m_jobs.erase(job->record.spec.id);
    m_active.erase(job->record.spec.id);
    job->record.state = JobState::Cancelled;
    workflow::WorkflowResult answer;
    answer.outcome = write.mayBeCommitted ? workflow::WorkflowOutcome::Uncertain : workflow::WorkflowOutcome::Refused;
    answer.reason = "the store rejects its record";
    for (const AnswerCallback& it : std::exchange(job->submitCallbacks, {}))
        it(answer);
}

void EngineImpl::whenPersisted(lead::LogRevision revision, std::function<void()> action)
{
    m_afterPersisted.emplace(revision, std::move(action));
}

void EngineImpl::onPersisted(lead::LogRevision revision)
{
    const auto end = m_afterPersisted.upper_bound(revision);
    std::vector<std::function<void()>> due;
    for (auto it = m_afterPersisted.begin(); it != end; ++it)
        due.push_back(std::move(it->second));
    m_afterPersisted.erase(m_afterPersisted.begin(), end);
    for (const auto& it : due)
        it();
}

void EngineImpl::onStoreAvailability(bool isUp)
{
    const LogLine line(isUp ? Severity::Info : Severity::Warning, isUp ? "store-regained" : "store-lost");
    m_dependencies.metrics->set(telemetry::Metric::StoreUp, {}, isUp ? 1 : 0);
    if (isUp)
        return;
    std::vector<JobPtr> unpersisted;
    for (const auto& [id, job] : m_active) {
        if (!job->isPersisted)
            unpersisted.push_back(job);
    }
    for (const JobPtr& it : unpersisted)
        withdrawUnpersisted(it, "the store does not answer");
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
    job->record.left = job->occupied;
    if (job->isRecovered && !m_isBarrierPassed) {
        job->record.left = job->record.left + possibleRunsOf(*job);
        recallEndedJob(*job);
    }
    job->endedAt = m_dependencies.loop->now();
    m_active.erase(id);
    for (const Stage& stage : job->stages)
        stopLive(*job, stage);
    const lead::LogRevision revision = persistProgress(*job);
    job->endRevision = revision;
    m_log->put(jobKey(id), std::nullopt);
    for (const workflow::FailureBlock it : std::exchange(job->failureRows, {}))
        m_log->put(failuresKey(id, it), std::nullopt);
    whenPersisted(revision, [this, job, state] {
        job->visibleState = state;
        job->isPersisted = true;
        answerHeldReads(*job);
        m_dependencies.metrics->observe(telemetry::Metric::WorkJobSeconds,
            { { "queue", job->record.queue.name }, { "state", workflow::nameOf(state) } },
            std::chrono::duration<double>(m_dependencies.loop->now() - job->acceptedAt).count());
        job->releaseDetails();
        m_ended.push_back(job->record.spec.id);
    });
    scheduleRound();
}

void EngineImpl::removeExpiredJobs()
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

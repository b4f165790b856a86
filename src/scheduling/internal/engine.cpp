#include "scheduling/engine.h"

#include "scheduling/internal/engineimpl.h"
#include "telemetry/log.h"

namespace sardinerun::scheduling {

namespace {

constexpr core::Duration tickPeriod = std::chrono::milliseconds(50);

//! Quarantines a worker after consecutive failures of several jobs. The quarantine lasts only a few seconds, as callers
//! wait for seconds.
placement::HealthPolicy healthPolicy()
{
    placement::HealthPolicy policy;
    policy.distinctJobs = 2;
    policy.quarantineTime = std::chrono::seconds(4);
    policy.maxQuarantineTime = std::chrono::seconds(16);
    policy.quickFailure = std::chrono::seconds(30);
    return policy;
}

} // namespace

EnginePtr Engine::create(EngineDependencies dependencies, const lead::WonElection& won, EngineHooks hooks)
{
    return std::make_shared<EngineImpl>(std::move(dependencies), won, std::move(hooks));
}

EngineImpl::EngineImpl(EngineDependencies dependencies, const lead::WonElection& won, EngineHooks hooks)
    : m_dependencies(std::move(dependencies))
    , m_won(won)
    , m_hooks(std::move(hooks))
    , m_health(healthPolicy())
    , m_estimates(m_dependencies.learnedUses, m_dependencies.metrics)
    , m_rates(m_dependencies.ratePolicy)
    , m_arrivalsAt(m_dependencies.loop->now())
    , m_wonAt(m_dependencies.loop->now())
{
    m_priorLeaseUntil = formerLeasesEnd(false);
}

core::TimePoint EngineImpl::formerLeasesEnd(bool isFormerGone) const
{
    if (!m_won.former)
        return {};
    // A former leader that is still alive may extend leases until its authority times out.
    const core::TimePoint authorityEnd
        = lead::formerAuthorityEnd(*m_won.former, isFormerGone, m_dependencies.loop->now(), m_dependencies.leaderTimes);
    return authorityEnd + m_dependencies.times.lease * 11 / 10;
}

void EngineImpl::start()
{
    lead::LeaderLogHooks hooks;
    hooks.persisted = [self = weak_from_this()](lead::LogRevision revision) {
        if (const auto it = self.lock())
            it->onPersisted(revision);
    };
    hooks.rejected = [self = weak_from_this()](const lead::RejectedWrite& write) {
        if (const auto it = self.lock())
            it->onWriteRejected(write);
    };
    hooks.availability = [self = weak_from_this()](bool isUp) {
        if (const auto it = self.lock())
            it->onStoreAvailability(isUp);
    };
    hooks.leadershipLost = [self = weak_from_this()](const std::string& why) {
        const auto it = self.lock();
        if (!it || std::exchange(it->m_isStopped, true))
            return;
        it->m_hooks.leadershipLost(why);
    };
    hooks.rejectedByStore = [self = weak_from_this()] {
        if (const auto it = self.lock())
            it->m_hooks.rejectedByStore();
    };
    m_log = lead::LeaderLog::create(
        m_dependencies.loop, m_dependencies.store, m_won, m_dependencies.leaderTimes, std::move(hooks));
    m_log->start();
    readTable("jobs", "");
    tick();
}

void EngineImpl::setConfig(workflow::QueueConfigPtr config)
{
    m_config = std::move(config);
    m_usage.setTeams(m_config->teams);
    m_rates.setTeams(m_config->teams);
    nameTeams(*m_dependencies.metrics, m_config->teams);
    retryDeferredCalls();
    scheduleRound();
}

void EngineImpl::setFormerLeaderGone()
{
    m_priorLeaseUntil = std::min(m_priorLeaseUntil, formerLeasesEnd(true));
    if (m_won.former && m_won.former->row.isSettled)
        m_log->setSettled();
    for (const auto& [id, worker] : m_workers)
        worker->setPriorLeaseUntil(m_priorLeaseUntil);
}

void EngineImpl::release(bool isOverloaded, std::function<void()> done)
{
    m_isReleasing = true;
    m_log->release(isOverloaded, [self = weak_from_this(), done = std::move(done)] {
        if (const auto it = self.lock())
            it->m_isStopped = true;
        done();
    });
}

void EngineImpl::tick()
{
    if (m_isStopped)
        return;
    retryDeferredCalls();
    removeExpiredJobs();
    removeDepartedWorkers();
    for (const auto& [id, job] : m_active) {
        if (job->record.spec.occurrences > 0)
            openStages(job); // further occurrences may be due now
    }
    scheduleRound();
    m_dependencies.loop->callAfter(tickPeriod, [self = weak_from_this()] {
        if (const auto it = self.lock())
            it->tick();
    });
}

} // namespace sardinerun::scheduling

//! The part of a capacity partition that processes the reports of its workers.

#include "core/hashing.h"
#include "partition/internal/attemptlabel.h"
#include "partition/internal/capacity.h"

#include <algorithm>

namespace sardinerun::partition {

namespace {

//! Least interval between two usage samples of one attempt.
constexpr core::Duration usageInterval = std::chrono::seconds(5);

} // namespace

void Capacity::onSyncResult(
    const core::VmId& worker, const services::SyncResult& result, EventTime at, Effects& effects)
{
    const auto it = m_links.find(worker);
    if (it == m_links.end())
        return;
    const LinkUpdate update = it->second->onResult(result, at.now < m_membershipCertainUntil, at.now);
    if (update.isOwnershipLost) {
        m_isOwnershipLost = true;
        return;
    }
    for (const services::AttemptReport& report : update.reports)
        applyReport(report, worker, at, effects);
    for (const core::AttemptId& id : update.missing)
        endAttempt(id, services::AttemptState::Stopped, true, at, effects);
    if (result)
        preemptOnMemoryPressure(worker, update.reports, at, effects);
    if (it->second->hasOrders())
        m_workersWithOrders.insert(worker);
    updateAvailability(worker, at.now);
    if (m_workerStates[worker] == services::VmState::Leaving)
        stopServices(worker, at, effects);
    updateRecovery(effects);
}

void Capacity::applyReport(
    const services::AttemptReport& report, const core::VmId& worker, EventTime at, Effects& effects)
{
    if (m_pendingEnds.contains(report.id))
        return;
    if (m_tombstones.contains(report.id)) {
        m_links.at(worker)->acknowledge(report.id);
        return;
    }
    if (!m_attempts.contains(report.id))
        adopt(report, worker, at);
    if (report.state == services::AttemptState::Running)
        recordUsage(report, m_attempts.at(report.id), at);
    else
        endAttempt(report.id, report.state, false, at, effects);
}

void Capacity::adopt(const services::AttemptReport& report, const core::VmId& worker, EventTime at)
{
    const AttemptLabel label = decodeLabel(report.label);
    m_attempts.emplace(report.id,
        Attempt { worker, report.workload, report.resources, label.kind, label.urgency, label.isPreemptible, at.now });
    m_ledger.commit(report.id, { worker, report.resources, label.urgency, label.isPreemptible, false });
    if (label.kind == jobs::JobKind::Service)
        updateSpread(report.id.job, worker, 1);
}

void Capacity::recordUsage(const services::AttemptReport& report, Attempt& attempt, EventTime at)
{
    const bool isReported = report.used.cpu.value() > 0 || report.used.memory.value() > 0;
    if (!isReported || at.now < attempt.usageReportedAt + usageInterval)
        return;
    attempt.usageReportedAt = at.now;
    m_usage.report(attempt.workload, attempt.declared, report.used);
    m_ledger.resize(
        report.id, m_usage.toCommitRunning(attempt.workload, attempt.declared, report.used, m_policy.usage));
}

void Capacity::preemptOnMemoryPressure(
    const core::VmId& worker, const std::vector<services::AttemptReport>& reports, EventTime at, Effects& effects)
{
    const placement::Worker* it = m_ledger.worker(worker);
    if (!it)
        return;
    core::MebiBytes used;
    const services::AttemptReport* victim = nullptr;
    const auto rank = [this](const core::AttemptId& id) {
        const Attempt& attempt = m_attempts.at(id);
        return std::pair(attempt.urgency, attempt.startedAt);
    };
    for (const services::AttemptReport& report : reports) {
        used += report.used.memory;
        const auto attempt = m_attempts.find(report.id);
        if (attempt == m_attempts.end() || !attempt->second.isPreemptible)
            continue;
        if (!victim || rank(report.id) > rank(victim->id))
            victim = &report;
    }
    // Unlike CPU time, memory cannot be time-shared: one task is stopped before the worker fails all of them.
    if (victim && used > it->capacity.memory)
        stopAttempt(victim->id, at, effects);
}

void Capacity::stopServices(const core::VmId& worker, EventTime at, Effects& effects)
{
    for (const core::AttemptId& it : m_ledger.attemptsOn(worker)) {
        const auto attempt = m_attempts.find(it);
        if (attempt != m_attempts.end() && attempt->second.kind == jobs::JobKind::Service)
            stopAttempt(it, at, effects);
    }
}

void Capacity::endAttemptsOfLostWorker(const core::VmId& worker, EventTime at, Effects& effects)
{
    WorkerLink& link = *m_links.at(worker);
    const std::vector<core::AttemptId> sentList = link.sentAttempts();
    const std::set<core::AttemptId> sent(sentList.begin(), sentList.end());
    std::vector<core::AttemptId> all;
    for (const auto& [id, attempt] : m_attempts) {
        if (attempt.worker == worker)
            all.push_back(id);
    }
    for (const core::AttemptId& it : all) {
        const bool isLost = sent.contains(it);
        endAttempt(
            it, isLost ? services::AttemptState::Stopped : services::AttemptState::NotStarted, isLost, at, effects);
    }
    link.reset();
}

} // namespace sardinerun::partition

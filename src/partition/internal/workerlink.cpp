#include "partition/internal/workerlink.h"

#include <algorithm>

namespace sardinerun::partition {

WorkerLink::WorkerLink(core::HostPort address, core::Epoch epoch, const PartitionTimes& times, core::TimePoint now)
    : m_address(std::move(address))
    , m_epoch(epoch)
    , m_times(times)
    , m_lease(times.workerLease)
    , m_nextAt(now)
    , m_lastReportAt(now)
{
}

void WorkerLink::start(const services::StartOrder& order)
{
    m_starts.emplace(order.id, order);
    m_nextAt = core::TimePoint();
}

void WorkerLink::stop(const core::AttemptId& attempt)
{
    m_stops.insert(attempt);
    m_nextAt = core::TimePoint();
}

bool WorkerLink::withdraw(const core::AttemptId& attempt)
{
    return !m_sent.contains(attempt) && m_starts.erase(attempt) > 0;
}

void WorkerLink::acknowledge(const core::AttemptId& attempt)
{
    m_acknowledged.insert(attempt);
}

std::optional<services::WorkerSync> WorkerLink::next(core::TimePoint now)
{
    if (m_isInFlight || now < m_nextAt || m_state == State::Expiring)
        return std::nullopt;
    services::WorkerSync sync;
    sync.order = { m_epoch, ++m_sequence };
    sync.session = m_session;
    // The worker ignores starts without a session, so the first exchange only fences it.
    if (!m_session.empty()) {
        for (const auto& [id, order] : m_starts) {
            sync.starts.push_back(order);
            m_sent.insert(id);
        }
        sync.stops.assign(m_stops.begin(), m_stops.end());
    }
    sync.acknowledged.assign(m_acknowledged.begin(), m_acknowledged.end());
    m_acknowledgedInFlight = m_acknowledged;
    sync.renewFrom = m_renewFrom;
    m_isInFlight = true;
    m_nextAt = now + m_times.heartbeat;
    return sync;
}

LinkUpdate WorkerLink::onResult(const services::SyncResult& result, bool mayAcceptSession, core::TimePoint now)
{
    LinkUpdate update;
    m_isInFlight = false;
    if (!result) {
        onFailure(result.error(), now, update);
        return update;
    }
    if (result.value().session != m_session && !mayAcceptSession) {
        m_state = m_state == State::Ready ? State::Failing : m_state;
        return update;
    }
    m_failingSince.reset();
    m_lastReportAt = now;
    m_renewFrom = result.value().time;
    update.isNewlyFenced = !m_isFenced;
    m_isFenced = true;
    m_state = State::Ready;
    onReport(result.value(), update);
    if (hasOrders())
        m_nextAt = std::min(m_nextAt, now);
    return update;
}

void WorkerLink::onReport(const services::WorkerReport& report, LinkUpdate& update)
{
    std::set<core::AttemptId> reported;
    for (const services::AttemptReport& it : report.attempts)
        reported.insert(it.id);
    const bool isNewSession = report.session != m_session;
    for (const core::AttemptId& it : m_acknowledgedInFlight)
        m_acknowledged.erase(it);
    // In the same session, the start of an attempt that was sent but never reported is sent again by the next exchange.
    // In a new session such an attempt is missing: it may have run in the former one, but does not run any more.
    if (isNewSession) {
        for (const core::AttemptId& it : sentAttempts()) {
            if (!reported.contains(it))
                update.missing.push_back(it);
        }
    } else {
        for (const core::AttemptId& it : m_reported) {
            if (!reported.contains(it) && !m_acknowledgedInFlight.contains(it))
                update.missing.push_back(it);
        }
    }
    for (const core::AttemptId& it : update.missing) {
        m_starts.erase(it);
        m_sent.erase(it);
    }
    for (const core::AttemptId& it : reported) {
        m_starts.erase(it);
        m_sent.erase(it);
    }
    for (const services::AttemptReport& it : report.attempts) {
        if (it.state != services::AttemptState::Running)
            m_stops.erase(it.id);
    }
    std::erase_if(m_stops, [&](const core::AttemptId& it) { return !reported.contains(it) && !m_starts.contains(it); });
    m_acknowledgedInFlight.clear();
    m_reported = std::move(reported);
    m_session = report.session;
    m_lease = std::max(report.lease, m_times.workerLease);
    update.reports = report.attempts;
    update.capacity = report.capacity;
}

void WorkerLink::onFailure(const services::WorkerError& error, core::TimePoint now, LinkUpdate& update)
{
    using Code = services::WorkerError::Code;
    if (error.code == Code::Fenced) {
        update.isOwnershipLost = true;
        return;
    }
    if (m_state == State::Ready)
        m_state = State::Failing;
    if (!m_failingSince)
        m_failingSince = now;
    if (now - *m_failingSince >= m_times.workerTimeout)
        m_state = State::Expiring;
    m_nextAt = now + m_times.heartbeat;
}

bool WorkerLink::expireLease(core::TimePoint now, std::optional<core::TimePoint> formerOwnerGoneAt)
{
    if (m_state != State::Expiring)
        return false;
    // Each renewal counts from the time in a report that this owner had received. The lease therefore ends at most one
    // lease time after the last report, however late an exchange arrives.
    if (!m_isFenced && !formerOwnerGoneAt)
        return false;
    const core::TimePoint lastRenewal = m_isFenced ? m_lastReportAt : std::max(m_lastReportAt, *formerOwnerGoneAt);
    if (now < lastRenewal + m_lease + m_times.leaseMargin)
        return false;
    m_state = State::Fencing;
    m_isFenced = true; // attempts of earlier owners cannot run any more either
    m_lastReportAt = now;
    m_failingSince = now;
    m_nextAt = now;
    return true;
}

std::vector<core::AttemptId> WorkerLink::sentAttempts() const
{
    std::vector<core::AttemptId> all(m_reported.begin(), m_reported.end());
    all.insert(all.end(), m_sent.begin(), m_sent.end());
    return all;
}

void WorkerLink::reset()
{
    m_starts.clear();
    m_sent.clear();
    m_reported.clear();
    m_stops.clear();
    m_acknowledged.clear();
    m_session.clear();
    m_renewFrom = 0;
}

} // namespace sardinerun::partition

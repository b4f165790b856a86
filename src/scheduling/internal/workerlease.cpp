//! The lease of a worker: renewals, silence, and the loss of its runs.

#include "scheduling/internal/worker.h"

#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using fleet::OrderFailure;

//! Delay between renewals while ends are not acknowledged, as these renewals don't wait at the worker.
constexpr core::Duration unacknowledgedDelay = std::chrono::milliseconds(400);
//! The delay between renewals of an unresponsive worker doubles up to this often.
constexpr int maxRetryDoublings = 2;
//! Allowance for the transmission delay of the worker's clock reading.
constexpr core::Duration clockMargin = std::chrono::milliseconds(100);

} // namespace

core::TimePoint Worker::leaseExpiresAt() const
{
    core::TimePoint at = m_priorLeaseUntil;
    if (m_leaseUntil.value() > 0) {
        const double left = double(m_leaseUntil.value() - m_clock.value()) / (1 - clockTolerance);
        at = std::max(at, m_clockAt + std::chrono::milliseconds(std::int64_t(left)) + clockMargin);
    }
    return at;
}

void Worker::recordLease(fleet::WorkerClock until)
{
    m_leaseUntil = std::max(m_leaseUntil, until);
}

void Worker::scheduleRenewal(core::Duration delay)
{
    if (m_isDetached || m_awaitedRenewal > 0)
        return;
    if (m_isRenewalScheduled)
        m_loop->cancel(m_renewalTimer);
    m_isRenewalScheduled = true;
    m_renewalTimer = m_loop->callAfter(delay, [self = weak_from_this()] {
        const auto it = self.lock();
        if (!it)
            return;
        it->m_isRenewalScheduled = false;
        it->renewLease();
    });
}

fleet::OrderPatience Worker::patience() const
{
    // Without a connection the order has no effect, so it is better sent elsewhere than late.
    return { m_window->answerTimeout(m_times.orderTimeout), m_times.lateAnswerTimeout };
}

void Worker::renewLease()
{
    if (m_isDetached || m_awaitedRenewal > 0)
        return;
    const core::TimePoint decidedAt = m_loop->now(); // a pause from here on shortens the lease
    fleet::LeaseRenewal order;
    order.fence = m_fence;
    order.acknowledgedUpTo = acknowledgeableUpTo();
    order.incarnationSeenAt = m_incarnationSeenAt;
    order.patience = patience();
    // An unresponsive worker may still receive renewals, so the lease must not be extended while it fails to answer.
    // Otherwise the end of its runs would never be certain.
    if (m_hasClock && m_failedRenewals == 0 && m_hooks.mayExtendLeases()) {
        order.leaseUntil = clockAt(decidedAt) + fleet::WorkerClock(core::toMs(m_times.lease));
        recordLease(*order.leaseUntil);
    }
    const bool mayWait = m_hasAnswered && m_failedRenewals == 0 && !hasUnacknowledgedEnds();
    order.wait = mayWait ? m_times.renewalWait : core::Duration(0);
    const RenewalNumber number = ++m_lastRenewal;
    m_awaitedRenewal = number;
    m_overdueTimer = m_loop->callAfter(order.wait + order.patience.connect, [self = weak_from_this(), number] {
        const auto it = self.lock();
        if (it && !it->m_isDetached)
            it->onRenewalOverdue(number);
    });
    m_orders->renewLease(address(), order,
        [self = weak_from_this(), number, sentAt = m_loop->now()](const fleet::LeaseRenewalResult& result) {
            const auto it = self.lock();
            if (it && !it->m_isDetached)
                it->onRenewed(number, result, sentAt);
        });
}

void Worker::refreshNow()
{
    if (m_isDetached || std::exchange(m_isRefreshing, true))
        return;
    fleet::LeaseRenewal order;
    order.fence = m_fence;
    order.patience = patience();
    // No end is acknowledged here: if the parallel renewal broke off because of a restart, this one may reach the next
    // incarnation, whose end numbers mean other ends.
    m_orders->renewLease(
        address(), order, [self = weak_from_this(), sentAt = m_loop->now()](const fleet::LeaseRenewalResult& result) {
            const auto it = self.lock();
            if (!it || it->m_isDetached)
                return;
            it->m_isRefreshing = false;
            if (result)
                it->applyReport(result.value(), sentAt);
        });
}

void Worker::onRenewed(RenewalNumber number, const fleet::LeaseRenewalResult& result, core::TimePoint sentAt)
{
    const bool isAwaited = number == m_awaitedRenewal;
    if (isAwaited) {
        m_awaitedRenewal = 0;
        m_loop->cancel(m_overdueTimer);
    }
    if (!result) {
        const bool isVerdict = result.error().code == OrderFailure::Code::Fenced
            || result.error().code == OrderFailure::Code::OtherIncarnation;
        if (isAwaited || isVerdict)
            onRenewalFailed(result.error());
        return;
    }
    if (m_failedRenewals > 0)
        telemetry::LogLine(telemetry::Severity::Info, "worker-regained")
            .with("worker", id().value())
            .with("answeredAfterMs", core::toMs(m_loop->now() - sentAt));
    m_failedRenewals = 0;
    applyReport(result.value(), sentAt);
    if (!m_isDetached)
        scheduleRenewal(hasUnacknowledgedEnds() ? unacknowledgedDelay : core::Duration(0));
}

void Worker::onRenewalOverdue(RenewalNumber number)
{
    if (number != m_awaitedRenewal)
        return;
    m_awaitedRenewal = 0;
    retryRenewal({ OrderFailure::Code::Unknown, "overdue" });
}

void Worker::onRenewalFailed(const OrderFailure& failure)
{
    if (failure.code == OrderFailure::Code::Fenced) {
        m_hooks.fenced(*this);
        return;
    }
    if (failure.code == OrderFailure::Code::OtherIncarnation) {
        endIncarnation();
        return;
    }
    retryRenewal(failure);
}

void Worker::retryRenewal(const OrderFailure& failure)
{
    if (++m_failedRenewals == 1)
        telemetry::LogLine(telemetry::Severity::Warning, "worker-lost")
            .with("worker", id().value())
            .with("why", fleet::nameOf(failure.code))
            .with("detail", failure.detail);
    checkLeaseExpiry();
    scheduleRenewal(renewalRetryDelay());
}

core::Duration Worker::renewalRetryDelay() const
{
    // Requests to a worker that cannot answer add to the congestion that may be the cause.
    const int doublings = std::min((m_failedRenewals - 1) / 2, maxRetryDoublings);
    return m_times.renewalRetryDelay * (1 << doublings);
}

core::TimePoint Worker::runsLostAt() const
{
    // The lease is over by then, so nothing runs any more. But what has ended before may be done, and must not start
    // again if the worker can still say so.
    if (!m_isListed)
        return leaseExpiresAt();
    return leaseExpiresAt() + (m_hooks.isLeaderIsolated() ? m_times.isolationGrace : m_times.listedWorkerGrace);
}

void Worker::checkLeaseExpiry()
{
    if (!m_runs.empty() && m_loop->now() >= runsLostAt()) {
        telemetry::LogLine(telemetry::Severity::Warning, "worker-lapsed")
            .with("worker", id().value())
            .with("runs", std::int64_t(m_runs.size()));
        loseAllRuns();
    }
}

} // namespace sardinerun::scheduling

#include "scheduling/internal/worker.h"

#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using fleet::OrderFailure;

//! Ends that wait to be kept are asked about again after this time at the latest.
constexpr core::Duration unsettledPause = std::chrono::milliseconds(400);
constexpr core::Duration samplePeriod = std::chrono::milliseconds(250);
//! Time for what is on its way between a worker's clock and this one's reading of it.
constexpr core::Duration clockMargin = std::chrono::milliseconds(100);

} // namespace

WorkerPtr Worker::create(runtime::ILoopPtr loop, fleet::IWorkerOrdersPtr orders, fleet::WorkerEntry entry,
    core::Epoch fence, core::TimePoint priorLeaseUntil, SchedulingTimes times, WorkerHooks hooks)
{
    return WorkerPtr(new Worker(
        std::move(loop), std::move(orders), std::move(entry), fence, priorLeaseUntil, times, std::move(hooks)));
}

Worker::Worker(runtime::ILoopPtr loop, fleet::IWorkerOrdersPtr orders, fleet::WorkerEntry entry, core::Epoch fence,
    core::TimePoint priorLeaseUntil, SchedulingTimes times, WorkerHooks hooks)
    : m_loop(std::move(loop))
    , m_orders(std::move(orders))
    , m_entry(std::move(entry))
    , m_fence(fence)
    , m_priorLeaseUntil(priorLeaseUntil)
    , m_times(times)
    , m_hooks(std::move(hooks))
{
}

void Worker::begin()
{
    renewLease();
}

void Worker::retire()
{
    m_isRetired = true;
}

void Worker::setEntry(fleet::WorkerEntry entry)
{
    m_entry = std::move(entry);
}

void Worker::setListed(bool isListed)
{
    if (m_isListed && !isListed)
        m_unlistedAt = m_loop->now();
    m_isListed = isListed;
}

bool Worker::takesStarts(core::TimePoint now) const
{
    return isReachable() && !hasLeft(now) && !m_entry.isDraining && now >= m_avoidUntil;
}

fleet::WorkerClock Worker::clockNow() const
{
    return m_clock + fleet::WorkerClock(core::toMs(m_loop->now() - m_clockAt) + 1);
}

core::TimePoint Worker::lapsesAt() const
{
    core::TimePoint at = m_priorLeaseUntil;
    if (m_leaseUntil.value() > 0) {
        const double left = double(m_leaseUntil.value() - m_clock.value()) / (1 - clockTolerance);
        at = std::max(at, m_clockAt + std::chrono::milliseconds(std::int64_t(left)) + clockMargin);
    }
    return at;
}

void Worker::noteClock(fleet::WorkerClock clock)
{
    if (m_hasClock && clock < m_clock)
        return; // an answer that was overtaken
    m_hasClock = true;
    m_clock = clock;
    m_clockAt = m_loop->now();
}

void Worker::noteLease(fleet::WorkerClock until)
{
    m_leaseUntil = std::max(m_leaseUntil, until);
}

void Worker::holdSoon(core::Duration delay)
{
    if (m_isRetired || m_isHolding)
        return;
    if (m_isHoldSet)
        m_loop->cancel(m_holdTimer);
    m_isHoldSet = true;
    m_holdTimer = m_loop->callAfter(delay, [self = weak_from_this()] {
        const auto it = self.lock();
        if (!it)
            return;
        it->m_isHoldSet = false;
        it->renewLease();
    });
}

void Worker::renewLease()
{
    if (m_isRetired || m_isHolding)
        return;
    fleet::LeaseRenewal order;
    order.fence = m_fence;
    order.acknowledgedUpTo = forgettable();
    // A worker that does not answer may still hear: its lease must come to an end for certain.
    if (m_hasClock && m_failures == 0) {
        order.leaseUntil = clockNow() + fleet::WorkerClock(core::toMs(m_times.lease));
        noteLease(*order.leaseUntil);
    }
    const bool mayWait = m_hasAnswered && m_failures == 0 && !hasUnsettledEnds();
    order.wait = mayWait ? m_times.renewalWait : core::Duration(0);
    m_isHolding = true;
    m_orders->renewLease(
        address(), order, [self = weak_from_this(), sentAt = m_loop->now()](const fleet::LeaseRenewalResult& result) {
            const auto it = self.lock();
            if (it && !it->m_isRetired)
                it->onHeld(result, sentAt);
        });
}

void Worker::lookNow()
{
    if (m_isRetired || std::exchange(m_isLooking, true))
        return;
    fleet::LeaseRenewal order;
    order.fence = m_fence;
    // It forgets nothing: beside a hold that was broken off it would reach another life.
    m_orders->renewLease(
        address(), order, [self = weak_from_this(), sentAt = m_loop->now()](const fleet::LeaseRenewalResult& result) {
            const auto it = self.lock();
            if (!it || it->m_isRetired)
                return;
            it->m_isLooking = false;
            if (result)
                it->takeReport(result.value(), sentAt);
        });
}

void Worker::onHeld(const fleet::LeaseRenewalResult& result, core::TimePoint sentAt)
{
    m_isHolding = false;
    if (!result) {
        onHoldFailed(result.error());
        return;
    }
    if (m_failures > 0)
        telemetry::LogLine(telemetry::Severity::Info, "worker-regained").with("worker", id().value());
    m_failures = 0;
    takeReport(result.value(), sentAt);
    if (m_isRetired)
        return;
    holdSoon(hasUnsettledEnds() ? unsettledPause : core::Duration(0));
}

void Worker::onHoldFailed(const OrderFailure& failure)
{
    if (++m_failures == 1)
        telemetry::LogLine(telemetry::Severity::Warning, "worker-lost")
            .with("worker", id().value())
            .with("why", fleet::nameOf(failure.code))
            .with("detail", failure.detail);
    if (failure.code == OrderFailure::Code::Fenced) {
        m_hooks.fenced(*this);
        return;
    }
    if (failure.code == OrderFailure::Code::OtherIncarnation) {
        endLife();
        return;
    }
    checkLapse();
    holdSoon(m_times.renewalRetryDelay);
}

void Worker::takeReport(const fleet::WorkerReport& report, core::TimePoint sentAt)
{
    const bool isReborn
        = report.startedAt.value() > 0 && m_entry.startedAt.value() > 0 && report.startedAt != m_entry.startedAt;
    if (isReborn) {
        // The same name, another life: nothing of before runs there, and its ends are numbered anew.
        loseAll();
        m_entry.startedAt = report.startedAt;
        m_forgetUpTo = {};
        m_lastEnd = {};
        m_settled.clear();
        m_hasClock = false;
        m_leaseUntil = {};
    } else if (report.startedAt.value() > 0) {
        m_entry.startedAt = report.startedAt;
    }
    noteClock(report.clock);
    std::set<fleet::RunId> listed;
    takeRunning(report, listed);
    takeEnds(report);
    m_hasAnswered = true;
    dropUnlisted(listed, sentAt);
    m_hooks.listed(*this);
}

void Worker::takeRunning(const fleet::WorkerReport& report, std::set<fleet::RunId>& listed)
{
    const core::TimePoint now = m_loop->now();
    for (const fleet::RunningRun& entry : report.running) {
        listed.insert(entry.name);
        auto found = m_runs.find(entry.name);
        if (found == m_runs.end()) {
            const Adoption adoption = m_hooks.adopt(*this, entry);
            WorkerRun run;
            run.state = adoption.isKept ? WorkerRun::State::Running : WorkerRun::State::Stopping;
            // How much room a run of an unknown job takes is not known: until it has ended, nothing else starts here.
            run.taken = adoption.room.value_or(m_entry.capacity);
            run.since = now;
            run.settledAt = now;
            run.progressAt = now;
            found = m_runs.emplace(entry.name, run).first;
            m_taken = m_taken + run.taken;
            if (!adoption.isKept)
                sendStop(entry.name);
        }
        WorkerRun& run = found->second;
        if (run.firstPercent < 0) {
            run.firstPercent = entry.percent;
            run.firstListedAt = now;
            run.sampledPercent = entry.percent;
            run.sampledAt = now;
        }
        if (entry.percent != run.percent) {
            run.percent = entry.percent;
            run.progressAt = now;
        }
        sample(entry.name, run, entry.percent);
        run.load = entry.load;
        if (!entry.checkpoint.empty())
            run.checkpoint = entry.checkpoint;
    }
}

void Worker::sample(const fleet::RunId& name, WorkerRun& run, int percent)
{
    const core::TimePoint now = m_loop->now();
    if (run.state != WorkerRun::State::Running || now - run.sampledAt < samplePeriod)
        return;
    // What has done nothing yet may be starting up, or wait for the others of its gang; what has done all may wait for
    // them too.
    if (percent > 0 && percent < 100)
        m_hooks.progress(*this, name, double(percent - run.sampledPercent) / 100, now - run.sampledAt);
    run.sampledPercent = percent;
    run.sampledAt = now;
}

void Worker::takeEnds(const fleet::WorkerReport& report)
{
    // What comes before the first end that is listed was forgotten, perhaps on a former leader's word.
    if (!report.ended.empty())
        m_forgetUpTo = std::max(m_forgetUpTo, fleet::EndNumber(report.ended.front().number.value() - 1));
    for (const fleet::EndedRun& end : report.ended) {
        if (end.number <= m_lastEnd)
            continue;
        m_lastEnd = end.number;
        const auto it = m_runs.find(end.name);
        m_hooks.ended(*this, end, it != m_runs.end());
        if (it == m_runs.end())
            continue;
        RunOver over;
        over.why = RunOver::Why::Ended;
        over.end = end.kind;
        over.checkpoint = end.checkpoint.empty() ? it->second.checkpoint : end.checkpoint;
        finish(end.name, over);
    }
}

void Worker::dropUnlisted(const std::set<fleet::RunId>& listed, core::TimePoint sentAt)
{
    std::vector<fleet::RunId> gone;
    for (const auto& [name, run] : m_runs) {
        const bool mustBeListed = run.state != WorkerRun::State::Ordered && run.settledAt != core::TimePoint()
            && sentAt > run.settledAt && !run.isStopInFlight;
        if (mustBeListed && !listed.contains(name))
            gone.push_back(name);
    }
    for (const fleet::RunId& name : gone) {
        RunOver over;
        over.why = m_runs[name].state == WorkerRun::State::Closing ? RunOver::Why::NotStarted : RunOver::Why::Lost;
        over.checkpoint = m_runs[name].checkpoint;
        finish(name, over);
    }
}

void Worker::settle(fleet::WorkerStartTime life, fleet::EndNumber number)
{
    if (life != m_entry.startedAt || number <= m_forgetUpTo)
        return;
    m_settled.insert(number);
    while (!m_settled.empty() && m_settled.begin()->value() == m_forgetUpTo.value() + 1) {
        m_forgetUpTo = *m_settled.begin();
        m_settled.erase(m_settled.begin());
    }
    if (!hasUnsettledEnds() && m_failures == 0 && m_hasAnswered)
        holdSoon(core::Duration(0));
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): the name may be the key of the entry that is erased here
void Worker::finish(fleet::RunId name, RunOver over)
{
    const auto it = m_runs.find(name);
    over.ran = m_loop->now() - it->second.since;
    m_taken = m_taken - it->second.taken;
    m_runs.erase(it);
    m_hooks.over(*this, name, over);
}

void Worker::loseAll()
{
    while (!m_runs.empty()) {
        RunOver over;
        over.checkpoint = m_runs.begin()->second.checkpoint;
        finish(m_runs.begin()->first, over);
    }
}

void Worker::checkLapse()
{
    if (m_loop->now() >= lapsesAt() && !m_runs.empty()) {
        telemetry::LogLine(telemetry::Severity::Warning, "worker-lapsed")
            .with("worker", id().value())
            .with("runs", std::int64_t(m_runs.size()));
        loseAll();
    }
}

void Worker::endLife()
{
    const WorkerPtr keep = shared_from_this();
    loseAll();
    m_isRetired = true;
    m_hooks.lifeOver(*this);
}

} // namespace sardinerun::scheduling

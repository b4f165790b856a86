#include "lead/leaderlog.h"

#include "telemetry/log.h"

#include <algorithm>
#include <iterator>

namespace sardinerun::lead {

namespace {

//! Maximum rows in one transaction; the store accepts 100 entries, of which the fence needs four.
constexpr std::size_t maxGroupRows = 90;
//! Maximum bytes of values in one transaction; the store accepts 1 MB, and encoding for transport adds a third.
constexpr std::size_t maxGroupBytes = 600'000;
//! A row that was rejected this often when it was sent alone is dropped, if the store accepted a write in between.
constexpr int maxRejections = 2;

} // namespace

LeaderLogPtr LeaderLog::create(
    runtime::ILoopPtr loop, store::IRowStorePtr store, const WonElection& won, LeaderTimes times, LeaderLogHooks hooks)
{
    return LeaderLogPtr(new LeaderLog(std::move(loop), std::move(store), won, times, std::move(hooks)));
}

LeaderLog::LeaderLog(
    runtime::ILoopPtr loop, store::IRowStorePtr store, const WonElection& won, LeaderTimes times, LeaderLogHooks hooks)
    : m_loop(std::move(loop))
    , m_store(std::move(store))
    , m_leader(won.leader)
    , m_leaderVersion(won.leaderVersion)
    , m_headVersion(won.headVersion)
    , m_times(times)
    , m_hooks(std::move(hooks))
    , m_groupLimit(maxGroupRows)
    , m_heartbeatAt(m_loop->now())
    , m_heartbeatSentAt(won.claimedAt)
{
}

void LeaderLog::start()
{
    scheduleWake(core::Duration(0));
}

LogRevision LeaderLog::put(store::RowKey key, std::optional<std::string> value)
{
    if (const auto it = m_pendingByKey.find(key); it != m_pendingByKey.end()) {
        it->second->value = std::move(value);
        return it->second->revision;
    }
    const LogRevision revision(++m_lastRevision);
    m_pending.push_back({ key, std::move(value), revision });
    m_pendingByKey[std::move(key)] = std::prev(m_pending.end());
    scheduleWake(core::Duration(0));
    return revision;
}

bool LeaderLog::withdraw(const store::RowKey& key)
{
    const auto it = m_pendingByKey.find(key);
    if (it == m_pendingByKey.end())
        return false; // sent, or already persisted
    if (it->second->mayBeCommitted)
        return false;
    m_pending.erase(it->second);
    m_pendingByKey.erase(it);
    return std::none_of(m_group.begin(), m_group.end(), [&key](const Pending& sent) { return sent.key == key; });
}

void LeaderLog::release(bool isOverloaded, std::function<void()> done)
{
    m_released = std::move(done);
    m_leader.isReleased = true;
    m_leader.wasOverloaded = isOverloaded;
    scheduleWake(core::Duration(0));
}

core::Duration LeaderLog::expectedDelay() const
{
    const core::Duration openTime = m_isGroupOpen ? m_loop->now() - m_groupAt : core::Duration(0);
    const core::Duration groupTime = std::max({ m_groupTime, openTime, m_times.groupInterval });
    const auto groups = std::int64_t(m_pending.size() / maxGroupRows) + 1;
    return groupTime * groups + (m_isGroupOpen ? groupTime - openTime : core::Duration(0));
}

void LeaderLog::confirmLeadership(std::function<void()> confirmed)
{
    m_confirmations.push_back({ m_sequence + 1, std::move(confirmed) });
    scheduleWake(core::Duration(0));
}

void LeaderLog::runConfirmations()
{
    // After a later answer, another node may have claimed the leadership meanwhile.
    if (!m_groupHasHeartbeat || m_loop->now() - m_groupAt >= m_times.suspectedLeaderTimeout)
        return;
    const auto isAnswered = [this](const Confirmation& it) { return it.sequence <= m_sequence; };
    const auto end = std::stable_partition(m_confirmations.begin(), m_confirmations.end(), isAnswered);
    std::vector<Confirmation> answered(std::make_move_iterator(m_confirmations.begin()), std::make_move_iterator(end));
    m_confirmations.erase(m_confirmations.begin(), end);
    for (const Confirmation& it : answered)
        it.confirmed();
}

bool LeaderLog::isHeartbeatDue() const
{
    if (m_leader.isReleased)
        return m_pending.empty();
    return m_loop->now() >= m_heartbeatAt || !m_confirmations.empty();
}

void LeaderLog::scheduleWake(core::Duration delay)
{
    if (m_isInFlight || m_isStopped)
        return;
    const core::TimePoint now = m_loop->now();
    const core::TimePoint at = std::max(now + delay, m_sentAt + m_times.groupInterval);
    if (m_isWakeSet && m_wakeAt <= at)
        return;
    if (m_isWakeSet)
        m_loop->cancel(m_wakeTimer);
    m_isWakeSet = true;
    m_wakeAt = at;
    m_wakeTimer = m_loop->callAfter(std::max(at - now, core::Duration(0)), [self = weak_from_this()] {
        if (const auto it = self.lock())
            it->onWake();
    });
}

void LeaderLog::onWake()
{
    m_isWakeSet = false;
    if (m_isStopped || m_isInFlight)
        return;
    if (!m_isGroupOpen) {
        if (!mustWrite()) {
            scheduleWake(m_heartbeatAt - m_loop->now());
            return;
        }
        formGroup();
    }
    sendGroup();
}

void LeaderLog::formGroup()
{
    std::size_t bytes = 0;
    const std::size_t limit = m_mustProbe ? 0 : m_groupLimit;
    while (!m_pending.empty() && m_group.size() < limit && bytes < maxGroupBytes) {
        Pending& it = m_pending.front();
        bytes += it.value ? it.value->size() : 0;
        m_pendingByKey.erase(it.key);
        m_group.push_back(std::move(it));
        m_pending.pop_front();
    }
    m_groupHasHeartbeat = isHeartbeatDue();
    m_groupReleases = m_groupHasHeartbeat && m_leader.isReleased;
    if (m_groupHasHeartbeat)
        ++m_leader.heartbeat;
    m_groupLeader = m_leader;
    ++m_sequence;
    m_isGroupOpen = true;
    m_groupAt = m_loop->now();
    m_mayBeCommitted = false;
}

std::string LeaderLog::headValue() const
{
    return std::to_string(m_leader.term.value()) + "." + std::to_string(m_sequence);
}

void LeaderLog::sendGroup()
{
    store::RowTransaction transaction;
    transaction.conditions = { { leaderKey(), m_leaderVersion }, { headKey(), m_headVersion } };
    transaction.updates.push_back({ headKey(), headValue() });
    if (m_groupHasHeartbeat)
        transaction.updates.push_back({ leaderKey(), encodeLeaderRow(m_groupLeader) });
    for (const Pending& it : m_group)
        transaction.updates.push_back({ it.key, it.value });
    m_isInFlight = true;
    m_sentAt = m_loop->now();
    m_store->commit(
        std::move(transaction), [self = weak_from_this(), sentAt = m_sentAt](const store::CommitResult& result) {
            const auto it = self.lock();
            if (it && !it->m_isStopped)
                it->onResult(result, sentAt);
        });
}

void LeaderLog::onResult(const store::CommitResult& result, core::TimePoint sentAt)
{
    m_isInFlight = false;
    if (result)
        onCommitted(result.value(), sentAt);
    else if (result.error().code == store::StoreFailure::Code::Conflict)
        onConflict(result.error(), sentAt);
    else
        onFailure(result.error());
}

void LeaderLog::onCommitted(core::RowVersion version, core::TimePoint sentAt)
{
    m_headVersion = version;
    if (m_groupHasHeartbeat) {
        m_leaderVersion = version;
        m_heartbeatAt = sentAt + m_times.heartbeat;
        // It may have taken effect when it was first sent, although its answer came to a repetition.
        m_heartbeatSentAt = m_groupAt;
    }
    m_isGroupOpen = false;
    m_groupTime = m_loop->now() - m_groupAt;
    // After a probe, the row under suspicion is sent alone once more.
    if (!std::exchange(m_mustProbe, false))
        m_groupLimit = std::min(m_groupLimit * 2, maxGroupRows);
    if (!std::exchange(m_isUp, true))
        m_hooks.availability(true);
    const std::vector<Pending> group = std::exchange(m_group, {});
    m_isStopped = m_groupReleases;
    runConfirmations();
    const bool isIdle = m_pending.empty() && !m_leader.isReleased;
    scheduleWake(isIdle ? m_heartbeatAt - m_loop->now() : core::Duration(0));
    if (!group.empty())
        m_hooks.persisted(LogRevision(m_pending.empty() ? m_lastRevision : m_pending.front().revision.value() - 1));
    if (m_isStopped && m_released)
        m_released();
}

void LeaderLog::onConflict(const store::StoreFailure& failure, core::TimePoint sentAt)
{
    std::string head;
    core::RowVersion headVersion;
    core::RowVersion leaderVersion;
    std::optional<LeaderRow> leader;
    for (const store::StoredRow& it : failure.present) {
        if (it.key == headKey()) {
            head = it.value;
            headVersion = it.version;
        } else if (it.key == leaderKey()) {
            leader = decodeLeaderRow(it.value);
            leaderVersion = it.version;
        }
    }
    const bool isStillLeader = leader && leader->term == m_leader.term && leader->node == m_leader.node;
    if (isStillLeader && m_mayBeCommitted && head == headValue()) {
        // The write whose answer was lost has taken effect.
        m_leaderVersion = leaderVersion;
        onCommitted(headVersion, sentAt);
        m_headVersion = headVersion;
        return;
    }
    m_isStopped = true;
    m_hooks.leadershipLost(leader ? leader->node.value() : "unreadable leader row");
}

void LeaderLog::requeueGroup()
{
    std::reverse(m_group.begin(), m_group.end());
    for (Pending& it : m_group) {
        it.mayBeCommitted = it.mayBeCommitted || m_mayBeCommitted;
        // A newer value takes over the older revision; otherwise that revision would be reported as persisted too
        // early.
        if (const auto newer = m_pendingByKey.find(it.key); newer != m_pendingByKey.end()) {
            it.value = std::move(newer->second->value);
            it.rejections = 0;
            m_pending.erase(newer->second);
        }
        m_pending.push_front(std::move(it));
        m_pendingByKey[m_pending.front().key] = m_pending.begin();
    }
    m_group.clear();
    m_isGroupOpen = false;
}

void LeaderLog::dropRejected(const store::StoreFailure& failure)
{
    const Pending dropped = std::move(m_group.front());
    m_group.clear();
    m_isGroupOpen = false;
    telemetry::LogLine(telemetry::Severity::Error, "write-rejected")
        .with("table", dropped.key.table)
        .with("key", dropped.key.key)
        .with("bytes", dropped.value ? std::int64_t(dropped.value->size()) : 0)
        .with("why", failure.detail);
    m_hooks.rejected({ dropped.key, dropped.revision, dropped.mayBeCommitted || m_mayBeCommitted });
}

bool LeaderLog::isolateRejected(const store::StoreFailure& failure)
{
    if (m_group.empty())
        return false;
    if (m_group.size() > 1) {
        m_groupLimit = (m_group.size() + 1) / 2;
        requeueGroup();
        return true;
    }
    m_groupLimit = 1;
    if (++m_group.front().rejections >= maxRejections) {
        dropRejected(failure);
        return true;
    }
    m_mustProbe = true;
    requeueGroup();
    return true;
}

void LeaderLog::onFailure(const store::StoreFailure& failure)
{
    if (failure.code == store::StoreFailure::Code::Rejected && isolateRejected(failure)) {
        scheduleWake(core::Duration(0));
        return;
    }
    m_mayBeCommitted = m_mayBeCommitted || failure.code == store::StoreFailure::Code::Unknown
        || failure.code == store::StoreFailure::Code::BadAnswer;
    if (!m_mayBeCommitted)
        requeueGroup(); // the write had no effect
    const core::TimePoint now = m_loop->now();
    if (m_isUp || m_mayBeCommitted)
        m_rejectedSince = now;
    else if (now - m_rejectedSince >= m_times.rejectionTimeout) {
        m_rejectedSince = now;
        m_hooks.rejectedByStore();
    }
    if (std::exchange(m_isUp, false))
        m_hooks.availability(false);
    scheduleWake(m_times.retryPause);
}

} // namespace sardinerun::lead

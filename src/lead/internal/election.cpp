#include "lead/election.h"

#include "core/hashing.h"

#include <algorithm>

namespace sardinerun::lead {

namespace {

constexpr core::Duration checkPeriod = std::chrono::milliseconds(50);
//! Delay after a failed claim, so that candidates do not overload a failing store.
constexpr core::Duration claimPause = std::chrono::milliseconds(250);
//! Nothing is scheduled while the leadership is vacant, so candidacy delays are shortened by this factor.
constexpr int vacantLeaderDelayDivisor = 4;

} // namespace

core::TimePoint formerAuthorityEnd(
    const FormerLeader& former, bool isGone, core::TimePoint now, const LeaderTimes& times)
{
    const bool hasStopped = isGone || former.row.isReleased;
    core::TimePoint end = now;
    // A leader without authority may extend leases while this node's last answer that it does not lead counts.
    if (!hasStopped)
        end = std::max(former.seenAt + times.authorityTimeout, now + times.replacementCheckValidity);
    // A leader that has stopped says nothing about those before it, which may be cut off, but alive.
    if (!former.row.isSettled)
        end = std::max({ end, former.termSeenAt + times.authorityTimeout, now + times.replacementCheckValidity });
    return end;
}

ElectionPtr Election::create(runtime::ILoopPtr loop, store::IRowStorePtr store, core::NodeId self,
    core::HostPort address, LeaderTimes times, core::Duration candidacyDelay, ElectionHooks hooks)
{
    return ElectionPtr(new Election(std::move(loop), std::move(store), std::move(self), std::move(address), times,
        candidacyDelay, std::move(hooks)));
}

Election::Election(runtime::ILoopPtr loop, store::IRowStorePtr store, core::NodeId self, core::HostPort address,
    LeaderTimes times, core::Duration candidacyDelay, ElectionHooks hooks)
    : m_loop(std::move(loop))
    , m_store(std::move(store))
    , m_self(std::move(self))
    , m_address(std::move(address))
    , m_times(times)
    , m_candidacyDelay(candidacyDelay)
    , m_hooks(std::move(hooks))
{
    const std::uint64_t hash = core::stableHash(m_self.value() + m_address.text());
    m_candidacyDelay += core::Duration(std::int64_t(hash % std::uint64_t(times.spread.count())));
}

void Election::start()
{
    store::WatchHooks hooks;
    hooks.replaced = [self = weak_from_this()](const std::vector<store::StoredRow>& rows) {
        if (const auto it = self.lock())
            it->onRows(rows, true);
    };
    hooks.changed = [self = weak_from_this()](const std::vector<store::StoredRow>& rows) {
        if (const auto it = self.lock())
            it->onRows(rows, false);
    };
    hooks.confirmed = [self = weak_from_this()](core::TimePoint) {
        if (const auto it = self.lock())
            it->m_confirmedAt = it->m_loop->now();
    };
    hooks.availability = [self = weak_from_this()](bool isUp) {
        if (const auto it = self.lock())
            it->onStoreAvailability(isUp);
    };
    store::TableWatch::Options options;
    options.table = leaderTable;
    m_watch = store::TableWatch::create(m_loop, m_store, options, std::move(hooks));
    m_watch->start();
    check();
}

void Election::invite(core::Epoch term)
{
    if (m_invitedTerm == term)
        return;
    m_invitedTerm = term;
    m_invitedAt = m_loop->now();
    // A read shows immediately whether the store answers this node; the next change of the row may never come.
    m_store->read(leaderTable, "", "", [self = weak_from_this()](const store::PageResult& page) {
        const auto it = self.lock();
        if (!it || !page)
            return;
        it->m_confirmedAt = it->m_loop->now();
        it->onRows(page.value().rows, false);
    });
}

void Election::resume(core::Duration pause)
{
    m_isLeading = false;
    m_pausedUntil = m_loop->now() + pause;
    m_seenAt = m_loop->now();
}

void Election::onRows(const std::vector<store::StoredRow>& rows, bool isWholeTable)
{
    const store::StoredRow* found = nullptr;
    for (const store::StoredRow& it : rows) {
        if (it.key == leaderKey())
            found = &it;
    }
    if (found || isWholeTable)
        applyRow(found);
    m_isRead = true;
}

void Election::onStoreAvailability(bool isUp)
{
    m_isStoreUp = isUp;
    if (isUp)
        m_reachableSince = m_loop->now();
}

void Election::applyRow(const store::StoredRow* row)
{
    if (row && row->version <= m_version)
        return; // older than the known state
    const std::optional<LeaderRow> former = std::move(m_row);
    m_version = row ? row->version : core::RowVersion();
    m_row = row && !row->isDeleted ? decodeLeaderRow(row->value) : std::nullopt;
    m_seenAt = m_loop->now();
    if (!former || !m_row || former->term != m_row->term)
        m_termSeenAt = m_seenAt;
    m_invitedTerm = {}; // the leader has reached the store, or another node leads
    m_isSuspected = m_isSuspected && m_row && m_row->term.value() == m_suspectedTerm;
    m_hooks.leaderSeen(m_row);
}

bool Election::mayClaim() const
{
    if (!m_isRead || m_isClaiming || m_isLeading || m_isRetired || m_loop->now() < m_pausedUntil
        || m_loop->now() < m_claimAgainAt)
        return false;
    // An outage outlasts all candidacy delays, so they count anew from its end. Otherwise any node might lead then.
    if (!m_isStoreUp || m_loop->now() - m_reachableSince < m_candidacyDelay)
        return false;
    // An invitation counts only on a node that reaches the store; if the store rejects all nodes, the leader continues.
    const bool isInvited = m_row && m_row->term == m_invitedTerm && m_confirmedAt > m_invitedAt;
    const bool isFree = !m_row || m_row->isReleased || m_row->node == m_self || isInvited;
    // Nodes suspect a leader up to a second apart, as they poll it at different times. That is longer than candidacy
    // delays, so a small VM waits until the others have had the time to suspect it, too.
    const bool isTimeoutShort = m_isSuspected && !m_isOutclassed;
    const core::Duration leaderTimeout = isTimeoutShort ? m_times.suspectedLeaderTimeout : m_times.leaderTimeout;
    const core::Duration timeout
        = isFree ? m_candidacyDelay / vacantLeaderDelayDivisor : leaderTimeout + m_candidacyDelay;
    const core::TimePoint since = isInvited ? std::max(m_seenAt, m_invitedAt) : m_seenAt;
    return m_loop->now() - since >= timeout;
}

void Election::check()
{
    if (mayClaim())
        claim();
    m_loop->callAfter(checkPeriod, [self = weak_from_this()] {
        if (const auto it = self.lock())
            it->check();
    });
}

void Election::claim()
{
    m_isClaiming = true;
    // The watch may show the claim before its answer arrives, so the former leader is recorded here.
    Claim claim;
    claim.sentAt = m_loop->now();
    if (m_row)
        claim.former = FormerLeader { *m_row, m_seenAt, m_termSeenAt };
    LeaderRow& claimed = claim.leader;
    claimed.node = m_self;
    claimed.address = m_address;
    claimed.term = core::Epoch((m_row ? m_row->term.value() : 0) + 1);
    claimed.isSettled = !m_row || (m_row->isReleased && m_row->isSettled);
    store::RowTransaction transaction;
    transaction.conditions = { { leaderKey(), m_version } };
    transaction.updates
        = { { leaderKey(), encodeLeaderRow(claimed) }, { headKey(), std::to_string(claimed.term.value()) + ".0" } };
    m_store->commit(std::move(transaction), [self = weak_from_this(), claim](const store::CommitResult& result) {
        if (const auto it = self.lock())
            it->onClaimed(result, claim);
    });
}

void Election::onClaimed(const store::CommitResult& result, const Claim& claim)
{
    m_isClaiming = false;
    if (!result) {
        m_claimAgainAt = m_loop->now() + claimPause;
        // A conflict returns the current row. If the answer to a successful claim was lost, the row names this node,
        // which then claims again.
        for (const store::StoredRow& it : result.error().present) {
            if (it.key == leaderKey())
                applyRow(&it);
        }
        return;
    }
    if (m_row && m_row->term > claim.leader.term)
        return; // the answer came so late that another node has won a later term
    WonElection won;
    won.leader = claim.leader;
    won.leaderVersion = result.value();
    won.headVersion = result.value();
    won.claimedAt = claim.sentAt;
    won.former = claim.former;
    m_isLeading = true;
    m_version = result.value();
    m_row = claim.leader;
    m_seenAt = m_loop->now();
    m_termSeenAt = m_seenAt;
    m_hooks.leaderSeen(m_row);
    m_hooks.won(won);
}

} // namespace sardinerun::lead

#pragma once

#include "lead/election.h"
#include "runtime/iloop.h"
#include "store/irowstore.h"

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace sardinerun::lead {

using LogRevision
    = core::Strong<struct LogRevisionTag, std::uint64_t>; //!< position of a value in the order of `put` calls

//! A value that the store rejects for good.
struct RejectedWrite {
    store::RowKey key;
    LogRevision revision;
    bool mayBeCommitted = false; //!< an earlier answer about it was lost, so the store may have it after all
};

//! Callbacks of a log to its owner.
struct LeaderLogHooks {
    //! All values up to this revision are persisted.
    std::function<void(LogRevision)> persisted;
    //! Another node leads; the log writes nothing more.
    std::function<void(const std::string& why)> leadershipLost;
    //! The store rejects this value, but accepts other writes. The value was dropped, and `persisted` does not include
    //! it.
    std::function<void(const RejectedWrite&)> rejected = [](const RejectedWrite&) {};
    std::function<void(bool isUp)> availability = [](bool) {};
    //! The store has rejected this node's writes for `LeaderTimes::rejectionTimeout`; it may accept those of other
    //! nodes.
    std::function<void()> rejectedByStore = [] {};
};

//! Writes the leader's rows to the store in groups, one fenced transaction at a time.
//!
//! A write whose answer was lost is sent again under the same conditions. The head row shows whether the first one took
//! effect; a copy that arrives later fails, because it expects an older version of that row.
//!
//! A group that the store rejects as invalid is split until the row at fault is alone, so that one bad row does not
//! stop the writes of other jobs.
class LeaderLog : public std::enable_shared_from_this<LeaderLog> {
public:
    static std::shared_ptr<LeaderLog> create(runtime::ILoopPtr loop, store::IRowStorePtr store, const WonElection& won,
        LeaderTimes times, LeaderLogHooks hooks);

    void start();
    void stop() { m_isStopped = true; }
    //! Queues a new value of a row, or its deletion if there is no value. Replaces a queued value of that row.
    LogRevision put(store::RowKey key, std::optional<std::string> value);
    //! Removes a queued value of a row. Returns true only if it was queued and no value was sent that may get
    //! persisted.
    bool withdraw(const store::RowKey& key);
    //! Calls `confirmed` once a heartbeat that was sent after this call has taken effect, and its answer came so soon
    //! that no other node can lead yet. What silence has suggested may then be acted on. Never calls it after a
    //! replacement.
    void confirmLeadership(std::function<void()> confirmed);
    //! Releases the leadership in the leader's row once all values are persisted, then calls `done`.
    void release(bool isOverloaded, std::function<void()> done);

    //! Records in the leader's row, with the next heartbeat, that nothing of earlier leaders can run unnoticed.
    void setSettled() { m_leader.isSettled = true; }

    //! Returns whether the release of the leadership may have taken effect, so that another node may lead.
    bool mayBeReleased() const { return m_isGroupOpen && m_groupReleases && (m_isInFlight || m_mayBeCommitted); }

    bool isUp() const { return m_isUp; }
    //! Returns the estimated time until a row queued now is persisted, from the queue length and the last group's time.
    core::Duration expectedDelay() const;
    //! Returns the time until which this leader's orders cannot collide with those of another leader.
    core::TimePoint authorityUntil() const { return m_heartbeatSentAt + m_times.authorityTimeout; }
    //! Returns whether another node may lead by now: this one's last heartbeat is old, or the store turns it away,
    //! which makes it invite others.
    bool mayBeReplaced() const
    {
        return !m_isUp || m_loop->now() - m_heartbeatSentAt >= m_times.suspectedLeaderTimeout;
    }
    core::Epoch term() const { return m_leader.term; }

private:
    struct Pending {
        store::RowKey key;
        std::optional<std::string> value;
        LogRevision revision;
        bool mayBeCommitted = false; //!< it was sent, and that answer was lost or unreadable
        int rejections = 0; //!< number of times that the store rejected it when it was sent alone
    };
    LeaderLog(runtime::ILoopPtr loop, store::IRowStorePtr store, const WonElection& won, LeaderTimes times,
        LeaderLogHooks hooks);
    void scheduleWake(core::Duration delay);
    void onWake();
    bool mustWrite() const { return !m_pending.empty() || isHeartbeatDue() || !m_confirmations.empty(); }
    void runConfirmations();
    bool isHeartbeatDue() const;
    void formGroup();
    void sendGroup();
    void onResult(const store::CommitResult& result, core::TimePoint sentAt);
    void onCommitted(core::RowVersion version, core::TimePoint sentAt);
    void onConflict(const store::StoreFailure& failure, core::TimePoint sentAt);
    void onFailure(const store::StoreFailure& failure);
    //! Splits a group that the store has rejected as invalid, or drops its only row once that row is known to be at
    //! fault. Returns false if the group has no rows.
    bool isolateRejected(const store::StoreFailure& failure);
    void dropRejected(const store::StoreFailure& failure);
    //! Returns the rows of the open group to the queue, where they can be withdrawn or replaced.
    void requeueGroup();
    std::string headValue() const;

    runtime::ILoopPtr m_loop;
    store::IRowStorePtr m_store;
    LeaderRow m_leader;
    core::RowVersion m_leaderVersion;
    core::RowVersion m_headVersion;
    LeaderTimes m_times;
    LeaderLogHooks m_hooks;
    std::list<Pending> m_pending; //!< ordered by revision
    std::map<store::RowKey, std::list<Pending>::iterator> m_pendingByKey;
    std::vector<Pending> m_group; //!< rows of the open group
    bool m_groupHasHeartbeat = false;
    LeaderRow m_groupLeader; //!< as the open group writes it, also when it is sent again
    bool m_groupReleases = false; //!< the open group releases the leadership
    bool m_isGroupOpen = false; //!< a group was sent and its outcome is unknown
    bool m_mayBeCommitted = false; //!< an answer to the open group was lost or unreadable
    std::size_t m_groupLimit; //!< maximum rows of the next group
    bool m_mustProbe = false; //!< the next group has no rows, to learn whether the store accepts any write
    bool m_isInFlight = false;
    bool m_isWakeSet = false;
    core::TimePoint m_wakeAt {};
    runtime::TimerId m_wakeTimer;
    bool m_isStopped = false;
    bool m_isUp = true;
    core::TimePoint m_rejectedSince {}; //!< when the current series of rejections began, or the last report of it
    std::uint64_t m_lastRevision = 0;
    std::uint64_t m_sequence = 0; //!< number of the last group
    core::TimePoint m_sentAt {};
    core::TimePoint m_groupAt {}; //!< when the open group was first sent
    core::Duration m_groupTime {}; //!< from first sending the last group to its commit
    core::TimePoint m_heartbeatAt {};
    //! When the last heartbeat that succeeded, or else the claim, was first sent. Other nodes have seen it later.
    core::TimePoint m_heartbeatSentAt {};
    //! A question whether this leader still leads.
    struct Confirmation {
        std::uint64_t sequence = 0; //!< number of the first group that answers it
        std::function<void()> confirmed;
    };
    std::vector<Confirmation> m_confirmations;
    std::function<void()> m_released;
};

using LeaderLogPtr = std::shared_ptr<LeaderLog>;

} // namespace sardinerun::lead

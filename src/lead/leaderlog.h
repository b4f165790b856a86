#pragma once

#include "lead/leadtypes.h"
#include "runtime/iloop.h"
#include "store/irowstore.h"

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace sardinerun::lead {

using LogRevision = core::Strong<struct LogRevisionTag, std::uint64_t>; //!< order of what was put into the log

//! What a log tells its owner.
struct LeaderLogHooks {
    //! All that was put up to this revision is persisted.
    std::function<void(LogRevision)> persisted;
    //! Another node leads; nothing more is written.
    std::function<void(const std::string& why)> leadershipLost;
    std::function<void(bool isUp)> availability = [](bool) {};
    //! The store has turned this node away for a while; it may serve others.
    std::function<void()> rejectedByStore = [] {};
};

//! The leader's writes to the store: groups of rows, one transaction at a time, fenced.
//!
//! A write whose answer was lost is sent again under the same conditions. The head row tells whether the former one
//! took effect, and a copy that comes late meets another version of it.
class LeaderLog : public std::enable_shared_from_this<LeaderLog> {
public:
    static std::shared_ptr<LeaderLog> create(runtime::ILoopPtr loop, store::IRowStorePtr store, LeaderRow leader,
        core::RowVersion leaderVersion, core::RowVersion headVersion, LeaderTimes times, LeaderLogHooks hooks);

    void start();
    void stop() { m_isStopped = true; }
    //! A new value of a row, or nothing to drop it. Replaces a value of that row that was not sent yet.
    LogRevision put(store::RowKey key, std::optional<std::string> value);
    //! Takes back what was put for a row; false when it was sent and may be kept.
    bool withdraw(const store::RowKey& key);
    //! Tells the others that the leader has stopped, once all is kept; then calls back.
    void release(bool isOverloaded, std::function<void()> done);

    bool isUp() const { return m_isUp; }
    //! Until a row that is put now is kept, by what waits and by the time that the last groups took.
    core::Duration expectedDelay() const;
    //! Until then no other node's decisions can meet this one's orders.
    core::TimePoint authorityUntil() const { return m_provenAt + m_times.authorityTimeout; }
    core::Epoch term() const { return m_leader.term; }

private:
    struct Pending {
        store::RowKey key;
        std::optional<std::string> value;
        LogRevision revision;
    };
    LeaderLog(runtime::ILoopPtr loop, store::IRowStorePtr store, LeaderRow leader, core::RowVersion leaderVersion,
        core::RowVersion headVersion, LeaderTimes times, LeaderLogHooks hooks);
    void wake(core::Duration delay);
    void onWake();
    bool isHeartbeatDue() const;
    void takeGroup();
    void sendGroup();
    void onResult(const store::CommitResult& result, core::TimePoint sentAt);
    void onCommitted(core::RowVersion version, core::TimePoint sentAt);
    void onConflict(const store::StoreFailure& failure, core::TimePoint sentAt);
    void onFailure(const store::StoreFailure& failure);
    std::string headValue() const;

    runtime::ILoopPtr m_loop;
    store::IRowStorePtr m_store;
    LeaderRow m_leader;
    core::RowVersion m_leaderVersion;
    core::RowVersion m_headVersion;
    LeaderTimes m_times;
    LeaderLogHooks m_hooks;
    std::list<Pending> m_pending; //!< in order of their revision
    std::map<store::RowKey, std::list<Pending>::iterator> m_pendingByKey;
    std::vector<Pending> m_group; //!< being written
    bool m_groupHasBeat = false;
    bool m_groupReleases = false; //!< it tells the others that the leader has stopped
    bool m_isGroupOpen = false; //!< a group was sent and its outcome is not known yet
    bool m_mayBeWritten = false; //!< an answer for the open group was lost
    bool m_isInFlight = false;
    bool m_isWakeSet = false;
    core::TimePoint m_wakeAt {};
    runtime::TimerId m_wakeTimer;
    bool m_isStopped = false;
    bool m_isUp = true;
    core::TimePoint m_rejectedByStoreAt {}; //!< first refusal in a row
    std::uint64_t m_lastRevision = 0;
    std::uint64_t m_sequence = 0; //!< of groups
    core::TimePoint m_sentAt {};
    core::TimePoint m_groupAt {}; //!< when the open group was first sent
    core::Duration m_groupTime {}; //!< that the last group took
    core::TimePoint m_heartbeatAt {};
    core::TimePoint m_provenAt {}; //!< when the last write that succeeded was sent
    std::function<void()> m_released;
};

using LeaderLogPtr = std::shared_ptr<LeaderLog>;

} // namespace sardinerun::lead

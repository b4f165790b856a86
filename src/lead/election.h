#pragma once

#include "lead/leadtypes.h"
#include "runtime/iloop.h"
#include "store/tablewatch.h"

#include <functional>
#include <memory>

namespace sardinerun::lead {

//! The leader that the winner of an election replaces.
struct FormerLeader {
    LeaderRow row; //!< as last seen
    core::TimePoint seenAt; //!< when this node saw its last heartbeat
    core::TimePoint termSeenAt; //!< when this node first saw its term; leaders before it have written nothing since
};

//! Returns the time from which no former leader gives orders or extends leases. `isGone`: the last one has certainly
//! stopped.
core::TimePoint formerAuthorityEnd(
    const FormerLeader& former, bool isGone, core::TimePoint now, const LeaderTimes& times);

//! Result of a won election.
struct WonElection {
    LeaderRow leader;
    core::RowVersion leaderVersion;
    core::RowVersion headVersion;
    core::TimePoint claimedAt; //!< when the claim was sent
    std::optional<FormerLeader> former; //!< nothing for the first leader
};

struct ElectionHooks {
    //! The leader's row has changed; nothing if no leader is known.
    std::function<void(const std::optional<LeaderRow>&)> leaderSeen;
    std::function<void(const WonElection&)> won;
};

//! Watches the leader's row and claims the leadership when the leader's lease has timed out or was released.
class Election : public std::enable_shared_from_this<Election> {
public:
    //! `candidacyDelay` postpones this node's candidacy, so that better suited nodes win.
    static std::shared_ptr<Election> create(runtime::ILoopPtr loop, store::IRowStorePtr store, core::NodeId self,
        core::HostPort address, LeaderTimes times, core::Duration candidacyDelay, ElectionHooks hooks);

    void start();
    //! Takes part in elections again once `pause` has passed; called when a leadership of this node has ended.
    void resume(core::Duration pause = {});
    //! Sets whether this node is unable to reach the leader; shortens the timeout for that leader's term.
    void setSuspected(bool isSuspected)
    {
        m_isSuspected = isSuspected;
        m_suspectedTerm = m_row ? m_row->term.value() : 0;
    }
    //! Sets whether other nodes are much better suited. They take over sooner from a leader that cannot be reached.
    void setOutclassed(bool isOutclassed) { m_isOutclassed = isOutclassed; }
    //! Records that the leader of this term invites others to take over, because the store rejects its writes.
    void invite(core::Epoch term);
    //! Stops claiming the leadership, for good.
    void retire() { m_isRetired = true; }

private:
    Election(runtime::ILoopPtr loop, store::IRowStorePtr store, core::NodeId self, core::HostPort address,
        LeaderTimes times, core::Duration candidacyDelay, ElectionHooks hooks);
    void onRows(const std::vector<store::StoredRow>& rows, bool isWholeTable);
    void applyRow(const store::StoredRow* row);
    void onStoreAvailability(bool isUp);
    void check();
    bool mayClaim() const;
    //! A claim of the leadership, and the leader that it replaces if it succeeds.
    struct Claim {
        LeaderRow leader;
        core::TimePoint sentAt;
        std::optional<FormerLeader> former;
    };
    void claim();
    void onClaimed(const store::CommitResult& result, const Claim& claim);

    runtime::ILoopPtr m_loop;
    store::IRowStorePtr m_store;
    core::NodeId m_self;
    core::HostPort m_address;
    LeaderTimes m_times;
    core::Duration m_candidacyDelay;
    ElectionHooks m_hooks;
    store::TableWatchPtr m_watch;
    std::optional<LeaderRow> m_row;
    core::RowVersion m_version;
    core::RowVersion m_headVersion;
    core::TimePoint m_seenAt {}; //!< when this node last saw the row change, or resumed
    core::TimePoint m_termSeenAt {}; //!< when this node first saw the term of the row
    bool m_isRead = false;
    bool m_isClaiming = false;
    bool m_isLeading = false;
    bool m_isRetired = false;
    core::TimePoint m_pausedUntil {};
    bool m_isSuspected = false;
    bool m_isOutclassed = false;
    std::uint64_t m_suspectedTerm = 0;
    core::Epoch m_invitedTerm; //!< term of the leader that invites others to take over
    core::TimePoint m_invitedAt {};
    core::TimePoint m_confirmedAt {}; //!< when the store last answered this node
    core::TimePoint m_claimAgainAt {};
    bool m_isStoreUp = true; //!< the store answers the watch
    core::TimePoint m_reachableSince {}; //!< when it answered again after a failure
};

using ElectionPtr = std::shared_ptr<Election>;

} // namespace sardinerun::lead

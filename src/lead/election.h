#pragma once

#include "lead/leadtypes.h"
#include "runtime/iloop.h"
#include "store/tablewatch.h"

#include <functional>
#include <memory>

namespace sardinerun::lead {

//! A leadership that was just won.
struct WonElection {
    LeaderRow leader;
    core::RowVersion leaderVersion;
    core::RowVersion headVersion;
    core::TimePoint formerSeenAt; //!< when the former leader's last heartbeat was seen here
    bool hadFormer = false;
    core::HostPort formerAddress;
    bool isFormerReleased = false; //!< it had said that it has stopped
    bool wasFormerOverloaded = false; //!< for want of processor
};

struct ElectionHooks {
    //! Another node leads, or nobody that is known.
    std::function<void(const std::optional<LeaderRow>&)> leaderSeen;
    std::function<void(const WonElection&)> won;
};

//! Watches the leader's row, and takes it when the leader is silent or has stopped.
class Election : public std::enable_shared_from_this<Election> {
public:
    //! `candidacyDelay` delays this node's candidacy, so that better suited nodes come first.
    static std::shared_ptr<Election> create(runtime::ILoopPtr loop, store::IRowStorePtr store, core::NodeId self,
        core::HostPort address, LeaderTimes times, core::Duration candidacyDelay, ElectionHooks hooks);

    void start();
    //! The leadership of this node is over; it may take part again after a rest.
    void resume(core::Duration rest = {});
    //! This node cannot reach the leader, or can again.
    void setSuspected(bool isSuspected)
    {
        m_isSuspected = isSuspected;
        m_suspectedTerm = m_row ? m_row->term.value() : 0;
    }
    //! The leader of this term asks others to follow it, since the store turns it away.
    void invite(core::Epoch term);
    //! Takes no leadership any more.
    void retire() { m_isRetired = true; }

private:
    Election(runtime::ILoopPtr loop, store::IRowStorePtr store, core::NodeId self, core::HostPort address,
        LeaderTimes times, core::Duration candidacyDelay, ElectionHooks hooks);
    void onRows(const std::vector<store::StoredRow>& rows, bool isWhole);
    void see(const store::StoredRow* row);
    void check();
    bool mayFollow() const;
    void claim();
    void onClaimed(const store::CommitResult& result, const LeaderRow& claimed);

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
    core::TimePoint m_seenAt {}; //!< when the row last changed here
    bool m_isRead = false;
    bool m_isClaiming = false;
    bool m_isLeading = false;
    bool m_isRetired = false;
    core::TimePoint m_restUntil {};
    bool m_isSuspected = false;
    std::uint64_t m_suspectedTerm = 0;
    core::Epoch m_invitedTerm; //!< whose leader has asked to be followed
    core::TimePoint m_invitedAt {};
    core::TimePoint m_confirmedAt {}; //!< when the store last answered here
    core::TimePoint m_claimAgainAt {};
};

using ElectionPtr = std::shared_ptr<Election>;

} // namespace sardinerun::lead

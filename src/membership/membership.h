#pragma once

#include "membership/membershiptypes.h"

#include <memory>
#include <set>

namespace sardinerun::membership {

//! What a node asks of the store.
struct StoreRequest {
    bool isRefresh = false; //!< list all rows of the cell
    std::optional<services::Transaction> commit;
};

//! What a node may do at a moment, by what it knows.
struct MemberState {
    NodeIncarnation self;
    bool isMember = false;
    core::TimePoint certainUntil {}; //!< until then no other node takes it as gone
    core::TimePoint slotsUntil {}; //!< until then it may use its shares of slots
    core::ConfigVersion activeConfig; //!< configuration in force here until `certainUntil`; 0 for none
    core::ConfigVersion confirming; //!< newer configuration for which it has stopped acting; 0 for none
    std::map<core::PartitionId, PartitionRow> owned;
    std::set<core::PartitionId> slots; //!< shares that it may use
};

//! A node's part in the cell, as a state machine on the store's rows.
//!
//! Safety rests on conditional writes and on two rules of time. A member counts its lease from before it sent the
//! renewal; others count from after they read it, plus a margin. Shares of slots move only when released, or when
//! their holder is known to have ended and its last request must be over, or after a lease of hours.
class Membership {
public:
    struct Options {
        core::NodeId node;
        core::HostPort address;
        core::FailureDomainId failureDomain;
        std::uint32_t partitionCount = 8; //!< used by the first node only
        MembershipTimes times;
    };
    static std::unique_ptr<Membership> create(Options options);

    //! The next request to the store, or nothing; at most one is in progress.
    std::optional<StoreRequest> next(core::TimePoint now);
    void onRefreshed(const services::RowsResult& result, core::TimePoint now);
    void onCommitted(const services::CommitResult& result, core::TimePoint now);
    //! Reads the rows as soon as possible: something has changed.
    void refreshSoon() { m_lookAt = core::TimePoint(); }

    //! All tasks of the node have stopped acting under configurations older than this.
    void onOlderConfigsDrained(core::ConfigVersion version);
    //! The partition's machine is at rest, so it can be handed over. `isRecovered`: it has fenced all its workers, so
    //! earlier owners no longer matter.
    void onQuiescent(core::PartitionId partition, bool isRecovered) { m_quiescent[partition] = isRecovered; }
    //! No request uses the share any more, so it can be released.
    void onSlotsIdle(core::PartitionId partition) { m_idleSlots.insert(partition); }
    //! That run of the node's process has certainly ended.
    void onConfirmedGone(const NodeIncarnation& run, core::TimePoint now);
    //! Planned stop: hands over everything, then leaves.
    void leave();

    MemberState memberState(core::TimePoint now) const;
    const CellView& view() const { return m_view; }
    //! Partitions that are owned and should go to another node.
    std::set<core::PartitionId> handingOver() const;
    //! Shares that are held and should go to another node.
    std::set<core::PartitionId> releasing() const;
    //! Runs whose end would free something, so that it is worth asking whether they have ended.
    std::vector<NodeIncarnation> probeTargets() const;
    //! No earlier owner of the partition can still speak with its workers.
    bool areFormerOwnersGone(core::PartitionId partition) const;
    //! Where that run could be reached when it was a member.
    std::optional<core::HostPort> lastAddressOf(const NodeIncarnation& run) const;
    //! Everything is handed over and the own row is gone.
    bool hasLeft() const { return m_hasLeft; }
    //! The store did not answer the last request.
    bool isStoreDown() const { return m_isStoreDown; }

private:
    explicit Membership(Options options);
    using Decision = std::optional<services::Transaction> (Membership::*)(core::TimePoint now);

    struct Sighting {
        core::RowVersion row;
        core::TimePoint firstSeen;
    };

    std::optional<services::Transaction> join(core::TimePoint now);
    std::optional<services::Transaction> renew(core::TimePoint now);
    std::optional<services::Transaction> removeLapsed(core::TimePoint now);
    std::optional<services::Transaction> activate(core::TimePoint now);
    std::optional<services::Transaction> takePartitions(core::TimePoint now);
    std::optional<services::Transaction> handOver(core::TimePoint now);
    std::optional<services::Transaction> moveSlots(core::TimePoint now);
    std::optional<services::Transaction> depart(core::TimePoint now);

    services::Transaction begin() const;
    services::Transaction beginAsMember() const;
    std::string writeOwnRow();
    void takeView(CellView view, core::TimePoint now);
    void noteOwnRow();
    void noteRenewed(core::RowVersion row, core::TimePoint sentAt);
    void noteGivenUp();
    void noteSightings(core::TimePoint now);
    void dropOut();
    bool isLive(const NodeIncarnation& run) const;
    void updateAssignment();
    std::vector<NodeIncarnation> remainingFormerOwners(const PartitionRow& row) const;
    bool maySlotsMove(const SlotsRow& slots, core::TimePoint now) const;

    Options m_options;
    NodeIncarnation m_self;
    CellView m_view;
    bool m_hasView = false;
    bool m_isInFlight = false;
    bool m_isLeaving = false;
    bool m_isDeparting = false; //!< the removal of the own row was sent
    bool m_hasLeft = false;
    bool m_isStoreDown = false;
    bool m_isMember = false;
    core::RowVersion m_ownRow;
    core::ConfigVersion m_confirmed; //!< as written, or about to be
    core::ConfigVersion m_stopped; //!< all tasks have stopped acting under older ones
    core::TimePoint m_sentAt {}; //!< of the request in progress
    std::map<core::WriteId, core::TimePoint> m_unresolved; //!< renewals without a clear answer, by their sending
    core::WriteId m_renewal; //!< the renewal in progress, if any
    Member m_written; //!< own row as last sent
    core::TimePoint m_renewedAt {};
    core::TimePoint m_renewAt {};
    core::TimePoint m_lookAt {};
    core::TimePoint m_lookedAt {}; //!< rows were read last
    std::map<core::PartitionId, core::NodeId> m_assignment; //!< who should own what, by the members in view
    std::map<core::NodeId, Sighting> m_sightings;
    std::map<NodeIncarnation, core::TimePoint> m_goneSince;
    std::map<NodeIncarnation, core::TimePoint> m_missingSince;
    std::map<NodeIncarnation, core::HostPort> m_addresses;
    std::map<core::PartitionId, bool> m_quiescent;
    std::map<core::PartitionId, core::Epoch> m_givenUp; //!< their hand-over was sent and is not seen yet
    std::set<core::PartitionId> m_idleSlots;
    std::set<core::PartitionId> m_releasedSlots; //!< their release was sent and is not seen yet
};

using MembershipPtr = std::unique_ptr<Membership>;

} // namespace sardinerun::membership

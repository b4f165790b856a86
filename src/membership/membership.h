#pragma once

#include "membership/membershiptypes.h"

#include <memory>
#include <set>

namespace sardinerun::membership {

//! A node's request to the store: a refresh or a transaction.
struct StoreRequest {
    bool isRefresh = false; //!< list all rows of the cell
    std::optional<services::Transaction> commit;
};

//! Rights of a node at a point in time, derived from the rows that it read last.
struct MemberState {
    NodeIncarnation self;
    bool isMember = false;
    core::TimePoint leaseValidUntil {}; //!< until then no other node considers it gone
    core::TimePoint slotsValidUntil {}; //!< until then the node may use its shares of slots
    core::ConfigVersion activeConfig; //!< configuration in force here until `leaseValidUntil`; 0 for none
    core::ConfigVersion confirming; //!< newer configuration for which older ones must be drained; 0 for none
    std::map<core::PartitionId, PartitionRow> owned;
    std::set<core::PartitionId> slots; //!< shares that the node may use
};

//! Membership of a node in the cell, as a state machine on rows of the store.
//!
//! Safety rests on conditional writes and on two timing rules. A member measures its lease from before it sent the
//! renewal; other nodes measure it from after they read the row, plus a margin. Shares of slots move only when they are
//! released, when their holder is known to have ended and its last request must have ended too, or after a lease of
//! hours.
class Membership {
public:
    struct Options {
        core::NodeId node;
        core::HostPort address;
        core::FailureDomainId failureDomain;
        std::uint32_t partitionCount = 8; //!< used only by the first node that joins
        MembershipTimes times;
    };
    static std::unique_ptr<Membership> create(Options options);

    //! Returns the next request to the store, or nothing; at most one is in flight.
    std::optional<StoreRequest> next(core::TimePoint now);
    void onRefreshed(const services::RowsResult& result, core::TimePoint now);
    void onCommitted(const services::CommitResult& result, core::TimePoint now);
    //! Schedules a refresh as soon as possible, since a row has changed.
    void refreshSoon() { m_refreshAt = core::TimePoint(); }

    //! Called when all tasks of the node have stopped using configurations older than `version`.
    void onOlderConfigsDrained(core::ConfigVersion version);
    //! Called when the partition is quiescent and can be handed over. `isRecovered`: this owner has fenced all workers
    //! of the partition, so that its former owners need no longer be recorded.
    void onQuiescent(core::PartitionId partition, bool isRecovered);
    //! Called when no request uses the share any longer, so that it can be released.
    void onSlotsIdle(core::PartitionId partition);
    //! Called when the incarnation is known to have ended.
    void onConfirmedGone(const NodeIncarnation& identity, core::TimePoint now);
    //! Starts a planned stop: hands over all partitions and shares, then leaves the cell.
    void leave();

    MemberState memberState(core::TimePoint now) const;
    const CellView& view() const { return m_view; }
    //! Returns the owned partitions that are to be handed over to another node.
    std::set<core::PartitionId> handingOver() const;
    //! Returns the held shares of slots that are to be released.
    std::set<core::PartitionId> releasing() const;
    //! Returns the incarnations whose confirmed end would free slots or let this node drop a former owner.
    std::vector<NodeIncarnation> probeTargets() const;
    //! Returns whether no former owner of the partition can still communicate with its workers.
    bool areFormerOwnersGone(core::PartitionId partition) const;
    //! Returns the last known address of an incarnation that is or was a member.
    std::optional<core::HostPort> lastAddressOf(const NodeIncarnation& identity) const;
    //! Returns whether everything is handed over and the node's own row is removed.
    bool hasLeft() const { return m_hasLeft; }
    //! Returns whether the last request to the store failed other than by a conflict, or its rows could not be decoded.
    bool isStoreDown() const { return m_isStoreDown; }

private:
    explicit Membership(Options options);
    using Decision = std::optional<services::Transaction> (Membership::*)(core::TimePoint now);

    struct RowObservation {
        core::RowVersion row;
        core::TimePoint firstSeen;
    };

    std::optional<services::Transaction> join(core::TimePoint now);
    std::optional<services::Transaction> renew(core::TimePoint now);
    std::optional<services::Transaction> removeExpired(core::TimePoint now);
    std::optional<services::Transaction> activate(core::TimePoint now);
    std::optional<services::Transaction> acquirePartitions(core::TimePoint now);
    std::optional<services::Transaction> handOver(core::TimePoint now);
    std::optional<services::Transaction> moveSlots(core::TimePoint now);
    std::optional<services::Transaction> removeOwnRow(core::TimePoint now);

    services::Transaction begin() const;
    services::Transaction beginAsMember() const;
    std::string encodeOwnRow();
    void applyView(CellView view, core::TimePoint now);
    void checkOwnRow();
    void onRenewed(core::RowVersion row, core::TimePoint sentAt);
    void removeCompletedReleases();
    void updateObservations(core::TimePoint now);
    void resetToNonMember();
    bool isLive(const NodeIncarnation& identity) const;
    void updateAssignment();
    std::vector<NodeIncarnation> remainingFormerOwners(const PartitionRow& row) const;
    bool maySlotsMove(const SlotsRow& slots, core::TimePoint now) const;

    Options m_options;
    NodeIncarnation m_self;
    CellView m_view;
    bool m_hasView = false;
    bool m_isInFlight = false;
    bool m_isLeaving = false;
    bool m_isRemovingOwnRow = false; //!< the removal of the node's own row has been sent
    bool m_hasLeft = false;
    bool m_isStoreDown = false;
    bool m_isMember = false;
    core::RowVersion m_ownRow;
    core::ConfigVersion m_confirmedConfig; //!< written to the node's own row or about to be written
    core::ConfigVersion m_drainedConfig; //!< all tasks have stopped using older configurations
    core::TimePoint m_sentAt {}; //!< send time of the request in flight
    std::map<core::WriteId, core::TimePoint>
        m_unresolvedRenewals; //!< renewals with unknown outcome and their send times
    core::WriteId m_renewalInFlight; //!< empty if no renewal is in flight
    Member m_sentMember; //!< the node's own row as last sent
    core::TimePoint m_renewedAt {};
    core::TimePoint m_renewAt {};
    core::TimePoint m_refreshAt {};
    core::TimePoint m_refreshedAt {}; //!< time of the last successful refresh
    std::map<core::PartitionId, core::NodeId> m_assignment; //!< intended owners, computed from the members in `m_view`
    std::map<core::NodeId, RowObservation> m_observations;
    std::map<NodeIncarnation, core::TimePoint> m_goneSince;
    std::map<NodeIncarnation, core::TimePoint> m_missingSince;
    std::map<NodeIncarnation, core::HostPort> m_addresses;
    std::map<core::PartitionId, bool> m_quiescent; //!< of the partitions that are being handed over
    std::map<core::PartitionId, core::Epoch> m_handedOver; //!< hand-over has been sent; the rows do not show it yet
    std::set<core::PartitionId> m_idleSlots; //!< of the shares that are being released
    std::set<core::PartitionId> m_releasedSlots; //!< release has been sent; the rows do not show it yet
};

using MembershipPtr = std::unique_ptr<Membership>;

} // namespace sardinerun::membership

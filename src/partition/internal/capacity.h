#pragma once

#include "partition/internal/workerlink.h"
#include "partition/partitiontypes.h"
#include "placement/ledger.h"

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace sardinerun::partition {

//! The capacity side of a partition: the only allocator of the room of the partition's workers.
class Capacity {
public:
    Capacity(core::PartitionId id, core::Epoch epoch, std::uint32_t partitionCount, const PartitionTimes& times);

    void setPolicy(const Policy& policy);
    //! Sets the workers of this partition in the platform's list, both live and leaving.
    void setWorkers(const std::vector<services::VmInfo>& workers, EventTime at);
    //! Sets the epochs of home partitions as of the takeover or later. Messages of older owners are ignored from now
    //! on.
    void setHomeEpochs(const std::map<core::PartitionId, core::Epoch>& epochs);
    //! Called when the former owner has certainly ended.
    void setFormerOwnerGone(core::TimePoint now)
    {
        if (!m_formerOwnerGoneAt)
            m_formerOwnerGoneAt = now;
    }
    //! Sets the time until which no other node can have taken the partition over.
    void setMembershipCertainUntil(core::TimePoint time) { m_membershipCertainUntil = time; }

    void onPlace(const protocol::PlaceTasks& message, EventTime at, Effects& effects);
    void onCommit(const protocol::CommitReservation& message, EventTime at, Effects& effects);
    void onRelease(const protocol::ReleaseReservation& message);
    void onEndsPersisted(const protocol::EndsPersisted& message, core::TimePoint now);
    void onStop(const protocol::StopJobs& message, EventTime at, Effects& effects);
    void onRequestInventory(const protocol::RequestInventory& message, Effects& effects);
    void onSyncResult(const core::VmId& worker, const services::SyncResult& result, EventTime at, Effects& effects);
    //! Sends pending orders. To be called after each batch of messages.
    void flush(EventTime at, Effects& effects);
    //! Handles heartbeats, expired leases and resends. To be called every few tens of milliseconds.
    void tick(EventTime at, Effects& effects);

    const placement::Ledger& ledger() const { return m_ledger; }
    //! Returns whether every worker is fenced, so that all attempts of earlier owners are known.
    bool isRecovered() const { return m_isRecovered; }
    std::size_t readyWorkers() const;
    std::size_t quarantinedWorkers(core::TimePoint now) const { return m_health.quarantinedCount(now); }
    std::size_t runningAttempts() const { return m_attempts.size(); }
    bool isOwnershipLost() const { return m_isOwnershipLost; }
    const Counters& counters() const { return m_counters; }

private:
    struct Attempt {
        core::VmId worker;
        std::string workload;
        core::Resources declared;
        jobs::JobKind kind = jobs::JobKind::Batch;
        jobs::Urgency urgency = jobs::Urgency::Normal;
        bool isPreemptible = false;
        core::TimePoint startedAt;
        core::TimePoint usageReportedAt;
    };
    struct PendingEnd {
        protocol::AttemptEnded message;
        core::VmId worker;
        core::TimePoint nextSend;
    };
    struct ReservedTask {
        protocol::TaskAttempt task;
        core::VmId worker;
    };
    struct Reservation {
        jobs::JobSpec spec;
        std::vector<ReservedTask> tasks;
        core::TimePoint expiresAt;
    };
    using ReservationKey = std::pair<core::PartitionId, protocol::PlacementId>;

    bool isStale(const protocol::HomeEpoch& from);
    std::optional<core::VmId> allocateRoom(const jobs::JobSpec& spec, const core::AttemptId& id, core::TimePoint now);
    void startAttempt(const jobs::JobSpec& spec, const core::AttemptId& id, const core::VmId& worker, EventTime at);
    void preemptFor(const placement::Need& need, EventTime at, Effects& effects);
    void reserve(const protocol::PlaceTasks& message, protocol::PlaceAnswer& answer, EventTime at);
    void releaseReservation(const Reservation& reservation);
    core::AttemptId attemptOf(const jobs::JobSpec& spec, const protocol::TaskAttempt& task) const;
    bool isKnown(const core::AttemptId& id) const;
    void stopAttempt(const core::AttemptId& id, EventTime at, Effects& effects);
    void endAttempt(
        const core::AttemptId& id, services::AttemptState state, bool isLost, EventTime at, Effects& effects);
    void adopt(const services::AttemptReport& report, const core::VmId& worker, EventTime at);
    void applyReport(const services::AttemptReport& report, const core::VmId& worker, EventTime at, Effects& effects);
    void recordUsage(const services::AttemptReport& report, Attempt& attempt, EventTime at);
    void preemptOnMemoryPressure(
        const core::VmId& worker, const std::vector<services::AttemptReport>& reports, EventTime at, Effects& effects);
    void recordHealth(const core::AttemptId& id, const Attempt& attempt, services::AttemptState state, EventTime at);
    void endAttemptsOfLostWorker(const core::VmId& worker, EventTime at, Effects& effects);
    void pollWorkers(EventTime at, Effects& effects);
    void updateAvailability(const core::VmId& worker, core::TimePoint now);
    void stopServices(const core::VmId& worker, EventTime at, Effects& effects);
    void updateRecovery(Effects& effects);
    protocol::Inventory inventoryFor(protocol::HomeEpoch home) const;
    void resendEnds(EventTime at, Effects& effects);
    void releaseExpiredReservations(core::TimePoint now);
    void removeExpiredTombstones(core::TimePoint now);
    void updateSpread(const core::JobId& job, const core::VmId& worker, int change);

    core::PartitionId m_id;
    core::Epoch m_epoch;
    std::uint32_t m_partitionCount;
    const PartitionTimes& m_times;
    Policy m_policy;
    placement::Ledger m_ledger;
    placement::UsageEstimator m_usage;
    placement::HealthTracker m_health;
    std::map<core::VmId, std::unique_ptr<WorkerLink>> m_links;
    std::map<core::VmId, services::VmState> m_workerStates;
    std::unordered_map<core::AttemptId, Attempt> m_attempts;
    std::map<core::AttemptId, PendingEnd> m_pendingEnds;
    std::set<core::AttemptId> m_tombstones; //!< attempts whose end the home has persisted, to detect late duplicates
    std::deque<std::pair<core::TimePoint, core::AttemptId>> m_tombstoneExpiries;
    std::set<core::VmId> m_workersWithOrders; //!< their next exchange does not wait for the heartbeat
    std::map<core::JobId, placement::Spread> m_spread; //!< of the tasks of services
    std::map<ReservationKey, Reservation> m_reservations;
    std::map<core::PartitionId, core::Epoch> m_homeEpochs;
    std::vector<protocol::HomeEpoch> m_inventoryRequesters; //!< answered after recovery
    std::optional<core::TimePoint> m_formerOwnerGoneAt;
    core::TimePoint m_nextPollAt {};
    core::TimePoint m_membershipCertainUntil = core::TimePoint::max();
    bool m_hasWorkerList = false;
    bool m_isRecovered = false;
    bool m_isOwnershipLost = false;
    Counters m_counters;
};

} // namespace sardinerun::partition

#pragma once

#include "partition/internal/workerlink.h"
#include "partition/partitiontypes.h"
#include "placement/ledger.h"

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace sardinerun::partition {

//! The capacity side of a partition: the one decider about its workers' room.
class Capacity {
public:
    Capacity(core::PartitionId id, core::Epoch epoch, std::uint32_t partitionCount, const PartitionTimes& times);

    void setPolicy(const Policy& policy);
    //! Workers of this partition by the platform's list, live and leaving.
    void setWorkers(const std::vector<services::VmInfo>& workers, EventTime at);
    //! Owners of home partitions as of the takeover or later; older ones are ignored from now on.
    void setHomeEpochs(const std::map<core::PartitionId, core::Epoch>& epochs);
    //! The former owner has certainly ended.
    void setFormerOwnerGone(core::TimePoint now) { m_formerGoneAt = now; }
    //! Whether the own membership is certain at this moment.
    void setCertain(bool isCertain) { m_isCertain = isCertain; }

    void onPlace(const protocol::PlaceTasks& message, EventTime at, Effects& effects);
    void onCommit(const protocol::CommitReservation& message, EventTime at, Effects& effects);
    void onRelease(const protocol::ReleaseReservation& message);
    void onEndsPersisted(const protocol::EndsPersisted& message, core::TimePoint now);
    void onStop(const protocol::StopJobs& message, EventTime at, Effects& effects);
    void onRequestInventory(const protocol::RequestInventory& message, Effects& effects);
    void onWorker(const core::VmId& worker, const services::SyncResult& result, EventTime at, Effects& effects);
    //! Sends orders that have come up; call it after each batch of messages.
    void flush(EventTime at, Effects& effects);
    //! Heartbeats, lapses and resends; call it every few tens of milliseconds.
    void tick(EventTime at, Effects& effects);

    const placement::Ledger& ledger() const { return m_ledger; }
    //! True when every worker is fenced: all attempts of earlier owners are known.
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
    struct End {
        protocol::AttemptEnded message;
        core::VmId worker;
        core::TimePoint nextSend;
    };
    struct HeldTask {
        protocol::TaskAttempt task;
        core::VmId worker;
    };
    struct Hold {
        jobs::JobSpec spec;
        std::vector<HeldTask> tasks;
        core::TimePoint until;
    };
    using HoldKey = std::pair<core::PartitionId, protocol::PlacementId>;

    bool isStale(const protocol::HomeEpoch& from);
    std::optional<core::VmId> takeRoom(const jobs::JobSpec& spec, const core::AttemptId& id, core::TimePoint now);
    void startAttempt(const jobs::JobSpec& spec, const core::AttemptId& id, const core::VmId& worker, EventTime at);
    void preemptFor(const placement::Need& need, EventTime at, Effects& effects);
    void hold(const protocol::PlaceTasks& message, protocol::PlaceAnswer& answer, EventTime at);
    void dropHold(const Hold& hold);
    core::AttemptId attemptOf(const jobs::JobSpec& spec, const protocol::TaskAttempt& task) const;
    bool isKnown(const core::AttemptId& id) const;
    void stopAttempt(const core::AttemptId& id, EventTime at, Effects& effects);
    void endAttempt(
        const core::AttemptId& id, services::AttemptState state, bool isLost, EventTime at, Effects& effects);
    void adopt(const services::AttemptReport& report, const core::VmId& worker, EventTime at);
    void takeReport(const services::AttemptReport& report, const core::VmId& worker, EventTime at, Effects& effects);
    void learnUsage(const services::AttemptReport& report, Attempt& attempt, EventTime at);
    void relieve(
        const core::VmId& worker, const std::vector<services::AttemptReport>& reports, EventTime at, Effects& effects);
    void judge(const core::AttemptId& id, const Attempt& attempt, services::AttemptState state, EventTime at);
    void loseWorker(const core::VmId& worker, EventTime at, Effects& effects);
    void visitWorkers(EventTime at, Effects& effects);
    void openOrClose(const core::VmId& worker, core::TimePoint now);
    void moveServices(const core::VmId& worker, EventTime at, Effects& effects);
    void noteRecovery(Effects& effects);
    protocol::Inventory inventoryFor(protocol::HomeEpoch home) const;
    void sendEnds(EventTime at, Effects& effects);
    void dropOldHolds(core::TimePoint now);
    void forgetTombstones(core::TimePoint now);
    void countSpread(const core::JobId& job, const core::VmId& worker, int change);

    core::PartitionId m_id;
    core::Epoch m_epoch;
    std::uint32_t m_partitionCount;
    const PartitionTimes& m_times;
    Policy m_policy;
    placement::Ledger m_ledger;
    placement::UsageEstimator m_usage;
    placement::HealthTracker m_health;
    std::map<core::VmId, std::unique_ptr<WorkerLink>> m_links;
    std::map<core::VmId, services::VmState> m_states;
    std::unordered_map<core::AttemptId, Attempt> m_attempts;
    std::map<core::AttemptId, End> m_ends;
    std::set<core::AttemptId> m_tombstones; //!< ends that the home keeps; late duplicates meet them
    std::deque<std::pair<core::TimePoint, core::AttemptId>> m_tombstoneTimes;
    std::set<core::VmId> m_withOrders; //!< workers whose next exchange should not wait for the heartbeat
    std::map<core::JobId, placement::Spread> m_spread; //!< of services
    std::map<HoldKey, Hold> m_holds;
    std::map<core::PartitionId, core::Epoch> m_homeEpochs;
    std::vector<protocol::HomeEpoch> m_askedInventory; //!< answered when recovered
    std::optional<core::TimePoint> m_formerGoneAt;
    core::TimePoint m_visitAt {};
    bool m_hasWorkerList = false;
    bool m_isRecovered = false;
    bool m_isOwnershipLost = false;
    bool m_isCertain = true;
    Counters m_counters;
};

} // namespace sardinerun::partition

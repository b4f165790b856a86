#pragma once

#include "acceptance/grouplog.h"
#include "admission/admissioncontrol.h"
#include "partition/internal/gang.h"
#include "partition/internal/job.h"
#include "partition/partitiontypes.h"

#include <deque>
#include <map>

namespace sardinerun::partition {

//! State of the workers and partitions on which the home bases its decisions.
struct FleetView {
    std::vector<admission::WorkerShape> shapes; //!< of all live workers in the platform's list
    jobs::ByUrgency<double> shares {}; //!< share of this partition's workers that each class uses
    core::Resources homeCapacity; //!< total capacity of this partition's workers
    std::map<core::PartitionId, core::Epoch> owners; //!< newest known owner of each partition
};

//! The home side of a partition: persists the records of its jobs and follows each task to its end.
//!
//! A task has at most one live attempt. The next one starts only when the previous one is known to have ended, or when
//! all partitions have sent their inventories and none lists it.
class Home {
public:
    Home(core::PartitionId id, core::Epoch epoch, std::uint32_t partitionCount, const PartitionTimes& times,
        acceptance::GroupLog& log);

    void setPolicy(const Policy& policy);
    void setFleet(FleetView fleet);
    //! Sets the time until which no other node can have taken the partition over. After it no job is denied: a later
    //! owner may have accepted it.
    void setMembershipCertainUntil(core::TimePoint time) { m_membershipCertainUntil = time; }

    //! Restores the records of earlier owners and requests the inventories of all partitions.
    void recover(std::vector<jobs::JobSnapshot> snapshots, EventTime at, Effects& effects);

    void onSubmit(const protocol::SubmitJob& message, EventTime at, Effects& effects);
    void onCancel(const protocol::CancelJobs& message, EventTime at, Effects& effects);
    void onRead(const protocol::ReadJobs& message, EventTime at, Effects& effects) const;
    void onPlaceAnswer(const protocol::PlaceAnswer& message, EventTime at, Effects& effects);
    void onCommitAnswer(const protocol::CommitAnswer& message, EventTime at, Effects& effects);
    void onAttemptEnded(const protocol::AttemptEnded& message, EventTime at, Effects& effects);
    void onInventory(const protocol::Inventory& message, EventTime at, Effects& effects);
    void onHint(const protocol::RoomHint& message, core::TimePoint now);

    void onPersisted(const core::JobId& job, acceptance::Revision revision, EventTime at, Effects& effects);
    void onNotPersisted(const core::JobId& job, Effects& effects);

    //! Runs a scheduling round: places waiting jobs as far as there is room.
    void placeWaiting(EventTime at, Effects& effects);
    void tick(EventTime at, Effects& effects);
    //! Called when room was freed on this partition's workers.
    void onRoomFreed() { m_isRoomFreed = true; }
    //! Called when a reservation was released unused. Its room counts as freed from the next tick on; otherwise waiting
    //! gangs would reserve and release it alternately at the rate of message delivery.
    void onReservationReleased() { m_isReservationReleased = true; }

    std::size_t queued(jobs::Urgency urgency) const { return m_queue.sizeOf(urgency); }
    core::Duration oldestWait(jobs::Urgency urgency, core::TimePoint now) const
    {
        return m_queue.oldestWait(urgency, now);
    }
    std::size_t jobCount() const { return m_jobs.size(); }
    bool isRecovered() const { return m_awaitedInventories.empty(); }
    const Counters& counters() const { return m_counters; }

    static acceptance::ItemId itemOf(const core::JobId& job);

private:
    //! A placement request that has no answer yet.
    struct PendingPlacement {
        protocol::PlaceTasks message;
        std::optional<acceptance::Revision> awaitedRevision; //!< must be persisted before the request is sent
        core::TimePoint sentAt;
    };
    //! A message that is sent once a record is persisted.
    struct SendOnPersisted {
        acceptance::Revision revision;
        SendMessage send;
    };
    struct Hint {
        protocol::RoomHint message;
        core::TimePoint at;
    };

    //! Appends the job's record to the log. Messages passed to `sendAfterPersisted` until the next call wait for it.
    acceptance::Revision persist(const Job& job, bool mayBeDropped);
    void sendAfterPersisted(const core::JobId& job, SendMessage send, Effects& effects);
    void sendEndPersisted(const core::JobId& job, const protocol::AttemptEnded& message, Effects& effects);

    void answerDuplicate(const protocol::SubmitJob& message, Job& job, Effects& effects);
    std::optional<admission::Refusal> refusalOf(const jobs::JobSpec& spec, EventTime at) const;
    //! Returns the share of the home partition that a class uses or could use now.
    double reachableShare(jobs::Urgency urgency) const;
    void answerSubmit(const protocol::Requester& requester, const protocol::SubmitAnswer& answer, Effects& effects);

    void enqueue(const Job& job);
    void place(Job& job, EventTime at, Effects& effects);
    void sendPlace(Job& job, core::PartitionId target, EventTime at, Effects& effects);
    std::optional<core::PartitionId> targetFor(const Job& job, core::TimePoint now) const;
    bool hasHintedRoom(core::PartitionId partition, const core::Resources& need, core::TimePoint now) const;
    //! Defers the job after a lack of room. The delay grows with each consecutive deferral.
    void defer(Job& job, core::TimePoint now);
    //! Pauses the job after a fault of one of its tasks. The delay grows with each fault.
    void pause(Job& job, std::uint32_t faults, core::TimePoint now);
    void recordRefusal(jobs::Urgency urgency, core::TimePoint now);
    void recordPlaced(Job& job, EventTime at);
    admission::PickContext pickContext(core::TimePoint now) const;
    core::Epoch ownerOf(core::PartitionId partition) const;
    protocol::HomeEpoch homeEpoch() const { return { m_id, m_epoch }; }
    core::AttemptNumber newAttempt(TaskRecord& task) const;
    bool isStaleCapacity(core::PartitionId from, core::Epoch epoch);

    void changeState(Job& job, core::TaskIndex task, jobs::TaskState state);
    jobs::TaskState stateAfter(Job& job, TaskRecord& task, const protocol::AttemptEnded& message) const;
    void applyEnd(Job& job, const protocol::AttemptEnded& message, EventTime at, Effects& effects);
    void endLostAttempt(Job& job, core::TaskIndex task, EventTime at, Effects& effects);
    void onTasksChanged(Job& job, EventTime at, Effects& effects);
    bool cancelJob(
        Job& job, std::map<core::PartitionId, std::vector<core::JobId>>& stops, EventTime at, Effects& effects);
    bool adopt(const core::AttemptId& id, core::PartitionId partition);
    void endMissingAttempts(const protocol::Inventory& message, EventTime at, Effects& effects);
    void finishRecovery(EventTime at, Effects& effects);
    void requestInventories(Effects& effects) const;
    void removeExpiredJobs(EventTime at);
    void resend(EventTime at, Effects& effects);

    void beginGang(Job& job, EventTime at, Effects& effects);
    void applyGangActions(Job& job, const GangActions& actions, EventTime at, Effects& effects);
    void sendGangRequest(const Job& job, const GangRequest& request, bool isResend, Effects& effects) const;
    //! Requests the stop of all attempts of a job. The request is resent until they have ended.
    void stopJob(const Job& job, Effects& effects);

    core::PartitionId m_id;
    core::Epoch m_epoch;
    std::uint32_t m_partitionCount;
    const PartitionTimes& m_times;
    acceptance::GroupLog& m_log;
    Policy m_policy;
    FleetView m_fleet;
    admission::AdmissionControl m_admissionControl { admission::QueueLimits {} };
    admission::WorkQueue m_queue;
    admission::RunTimeEstimator m_runTimes;
    std::map<core::JobId, Job> m_jobs;
    std::map<core::JobId, Gang> m_gangs;
    std::set<core::JobId> m_stopping;
    std::map<protocol::PlacementId, PendingPlacement> m_pendingPlacements;
    std::map<core::JobId, std::vector<SendOnPersisted>> m_sendsOnPersisted;
    std::map<core::JobId, acceptance::Revision> m_unpersisted; //!< newest records that are not yet in the table
    std::map<core::JobId, std::vector<protocol::Requester>> m_submitters;
    std::map<core::PartitionId, Hint> m_hints;
    std::map<core::PartitionId, core::Epoch> m_capacityEpochs; //!< answers from older owners are ignored
    std::set<core::PartitionId> m_awaitedInventories;
    std::map<core::TeamId, core::Resources> m_teamRunning;
    std::deque<std::pair<core::TimePoint, core::JobId>> m_endedJobs;
    jobs::ByUrgency<core::Resources> m_waitingResources;
    std::uint64_t m_lastPlacement = 0;
    core::TimePoint m_nextResend {};
    jobs::ByUrgency<int> m_refusalsInRow {};
    jobs::ByUrgency<core::TimePoint> m_blockedUntil {};
    bool m_isRoomFreed = false;
    bool m_isReservationReleased = false;
    std::uint64_t m_roomGeneration = 0; //!< grows when room is freed here; a refusal counts in its generation only
    core::TimePoint m_membershipCertainUntil = core::TimePoint::max();
    Counters m_counters;
};

} // namespace sardinerun::partition

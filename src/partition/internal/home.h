#pragma once

#include "acceptance/grouplog.h"
#include "admission/admissioncontrol.h"
#include "partition/internal/allatonce.h"
#include "partition/internal/job.h"
#include "partition/partitiontypes.h"

#include <deque>
#include <map>

namespace sardinerun::partition {

//! Part of the fleet's state that the home's decisions need.
struct FleetView {
    std::vector<admission::WorkerShape> shapes; //!< all workers of the platform's list
    jobs::ByUrgency<double> shares {}; //!< of the own workers, by class
    core::Resources ownRoom; //!< total of the own workers
    std::map<core::PartitionId, core::Epoch> owners; //!< newest known owner of each partition
};

//! The home side of a partition: keeps the records of its jobs and sees each task through to its end.
//!
//! A task has at most one live attempt. The next one starts only when the former one is known to be over, or when
//! no partition knows of it after all have been asked.
class Home {
public:
    Home(core::PartitionId id, core::Epoch epoch, std::uint32_t partitionCount, const PartitionTimes& times,
        acceptance::GroupLog& log);

    void setPolicy(const Policy& policy);
    void setFleet(FleetView fleet);

    //! Takes over the records of earlier owners and asks all partitions what they know.
    void recover(std::vector<jobs::JobSnapshot> snapshots, EventTime at, Effects& effects);

    void onSubmit(const protocol::SubmitJob& message, EventTime at, Effects& effects);
    void onCancel(const protocol::CancelJobs& message, EventTime at, Effects& effects);
    void onRead(const protocol::ReadJobs& message, Effects& effects) const;
    void onPlaceAnswer(const protocol::PlaceAnswer& message, EventTime at, Effects& effects);
    void onCommitAnswer(const protocol::CommitAnswer& message, EventTime at, Effects& effects);
    void onAttemptEnded(const protocol::AttemptEnded& message, EventTime at, Effects& effects);
    void onInventory(const protocol::Inventory& message, EventTime at, Effects& effects);
    void onHint(const protocol::RoomHint& message, core::TimePoint now);

    void onKept(const core::JobId& job, acceptance::Revision revision, EventTime at, Effects& effects);
    void onRefused(const core::JobId& job, Effects& effects);

    //! Places what waits, as far as there is room.
    void pump(EventTime at, Effects& effects);
    void tick(EventTime at, Effects& effects);
    //! Room was freed in the own workers.
    void onRoomFreed() { m_isRoomFreed = true; }
    //! Room that was held and not used counts from the next tick on, or those who wait for it would take and give it
    //! back by turns, as fast as messages go.
    void onHoldReleased() { m_isHoldReleased = true; }

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
    //! A request for room that has no answer yet.
    struct Outstanding {
        protocol::PlaceTasks message;
        std::optional<acceptance::Revision> awaits; //!< record that must be kept before it is sent
        core::TimePoint sentAt;
    };
    //! What is sent once a record is kept.
    struct AfterKept {
        acceptance::Revision revision;
        SendMessage send;
    };
    struct Hint {
        protocol::RoomHint message;
        core::TimePoint at;
    };

    //! Appends the job's record; what `sendAfterKept` adds until the next call waits for it.
    acceptance::Revision keep(const Job& job, bool isRefusable);
    void sendAfterKept(const core::JobId& job, SendMessage send, Effects& effects);
    void sendEndKept(const core::JobId& job, const protocol::AttemptEnded& message, Effects& effects);

    void answerKnown(const protocol::SubmitJob& message, Job& job, Effects& effects);
    std::optional<admission::Refusal> refusalOf(const jobs::JobSpec& spec, EventTime at) const;
    //! Part of the home partition that a class has, or could have now.
    double reachableShare(jobs::Urgency urgency) const;
    void answerSubmit(const protocol::Requester& requester, const protocol::SubmitAnswer& answer, Effects& effects);

    void enqueue(const Job& job);
    void place(Job& job, EventTime at, Effects& effects);
    void sendPlace(Job& job, core::PartitionId target, EventTime at, Effects& effects);
    std::optional<core::PartitionId> targetFor(const Job& job, core::TimePoint now) const;
    bool hasHintedRoom(core::PartitionId partition, const core::Resources& need, core::TimePoint now) const;
    //! Sets the job aside for want of room, longer each time in a row.
    void defer(Job& job, core::TimePoint now);
    //! Sets the job aside after a fault of one of its tasks, longer with each fault.
    void pause(Job& job, std::uint32_t faults, core::TimePoint now);
    void noteRefusal(jobs::Urgency urgency, core::TimePoint now);
    void notePlaced(Job& job, EventTime at);
    admission::PickContext shareView(core::TimePoint now) const;
    core::Epoch ownerOf(core::PartitionId partition) const;
    protocol::HomeEpoch stamp() const { return { m_id, m_epoch }; }
    core::AttemptNumber newAttempt(TaskRecord& task) const;
    bool isStaleCapacity(core::PartitionId from, core::Epoch epoch);

    void changeState(Job& job, core::TaskIndex task, jobs::TaskState state);
    jobs::TaskState stateAfter(Job& job, TaskRecord& task, const protocol::AttemptEnded& message) const;
    void applyEnd(Job& job, const protocol::AttemptEnded& message, EventTime at, Effects& effects);
    void loseAttempt(Job& job, core::TaskIndex task, EventTime at, Effects& effects);
    void afterChange(Job& job, EventTime at, Effects& effects);
    bool cancelJob(
        Job& job, std::map<core::PartitionId, std::vector<core::JobId>>& stops, EventTime at, Effects& effects);
    bool adopt(const core::AttemptId& id, core::PartitionId where);
    void loseMissing(const protocol::Inventory& message, EventTime at, Effects& effects);
    void finishRecovery(EventTime at, Effects& effects);
    void askInventories(Effects& effects) const;
    void forgetOld(EventTime at);
    void resend(EventTime at, Effects& effects);

    void beginAllAtOnce(Job& job, EventTime at, Effects& effects);
    void applyStep(Job& job, const AllAtOnceStep& step, EventTime at, Effects& effects);
    void sendRequest(const Job& job, const AllAtOnceRequest& request, bool isResend, Effects& effects) const;
    //! Asks for the end of all attempts of a job, again and again until they have ended.
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
    std::map<core::JobId, Gang> m_allAtOnce;
    std::set<core::JobId> m_stopping;
    std::map<protocol::PlacementId, Outstanding> m_outstanding;
    std::map<core::JobId, std::vector<AfterKept>> m_afterKept;
    std::map<core::JobId, acceptance::Revision> m_unkept; //!< newest record of a job that is not yet in the table
    std::map<core::JobId, std::vector<protocol::Requester>> m_submitters;
    std::map<core::PartitionId, Hint> m_hints;
    std::map<core::PartitionId, core::Epoch> m_capacityEpochs; //!< answers of older owners are ignored
    std::set<core::PartitionId> m_awaitedInventories;
    std::map<core::TeamId, core::Resources> m_teamRunning;
    std::deque<std::pair<core::TimePoint, core::JobId>> m_endedJobs;
    jobs::ByUrgency<core::Resources> m_waitingResources;
    std::uint64_t m_lastPlacement = 0;
    core::TimePoint m_nextResend {};
    jobs::ByUrgency<int> m_refusalsInRow {};
    jobs::ByUrgency<core::TimePoint> m_blockedUntil {};
    bool m_isRoomFreed = false;
    bool m_isHoldReleased = false;
    std::uint64_t m_roomRound = 0; //!< grows when room is freed here; a refusal for room counts for its round only
    Counters m_counters;
};

} // namespace sardinerun::partition

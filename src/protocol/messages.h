#pragma once

#include "admission/admissiontypes.h"
#include "core/types.h"
#include "jobs/jobtypes.h"
#include "once/claimtypes.h"
#include "services/servicestypes.h"

#include <optional>
#include <variant>
#include <vector>

//! The inner protocol: the messages between nodes.
//!
//! Each message is one-way and addressed to a partition (that is, to the node that currently owns it) or to a node.
//! Links deliver messages in order and at most once while both ends run; a message that must arrive is resent by its
//! sender. The home partition of a job has the job's record; a capacity partition has the worker.
namespace sardinerun::protocol {

//! Matches an answer with its request. Assigned by the requesting node and unique within an incarnation.
using Token = core::Strong<struct TokenTag, std::uint64_t>;
//! Identifies one placement request. Assigned by the home partition and unique within an epoch.
using PlacementId = core::Strong<struct PlacementTag, std::uint64_t>;

//! Identifies the owner of a home partition that sent a message. A capacity partition ignores messages of owners older
//! than the newest that it has seen.
struct HomeEpoch {
    core::PartitionId partition;
    core::Epoch epoch;
    auto operator<=>(const HomeEpoch&) const = default;
};

//! The origin of a request, to which the answer is sent.
struct Requester {
    core::NodeId node;
    core::Incarnation incarnation;
    Token token;
};

enum class SubmitOutcome {
    Accepted,
    Refused, //!< the job will not run
    Conflict, //!< the id belongs to another job
    Unknown //!< the job may have been persisted
};

struct SubmitJob {
    Requester requester;
    jobs::JobSpec spec;
};

struct SubmitAnswer {
    Token token;
    SubmitOutcome outcome = SubmitOutcome::Unknown;
    core::JobId job;
    admission::Refusal refusal;
};

//! Cancels jobs of a home partition: the listed ones, or all jobs of a team's workload.
struct CancelJobs {
    Requester requester;
    core::TeamId team;
    std::vector<core::JobId> jobs;
    std::string workload; //!< empty: only the listed jobs
};

struct CancelAnswer {
    Token token;
    std::uint32_t cancelled = 0; //!< number of jobs that had not ended and will not run any further
};

struct ReadJobs {
    Requester requester;
    core::TeamId team; //!< empty: all teams
    core::JobId job; //!< empty: a page of jobs
    core::JobId after; //!< the page starts after this id
    std::uint32_t limit = 0;
};

struct JobsAnswer {
    Token token;
    std::vector<jobs::JobStatus> jobs;
};

struct TaskAttempt {
    core::TaskIndex task;
    core::AttemptNumber attempt;
    auto operator<=>(const TaskAttempt&) const = default;
};

enum class PlaceMode {
    StartNow,
    ReserveAll, //!< reserve room for all tasks or for none
    ReserveSome //!< reserve room for as many tasks as fit
};

//! Request of a home partition to a capacity partition to start tasks or to reserve room for them.
struct PlaceTasks {
    HomeEpoch from;
    core::PartitionId to;
    core::Epoch toEpoch; //!< the addressed owner; a later owner ignores the message unless isResend is set
    PlacementId id;
    PlaceMode mode = PlaceMode::StartNow;
    bool isResend = false; //!< an earlier owner may have accepted the request
    jobs::JobSpec spec;
    std::vector<TaskAttempt> tasks;
};

struct PlaceAnswer {
    core::PartitionId from;
    core::Epoch fromEpoch;
    HomeEpoch to;
    PlacementId id;
    core::JobId job;
    std::vector<TaskAttempt> accepted; //!< tasks started or reserved; the others will not be started
};

//! Starts tasks of a home partition for which room is reserved.
struct CommitReservation {
    HomeEpoch from;
    core::PartitionId to;
    PlacementId id;
    core::JobId job;
    std::vector<TaskAttempt> tasks;
};

struct CommitAnswer {
    core::PartitionId from;
    core::Epoch fromEpoch;
    HomeEpoch to;
    PlacementId id;
    core::JobId job;
    bool isStarted = false; //!< false: the reservation no longer existed and nothing was started
};

//! Releases the room reserved by a placement request.
struct ReleaseReservation {
    HomeEpoch from;
    core::PartitionId to;
    PlacementId id;
};

//! Reports the end of an attempt. Resent until the home partition confirms that it has persisted the end.
struct AttemptEnded {
    core::PartitionId from;
    core::PartitionId home;
    core::AttemptId id;
    services::AttemptState state = services::AttemptState::Failed;
    bool isLost = false; //!< the worker is gone: the attempt may have run, but does not run any more
    core::Duration elapsed {}; //!< since the start of the attempt
};

//! Confirms that the home partition has persisted the ends of attempts.
struct EndsPersisted {
    HomeEpoch from;
    core::PartitionId to;
    std::vector<core::AttemptId> attempts;
};

//! Stops all attempts of the listed jobs. One message covers many jobs, so that mass cancellations stay cheap.
struct StopJobs {
    HomeEpoch from;
    core::PartitionId to;
    std::vector<core::JobId> jobs;
};

//! Requests the attempts that a capacity partition has for jobs of a home partition, after either of them got a new
//! owner. From then on the capacity partition ignores former owners of the home partition.
struct RequestInventory {
    HomeEpoch from;
    core::PartitionId to;
};

//! All attempts that a capacity partition has for jobs of a home partition.
struct Inventory {
    core::PartitionId from;
    core::Epoch fromEpoch;
    HomeEpoch to;
    std::vector<core::AttemptId> attempts;
};

//! Free capacity of a partition, as a hint for which partition to send placement requests to.
struct RoomHint {
    core::PartitionId from;
    core::Epoch fromEpoch;
    core::Resources room;
    core::Resources largest; //!< free capacity of the worker with the most room
};

//! Claims the right to run a request once.
struct ClaimOnce {
    Requester requester;
    core::PartitionId to;
    once::RequestKey key;
    once::ClaimId claim;
    std::uint64_t fingerprint = 0;
};

struct ClaimAnswer {
    Token token;
    once::ClaimResult result = once::ClaimResult::NotPersisted;
    once::StoredAnswer answer;
};

//! Reports how a granted claim ended. Resent until FinishAnswer arrives, once the end is persisted.
struct FinishOnce {
    Requester requester;
    core::PartitionId to;
    once::RequestKey key;
    once::ClaimId claim;
    bool isAbandoned = false; //!< the request certainly did not run
    once::StoredAnswer answer;
};

struct FinishAnswer {
    Token token;
};

//! Notifies a node that the cell's rows have changed and should be read now.
struct RefreshNow { };

using Message = std::variant<SubmitJob, SubmitAnswer, CancelJobs, CancelAnswer, ReadJobs, JobsAnswer, PlaceTasks,
    PlaceAnswer, CommitReservation, CommitAnswer, ReleaseReservation, AttemptEnded, EndsPersisted, StopJobs,
    RequestInventory, Inventory, RoomHint, ClaimOnce, ClaimAnswer, FinishOnce, FinishAnswer, RefreshNow>;

//! The partition or node to which a message is addressed.
using Destination = std::variant<core::PartitionId, core::NodeId>;

struct Envelope {
    Destination to;
    Message message;
};

} // namespace sardinerun::protocol

#pragma once

#include "admission/admissiontypes.h"
#include "core/types.h"
#include "jobs/jobtypes.h"
#include "once/claimtypes.h"
#include "services/servicestypes.h"

#include <optional>
#include <variant>
#include <vector>

//! The inner protocol: what nodes say to each other.
//!
//! Each message goes one way, to a partition (that is, to the node that owns it now) or to a node. Links deliver
//! messages in order and at most once while both ends live; what must arrive is sent again by its sender.
//! The home of a job is the partition that keeps its record; capacity is the partition that has the worker.
namespace sardinerun::protocol {

//! Recognises the answer to a question. Made by the asking node; never used twice in an incarnation.
using Token = core::Strong<struct TokenTag, std::uint64_t>;
//! Names one request for room; made by the home, never used twice in an epoch.
using PlacementId = core::Strong<struct PlacementTag, std::uint64_t>;

//! Which owner of a home partition speaks. A capacity partition ignores owners older than it has heard of.
struct HomeEpoch {
    core::PartitionId partition;
    core::Epoch epoch;
    auto operator<=>(const HomeEpoch&) const = default;
};

//! Who asked a question.
struct Requester {
    core::NodeId node;
    core::Incarnation incarnation;
    Token token;
};

enum class SubmitOutcome {
    Accepted,
    Refused, //!< never runs
    Conflict, //!< the id belongs to another job
    Unknown //!< it may have been kept
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

//! Cancels jobs of a home partition: those named, or all of a team's workload.
struct CancelJobs {
    Requester requester;
    core::TeamId team;
    std::vector<core::JobId> jobs;
    std::string workload; //!< empty: only the jobs named
};

struct CancelAnswer {
    Token token;
    std::uint32_t cancelled = 0; //!< jobs that had not ended and now will not run further
};

struct ReadJobs {
    Requester requester;
    core::TeamId team; //!< empty: all teams
    core::JobId job; //!< empty: a page of jobs
    core::JobId after; //!< the page starts behind this id
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
    ReserveAll, //!< hold room for all tasks or for none
    ReserveSome //!< hold room for as many tasks as fit
};

//! Home asks capacity for room.
struct PlaceTasks {
    HomeEpoch from;
    core::PartitionId to;
    core::Epoch toEpoch; //!< the owner that is asked; a later owner ignores the first sending
    PlacementId id;
    PlaceMode mode = PlaceMode::StartNow;
    bool isResend = false; //!< an earlier owner may have taken it
    jobs::JobSpec spec;
    std::vector<TaskAttempt> tasks;
};

struct PlaceAnswer {
    core::PartitionId from;
    core::Epoch fromEpoch;
    HomeEpoch to;
    PlacementId id;
    core::JobId job;
    std::vector<TaskAttempt> taken; //!< the others were not started and will not be
};

//! Home wants what it holds to be started.
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
    bool isStarted = false; //!< false: the hold was gone, and nothing was started
};

struct ReleaseReservation {
    HomeEpoch from;
    core::PartitionId to;
    PlacementId id;
};

//! An attempt is over. Sent until the home says that it keeps the end.
struct AttemptEnded {
    core::PartitionId from;
    core::PartitionId home;
    core::AttemptId id;
    services::AttemptState state = services::AttemptState::Failed;
    bool isLost = false; //!< the worker is gone: the attempt may have run, and runs no more
    core::Duration ran {};
};

struct EndsPersisted {
    HomeEpoch from;
    core::PartitionId to;
    std::vector<core::AttemptId> attempts;
};

//! Stops all attempts of jobs: one message for a wave of cancellations.
struct StopJobs {
    HomeEpoch from;
    core::PartitionId to;
    std::vector<core::JobId> jobs;
};

//! A home asks what capacity knows of its jobs: after the home or the capacity got a new owner. Former owners of
//! the home are ignored from then on.
struct RequestInventory {
    HomeEpoch from;
    core::PartitionId to;
};

//! All attempts of a home's jobs that capacity knows.
struct Inventory {
    core::PartitionId from;
    core::Epoch fromEpoch;
    HomeEpoch to;
    std::vector<core::AttemptId> attempts;
};

//! How much room a partition has, as a hint for where to ask.
struct RoomHint {
    core::PartitionId from;
    core::Epoch fromEpoch;
    core::Resources room;
    core::Resources largest; //!< room of the worker that has most
};

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

//! How a granted claim ended. Sent until it is kept.
struct FinishOnce {
    Requester requester;
    core::PartitionId to;
    once::RequestKey key;
    once::ClaimId claim;
    bool isAbandoned = false; //!< it certainly did not run
    once::StoredAnswer answer;
};

struct FinishAnswer {
    Token token;
};

//! The cell's rows have changed: read them now.
struct RefreshNow { };

using Message = std::variant<SubmitJob, SubmitAnswer, CancelJobs, CancelAnswer, ReadJobs, JobsAnswer, PlaceTasks,
    PlaceAnswer, CommitReservation, CommitAnswer, ReleaseReservation, AttemptEnded, EndsPersisted, StopJobs,
    RequestInventory, Inventory, RoomHint, ClaimOnce, ClaimAnswer, FinishOnce, FinishAnswer, RefreshNow>;

//! Where a message goes.
using Destination = std::variant<core::PartitionId, core::NodeId>;

struct Envelope {
    Destination to;
    Message message;
};

} // namespace sardinerun::protocol

#pragma once

#include "acceptance/grouplog.h"
#include "admission/admissioncontrol.h"
#include "once/claimtable.h"
#include "placement/healthtracker.h"
#include "placement/istrategy.h"
#include "placement/usageestimator.h"
#include "protocol/messages.h"

#include <map>
#include <variant>
#include <vector>

//! A partition: a slice of the jobs and a slice of the workers, managed by one owner at a time.
//!
//! Everything here is a state machine without sockets, clocks and encodings. It accepts messages and results with the
//! time at which they arrived, and returns effects for the caller to apply.
namespace sardinerun::partition {

//! The time of an event, by the monotonic clock of the runtime and as wall time.
struct EventTime {
    core::TimePoint now;
    core::WallTime wall;
};

//! The settings of a partition that depend on the preset.
struct Policy {
    placement::StrategyKind strategy = placement::StrategyKind::DominantFit;
    placement::GuaranteedShares shares;
    placement::UsagePolicy usage;
    admission::QueueLimits queues;
    bool mayBorrow = true; //!< false: each class uses only its guaranteed share and the unguaranteed rest
    std::map<core::TeamId, int> teamWeights; //!< teams that are not listed have weight 1

    bool operator==(const Policy&) const = default;
};

//! The times and limits of a partition that do not depend on the preset.
struct PartitionTimes {
    core::Duration heartbeat = std::chrono::seconds(1); //!< interval of exchanges with an idle worker
    core::Duration workerTimeout = std::chrono::seconds(4); //!< time of failing exchanges until no more are sent
    core::Duration workerLease = std::chrono::seconds(10); //!< longest lease that a worker may have
    core::Duration leaseMargin = std::chrono::seconds(1); //!< allows for clocks that run at different rates
    core::Duration resendInterval = std::chrono::seconds(1); //!< of messages that need an answer
    core::Duration reservationTime = std::chrono::seconds(3); //!< how long a reservation for a gang lasts
    core::Duration jobRetention = std::chrono::minutes(10); //!< time for which ended jobs remain readable
    acceptance::LogOptions log;
    once::ClaimTimes once;
    std::size_t maxClaimBytes = once::defaultClaimBytes; //!< memory for claims and stored answers of a partition
    placement::HealthPolicy health;
};

struct SendMessage {
    protocol::Envelope envelope;
};

struct SyncWorker {
    core::VmId worker;
    core::HostPort address;
    services::WorkerSync sync;
};

struct CommitToStore {
    services::Transaction transaction;
};

struct ReadStore {
    std::string prefix;
};

//! Another owner has the partition: this state machine produces no other effects any more.
struct OwnershipLost { };

using Effect = std::variant<SendMessage, SyncWorker, CommitToStore, ReadStore, OwnershipLost>;
using Effects = std::vector<Effect>;

//! Counts for metrics.
struct Counters {
    std::uint64_t jobsAccepted = 0;
    std::uint64_t jobsRefused = 0;
    std::uint64_t tasksPlaced = 0;
    std::uint64_t tasksSucceeded = 0;
    std::uint64_t tasksFailed = 0;
    std::uint64_t attemptsLost = 0;
    std::uint64_t tasksPreempted = 0;
    std::uint64_t workersQuarantined = 0;
    std::uint64_t staleMessages = 0;
    std::uint64_t jobsPlaced = 0; //!< jobs that have had a task placed
    double waitSecondsSum = 0; //!< sum of the times from acceptance to the first placement

    Counters operator+(const Counters& other) const;
};

//! Attempt numbers available to one owner. The owner's epoch forms the high part of a number, so that a later owner
//! never reuses one. The range is large because a task that is preempted or restarted continually takes many numbers
//! in one epoch.
constexpr std::uint64_t attemptsPerEpoch = std::uint64_t(1) << 24;

constexpr core::AttemptNumber firstAttemptOf(core::Epoch epoch)
{
    return core::AttemptNumber(epoch.value() * attemptsPerEpoch);
}

} // namespace sardinerun::partition

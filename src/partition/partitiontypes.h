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

//! A partition: a slice of the jobs and a slice of the workers, decided by one owner at a time.
//!
//! Everything here is a state machine without sockets, clocks and encodings. It takes messages and results with the
//! moment at which they came, and gives effects for the caller to carry out.
namespace sardinerun::partition {

//! The time of an event, as the runtime's clock and as the date.
struct EventTime {
    core::TimePoint now;
    core::WallTime wall;
};

//! What a preset changes in a partition.
struct Policy {
    placement::StrategyKind strategy = placement::StrategyKind::DominantFit;
    placement::GuaranteedShares shares;
    placement::UsagePolicy usage;
    admission::QueueLimits queues;
    bool mayBorrow = true; //!< false: each class stays within its guaranteed share and what nobody is guaranteed
    std::map<core::TeamId, int> teamWeights; //!< a team that is not named has weight 1

    bool operator==(const Policy&) const = default;
};

//! PartitionTimes that do not depend on the preset.
struct PartitionTimes {
    core::Duration heartbeat = std::chrono::seconds(1); //!< between exchanges with a worker at rest
    core::Duration workerPatience = std::chrono::seconds(4); //!< failing exchanges until a worker is left alone
    core::Duration workerLease = std::chrono::seconds(10); //!< longest lease that a worker may have
    core::Duration leaseMargin = std::chrono::seconds(1); //!< for clocks that run at different rates
    core::Duration resend = std::chrono::seconds(1); //!< of messages that need an answer
    core::Duration hold = std::chrono::seconds(3); //!< room held for an all-at-once job
    core::Duration jobRetention = std::chrono::minutes(10); //!< of jobs that have ended
    acceptance::LogOptions log;
    once::ClaimTimes once;
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

//! The partition has another owner: the machine is over.
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
    std::uint64_t jobsPlaced = 0; //!< jobs with a first task placed
    double waitSecondsSum = 0; //!< from acceptance to that

    Counters operator+(const Counters& other) const;
};

//! Number of a new attempt: the owner's epoch comes first, so no later owner gives a number twice. A task that is
//! preempted or restarted all the time needs many numbers in one epoch.
constexpr std::uint64_t attemptsPerEpoch = std::uint64_t(1) << 24;

constexpr core::AttemptNumber firstAttemptOf(core::Epoch epoch)
{
    return core::AttemptNumber(epoch.value() * attemptsPerEpoch);
}

} // namespace sardinerun::partition

#pragma once

#include "core/ret.h"
#include "core/types.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

//! The workers that run tasks of workflows: their registry entries, their reports and the orders to them.
namespace sardinerun::fleet {

using WorkerClock = core::Quantity<struct WorkerClockTag>; //!< milliseconds of one worker's own steady clock
using RunNumber = core::Quantity<struct RunNumberTag>; //!< increases with each run of a task
using EndNumber
    = core::Quantity<struct EndNumberTag>; //!< increases with each end that one incarnation of a worker reports
using WorkerStartTime
    = core::Quantity<struct WorkerStartTimeTag>; //!< start of a worker's incarnation, in milliseconds since 1970

//! Identifies a task of one occurrence of a job.
struct TaskId {
    core::JobId job;
    std::uint32_t occurrence = 0; //!< 0 for a job that runs once
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    auto operator<=>(const TaskId&) const = default;
};

//! Identifies a run of a task; a run takes place on one worker.
struct RunId {
    TaskId task;
    RunNumber run;
    auto operator<=>(const RunId&) const = default;
};

//! A worker's own entry in the registry.
struct WorkerEntry {
    core::VmId id;
    WorkerStartTime startedAt; //!< 0 if the entry does not include it
    core::HostPort address;
    core::ServiceId service;
    core::FailureDomainId failureDomain;
    core::Resources capacity;
    std::set<std::string> labels; //!< the worker's kind and rack
    std::string hardware; //!< the worker's kind; workers of one kind have similar speeds
    std::string rack;
    bool isDraining = false;

    bool operator==(const WorkerEntry&) const = default;
};

//! How long the sender of an order waits for its answer.
struct OrderPatience {
    core::Duration connect = std::chrono::milliseconds(500); //!< then the order is certainly not received
    core::Duration answer = std::chrono::milliseconds(500); //!< in all
};

struct StartOrder {
    RunId runId;
    std::string payload;
    WorkerClock
        leaseUntil; //!< after this time the worker must not start the run, and ends it unless the lease was renewed
    core::Epoch fence;
    std::string checkpoint; //!< checkpoint to resume from; empty: none
    std::string ticket; //!< issued by the advice service, if the queue requires one
    //! When the last report of the incarnation was requested whose clock `leaseUntil` refers to. The order is not sent
    //! on a connection opened later, as the next incarnation would take `leaseUntil` for any time on its own clock.
    core::TimePoint incarnationSeenAt {};
    OrderPatience patience;
};

struct StopOrder {
    RunId runId;
    core::Epoch fence;
    OrderPatience patience;
};

//! Renews the lease of all runs on a worker, and requests a report of the running and ended ones.
struct LeaseRenewal {
    core::Epoch fence;
    EndNumber acknowledgedUpTo; //!< ends up to this number are persisted; the worker may delete them
    //! When the last report of the incarnation with these ends was requested. On a connection opened later only a
    //! report is requested: the worker may have restarted, and numbers its ends and counts its clock anew.
    core::TimePoint incarnationSeenAt {};
    std::optional<WorkerClock> leaseUntil;
    core::Duration wait {}; //!< how long the worker may delay its report until a run ends
    OrderPatience patience; //!< without `wait`
};

//! Limits the share of its requested CPU that a run may use.
struct CpuLimitOrder {
    RunId runId;
    int percent = 100;
    core::Epoch fence;
    OrderPatience patience;
};

struct RunningRun {
    RunId runId;
    std::string checkpoint; //!< newest checkpoint; empty if there is none
    int percent
        = 0; //!< progress of the actual work, independent of the estimate; gang members wait at 100 for the others
    std::int64_t load = 0; //!< tail latency in ms of a task that serves users, else CPU in use in thousandths
};

enum class EndKind {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangMemberEnded, //!< another member of the gang has ended
    GangIncomplete //!< the other members of the gang did not start in time
};

struct EndedRun {
    EndNumber number;
    RunId runId;
    EndKind kind = EndKind::Failed;
    std::string checkpoint;
};

struct WorkerReport {
    WorkerClock clock;
    core::TimePoint requestedAt {}; //!< when the request for it was sent on its connection
    WorkerStartTime startedAt; //!< 0 if the worker does not report it
    std::vector<RunningRun> running;
    std::vector<EndedRun> ended; //!< ends that are not acknowledged, the oldest first
    //! Whether more ends may follow, which the worker lists once these are acknowledged. A run that such a report does
    //! not list may have ended in any way.
    bool mayHaveMoreEnds = false;
};

struct OrderFailure {
    enum class Code {
        NotSent, //!< certainly without effect
        Unknown, //!< it may have been carried out, or may be carried out later
        Fenced, //!< the worker has seen a higher fence
        Outdated, //!< the run's number is not higher than that of a run which ended or was stopped there
        Late, //!< the order's lease has expired by the worker's clock
        NoRoom,
        BadTicket,
        Unhealthy, //!< the worker is unhealthy and has not carried out the order
        OtherIncarnation, //!< another incarnation of the worker answers at this address
        NewConnection, //!< not sent, as the connection may lead to another incarnation; its report was requested
        Refused //!< the worker rejected the order as invalid
    };
    Code code = Code::Unknown;
    std::string detail;
    std::shared_ptr<const WorkerReport> report {}; //!< set with `NewConnection`
};

using OrderResult = core::RetVal<WorkerClock, OrderFailure>;
using LeaseRenewalResult = core::RetVal<WorkerReport, OrderFailure>;

const char* nameOf(OrderFailure::Code it);
const char* nameOf(EndKind it);
//! Returns a task's id as text for logs, such as "5c0e7a21d94b36f8.0.1.17".
std::string textOf(const TaskId& it);

//! A worker that the advice service allows for a step, with the proof that start orders must include.
struct Ticket {
    core::VmId worker;
    std::string text;
};

struct Advice {
    std::vector<Ticket> allowed;
};

enum class AdviceFailure {
    Busy, //!< too many requests are pending
    Unreachable
};

using AdviceResult = core::RetVal<Advice, AdviceFailure>;

//! Asks the advice service which of these workers may run the step.
struct AdviceRequest {
    core::JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<core::VmId> workers;
};

} // namespace sardinerun::fleet

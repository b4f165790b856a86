#pragma once

#include "core/ret.h"
#include "core/types.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

//! The workers that run steps of workflows: what they say of themselves, and the orders that they take.
namespace sardinerun::fleet {

using WorkerClock = core::Quantity<struct WorkerClockTag>; //!< milliseconds of one worker's own steady clock
using RunNumber = core::Quantity<struct RunNumberTag>; //!< grows over all runs of one task
using EndNumber = core::Quantity<struct EndNumberTag>; //!< grows over all ends that one life of a worker lists
using WorkerStartTime
    = core::Quantity<struct WorkerStartTimeTag>; //!< start of a worker's life, in milliseconds since 1970

//! Names one task of one occurrence of a job.
struct TaskId {
    core::JobId job;
    std::uint32_t occurrence = 0; //!< 0 for a job that runs once
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    auto operator<=>(const TaskId&) const = default;
};

//! One run of a task on some worker.
struct RunId {
    TaskId task;
    RunNumber run;
    auto operator<=>(const RunId&) const = default;
};

//! What a worker's own entry in the register says.
struct WorkerEntry {
    core::VmId id;
    WorkerStartTime startedAt; //!< 0 when the entry does not say
    core::HostPort address;
    core::ServiceId service;
    core::FailureDomainId failureDomain;
    core::Resources capacity;
    std::set<std::string> labels; //!< its kind and its rack
    std::string rack;
    bool isDraining = false;
};

struct StartOrder {
    RunId run;
    std::string payload;
    WorkerClock leaseUntil; //!< the worker must not start it later, and ends it then unless the lease is renewed
    core::Epoch fence;
    std::string checkpoint; //!< empty: from the beginning
    std::string ticket; //!< of the advice service, where one is needed
};

struct StopOrder {
    RunId run;
    core::Epoch fence;
};

//! Renews the lease of all that runs on a worker, and asks what runs and what has ended.
struct LeaseRenewal {
    core::Epoch fence;
    EndNumber acknowledgedUpTo; //!< ends up to here are kept and may be forgotten
    std::optional<WorkerClock> leaseUntil;
    core::Duration wait {}; //!< how long the answer may wait for an end
};

//! Limits the share of its processors that a run may use.
struct CpuLimitOrder {
    RunId run;
    int percent = 100;
    core::Epoch fence;
};

struct RunningRun {
    RunId name;
    std::string checkpoint; //!< newest; empty when there is none
    int percent = 0; //!< of its work, whatever was estimated; members of a gang wait at 100 for the others
    std::int64_t load = 0; //!< tail latency in ms of what serves users, else processors in use in thousandths
};

enum class EndKind {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangMemberEnded, //!< another member of its gang ended
    GangIncomplete //!< it waited in vain for the others of its gang
};

struct EndedRun {
    EndNumber number;
    RunId name;
    EndKind kind = EndKind::Failed;
    std::string checkpoint;
};

struct WorkerReport {
    WorkerClock clock;
    WorkerStartTime startedAt; //!< 0 when it does not say
    std::vector<RunningRun> running;
    std::vector<EndedRun> ended;
};

struct OrderFailure {
    enum class Code {
        NotSent, //!< certainly without effect
        Unknown, //!< it may have been carried out, or may yet be
        Fenced, //!< the worker has seen a higher fence
        Outdated, //!< the run is not higher than one that ended or was stopped there
        Late, //!< its lease is over by the worker's clock
        NoRoom,
        BadTicket,
        Unhealthy, //!< the worker is not well and has done nothing
        OtherIncarnation, //!< another life of a worker answers at this address
        Refused //!< the worker does not understand it
    };
    Code code = Code::Unknown;
    std::string detail;
};

using OrderResult = core::RetVal<WorkerClock, OrderFailure>;
using LeaseRenewalResult = core::RetVal<WorkerReport, OrderFailure>;

const char* nameOf(OrderFailure::Code it);
const char* nameOf(EndKind it);
//! Text of a task's name for logs, such as "5c0e7a21d94b36f8.0.1.17".
std::string textOf(const TaskId& it);

//! A worker that the advice service allows for a step, with the proof that its starts carry.
struct Ticket {
    core::VmId worker;
    std::string text;
};

struct Advice {
    std::vector<Ticket> allowed;
};

enum class AdviceFailure {
    Busy, //!< too many questions wait
    Unreachable
};

using AdviceResult = core::RetVal<Advice, AdviceFailure>;

//! A question to the advice service: which of these workers may run the step.
struct AdviceRequest {
    core::JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<core::VmId> workers;
};

} // namespace sardinerun::fleet

#pragma once

#include "core/ret.h"
#include "core/types.h"

#include <optional>
#include <string>
#include <vector>

//! What the platform gives: its table service, its list of VMs, and its workers.
namespace sardinerun::services {

//! One row of the table service.
struct Row {
    std::string key;
    core::RowVersion version; //!< grows with every write of the table; never used twice
    std::string value;
    core::WriteId writeId; //!< the write that gave the row its value
};

//! A row that must have this version, or must not exist when the version is 0.
struct RowCheck {
    std::string key;
    core::RowVersion expect;
};

//! A conditional write of one row; no value deletes it.
struct RowWrite {
    std::string key;
    core::RowVersion expect;
    std::optional<std::string> value;
};

//! Writes that take effect together or not at all.
struct Transaction {
    core::WriteId id;
    std::vector<RowCheck> checks;
    std::vector<RowWrite> writes;
};

struct StoreError {
    enum class Code {
        Unavailable, //!< certainly without effect
        Unknown, //!< the answer was lost: it may have taken effect
        Conflict, //!< a row had another version: certainly without effect
        BadAnswer //!< the answer cannot be read: it may have taken effect
    };
    Code code = Code::Unavailable;
    std::string detail;
};

enum class VmRole { Worker, Runner };

enum class VmState { Live, Leaving };

//! One VM of the platform's list.
struct VmInfo {
    core::VmId id;
    VmRole role = VmRole::Worker;
    VmState state = VmState::Live;
    core::RackId rack;
    core::FailureDomainId failureDomain;
    core::HostPort address;
    core::Resources capacity; //!< of a worker
    core::ServiceId service; //!< of a runner
    core::Slots slots; //!< of a runner
};

//! Orders a sync from its sender: a worker refuses what is older than the newest it has seen.
struct SyncOrder {
    core::Epoch epoch;
    std::uint64_t sequence = 0;
};

struct StartOrder {
    core::AttemptId id;
    core::Resources resources;
    core::Duration runTime; //!< declared; zero for a service
    std::string workload;
    std::string label; //!< the worker gives it back in its reports
};

//! One exchange with a worker: fences it, renews its lease, starts and stops tasks, and lists what it has.
struct WorkerSync {
    SyncOrder order;
    std::string session; //!< as last reported; in another session the worker starts nothing
    std::uint64_t renewFrom = 0; //!< `time` of the last report: the lease is renewed from then, not from arrival
    std::vector<StartOrder> starts;
    std::vector<core::AttemptId> stops;
    std::vector<core::AttemptId> acknowledged; //!< ends that are kept, which the worker may forget
};

enum class AttemptState {
    Running,
    Succeeded,
    Failed,
    Stopped, //!< by an order or because the lease lapsed
    NotStarted //!< the worker refused the start or could not do it
};

struct AttemptReport {
    core::AttemptId id;
    AttemptState state = AttemptState::Running;
    core::Resources resources; //!< as ordered
    core::Resources used; //!< lags
    std::string workload;
    std::string label;
};

struct WorkerReport {
    std::string session; //!< changes when the worker starts anew and when its lease has lapsed
    std::uint64_t time = 0; //!< of the worker's own clock, in milliseconds
    core::Resources capacity;
    core::Duration lease; //!< tasks stop when it has not been renewed for this long
    std::vector<AttemptReport> attempts;
};

struct WorkerError {
    enum class Code {
        Unreachable, //!< certainly without effect
        Unknown, //!< may have taken effect
        Fenced //!< the worker has seen a newer epoch or sequence: without effect
    };
    Code code = Code::Unknown;
    std::string detail;
};

using RowsResult = core::RetVal<std::vector<Row>, StoreError>;
using CommitResult = core::RetVal<core::RowVersion, StoreError>;
using VmsResult = core::RetVal<std::vector<VmInfo>, StoreError>;
using SyncResult = core::RetVal<WorkerReport, WorkerError>;

} // namespace sardinerun::services

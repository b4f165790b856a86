#pragma once

#include "core/ret.h"
#include "core/types.h"

#include <optional>
#include <string>
#include <vector>

//! Types of the platform's services: the table service, the list of VMs and the workers.
namespace sardinerun::services {

//! One row of the table service.
struct Row {
    std::string key;
    core::RowVersion version; //!< increases with every write to the table; never reused
    std::string value;
    core::WriteId writeId; //!< identifies the write that set the value
};

//! Requires that a row has this version, or does not exist if the version is 0.
struct RowCheck {
    std::string key;
    core::RowVersion expect;
};

//! A conditional write of one row. Deletes the row if there is no value.
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
        Unavailable, //!< the transaction certainly had no effect
        Unknown, //!< the answer was lost; the transaction may have taken effect
        Conflict, //!< a row had another version; the transaction had no effect
        BadAnswer //!< the answer cannot be decoded; the transaction may have taken effect
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

//! Orders the syncs to a worker, which rejects a sync that is older than the newest it has received.
struct SyncOrder {
    core::Epoch epoch;
    std::uint64_t sequence = 0;
};

struct StartOrder {
    core::AttemptId id;
    core::Resources resources;
    core::Duration runTime; //!< as declared by the job; zero for a service
    std::string workload;
    std::string label; //!< returned by the worker in its reports
};

//! One exchange with a worker: fences it, renews its lease, starts and stops tasks. The worker reports its attempts.
struct WorkerSync {
    SyncOrder order;
    std::string session; //!< as last reported; the worker starts nothing if its session is another one
    std::uint64_t renewFrom = 0; //!< `time` of the last report; the lease is renewed from then, not from the arrival
    std::vector<StartOrder> starts;
    std::vector<core::AttemptId> stops;
    std::vector<core::AttemptId> acknowledged; //!< ended attempts whose end is persisted, so the worker may remove them
};

enum class AttemptState {
    Running,
    Succeeded,
    Failed,
    Stopped, //!< by an order or because the lease expired
    NotStarted //!< the worker rejected the start or failed to start the task
};

struct AttemptReport {
    core::AttemptId id;
    AttemptState state = AttemptState::Running;
    core::Resources resources; //!< as ordered
    core::Resources used; //!< measured with a lag
    std::string workload;
    std::string label;
};

struct WorkerReport {
    std::string session; //!< changes when the worker restarts and when its lease expires
    std::uint64_t time = 0; //!< time of the worker's clock in milliseconds
    core::Resources capacity;
    core::Duration lease; //!< the worker stops its tasks if the lease is not renewed within this time
    std::vector<AttemptReport> attempts;
};

struct WorkerError {
    enum class Code {
        Unreachable, //!< the sync certainly had no effect
        Unknown, //!< the sync may have taken effect
        Fenced //!< the worker has seen a newer epoch or sequence; the sync had no effect
    };
    Code code = Code::Unknown;
    std::string detail;
};

using RowsResult = core::RetVal<std::vector<Row>, StoreError>;
using CommitResult = core::RetVal<core::RowVersion, StoreError>;
using VmsResult = core::RetVal<std::vector<VmInfo>, StoreError>;
using SyncResult = core::RetVal<WorkerReport, WorkerError>;

} // namespace sardinerun::services

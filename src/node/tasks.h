#pragma once

#include "http/ihttpclient.h"
#include "node/iportprobe.h"
#include "node/nodetypes.h"
#include "services/itablestore.h"
#include "services/ivmlist.h"
#include "services/iworkerclient.h"
#include "telemetry/metrics.h"

//! The tasks of the control loop. Each is created once, started on its loop, and addressed by messages.
namespace sardinerun::node {

//! Interface of a task to the other tasks.
template <class Message> class ITask {
public:
    virtual ~ITask() = default;
    virtual void start() = 0; //!< must be called on the task's loop
    virtual runtime::Address<Message> taskAddress() = 0;
};

using ICellTaskPtr = std::shared_ptr<ITask<CellMessage>>;
using IPartitionsTaskPtr = std::shared_ptr<ITask<PartitionsMessage>>;
using IPeersTaskPtr = std::shared_ptr<ITask<PeersMessage>>;

//! Callbacks of the cell task.
struct CellHooks {
    std::function<void(CellUpdatePtr)> update = [](const CellUpdatePtr&) {}; //!< the state of the cell may have changed
    std::function<void()> notifyPeers = [] {}; //!< the other nodes should read the rows of the cell now
    std::function<void()> left = [] {}; //!< the node has left the cell
};

ICellTaskPtr createCellTask(runtime::ILoopPtr loop, membership::MembershipPtr membership,
    services::ITableStorePtr store, services::IVmListPtr vms, IPortProbePtr probe, telemetry::MetricsPtr metrics,
    CellHooks hooks);

//! Callbacks of the partitions task, for effects that other tasks carry out.
struct PartitionsHooks {
    std::function<void(protocol::Envelope)> send = [](const protocol::Envelope&) {};
    std::function<void(ConfigUser, core::ConfigVersion)> olderConfigsDrained = [](ConfigUser, core::ConfigVersion) {};
    std::function<void(core::PartitionId, bool isRecovered)> quiescent = [](core::PartitionId, bool) {};
};

IPartitionsTaskPtr createPartitionsTask(runtime::ILoopPtr loop, services::ITableStorePtr store,
    services::IWorkerClientPtr workers, partition::PartitionTimes times, telemetry::MetricsPtr metrics,
    PartitionsHooks hooks);

//! Callbacks of the peers task, for messages to this node.
struct PeersHooks {
    std::function<void(core::PartitionId, protocol::Message)> toPartition
        = [](core::PartitionId, const protocol::Message&) {};
    std::function<void(protocol::Message)> toRequester = [](const protocol::Message&) {}; //!< answers for this node
    std::function<void(protocol::RoomHint)> toHints = [](const protocol::RoomHint&) {};
    std::function<void()> refreshNow = [] {};
};

IPeersTaskPtr createPeersTask(runtime::ILoopPtr loop, http::IHttpClientPtr client, std::string secret,
    telemetry::MetricsPtr metrics, PeersHooks hooks);

//! The batch read from an HTTP request, or the status of the response if the batch is invalid or its secret is wrong.
struct BatchRead {
    int status = 200;
    std::optional<Incoming> incoming;
};
//! Checks the secret of a batch and decodes it.
BatchRead readBatch(const http::Request& request, const std::string& secret);

} // namespace sardinerun::node

#pragma once

#include "http/ihttpclient.h"
#include "node/iportprobe.h"
#include "node/nodetypes.h"
#include "services/itablestore.h"
#include "services/ivmlist.h"
#include "services/iworkerport.h"
#include "telemetry/metrics.h"

//! The tasks of the control loop. Each is made once, started on its loop, and reached by its address.
namespace sardinerun::node {

//! A task as others see it.
template <class Message> class ITask {
public:
    virtual ~ITask() = default;
    virtual void start() = 0; //!< on the task's loop
    virtual runtime::Address<Message> taskAddress() = 0;
};

using ICellTaskPtr = std::shared_ptr<ITask<CellMessage>>;
using IPartitionsTaskPtr = std::shared_ptr<ITask<PartitionsMessage>>;
using IPeersTaskPtr = std::shared_ptr<ITask<PeersMessage>>;

//! Told when the cell task has something to say.
struct CellHooks {
    std::function<void(CellUpdatePtr)> news = [](const CellUpdatePtr&) {};
    std::function<void()> notifyPeers = [] {}; //!< other nodes should read the rows now
    std::function<void()> left = [] {};
};

ICellTaskPtr createCellTask(runtime::ILoopPtr loop, membership::MembershipPtr membership,
    services::ITableStorePtr store, services::IVmListPtr vms, IPortProbePtr probe, telemetry::MetricsPtr metrics,
    CellHooks hooks);

//! Told what the partitions' machines ask for.
struct PartitionsHooks {
    std::function<void(protocol::Envelope)> send = [](const protocol::Envelope&) {};
    std::function<void(ConfigUser, core::ConfigVersion)> olderConfigsDrained = [](ConfigUser, core::ConfigVersion) {};
    std::function<void(core::PartitionId, bool isRecovered)> quiescent = [](core::PartitionId, bool) {};
};

IPartitionsTaskPtr createPartitionsTask(runtime::ILoopPtr loop, services::ITableStorePtr store,
    services::IWorkerClientPtr workers, partition::PartitionTimes times, telemetry::MetricsPtr metrics,
    PartitionsHooks hooks);

//! Told of messages for this node.
struct PeersHooks {
    std::function<void(core::PartitionId, protocol::Message)> toPartition
        = [](core::PartitionId, const protocol::Message&) {};
    std::function<void(protocol::Message)> toRequester = [](const protocol::Message&) {}; //!< answers for this node
    std::function<void(protocol::RoomHint)> toHints = [](const protocol::RoomHint&) {};
    std::function<void()> lookNow = [] {};
};

IPeersTaskPtr createPeersTask(runtime::ILoopPtr loop, http::IHttpClientPtr client, std::string secret,
    telemetry::MetricsPtr metrics, PeersHooks hooks);

//! Reads a batch as it came over HTTP. Nothing when it is not one, or when its secret is wrong.
struct BatchRead {
    int status = 200;
    std::optional<Incoming> incoming;
};
BatchRead readBatch(const http::Request& request, const std::string& secret);

} // namespace sardinerun::node

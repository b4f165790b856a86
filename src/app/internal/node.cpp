#include "app/node.h"

#include "api/iapi.h"
#include "app/internal/processreport.h"
#include "core/hashing.h"
#include "http/h2oclient.h"
#include "http/h2oserver.h"
#include "node/partitionclient.h"
#include "node/tasks.h"
#include "runtime/eventloop.h"
#include "services/httpservices.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

#include <future>

namespace sardinerun::app {

namespace {

constexpr std::size_t maxInnerBodyBytes = std::size_t(64) << 20;
constexpr core::Duration balancerPause = std::chrono::seconds(1);
constexpr core::Duration processReport = std::chrono::seconds(1);

membership::Membership::Options membershipOptions(const settings::NodeSettings& settings)
{
    membership::Membership::Options options;
    options.node = settings.node;
    options.address = settings.inner;
    options.failureDomain = settings.failureDomain;
    options.partitionCount = settings.partitions;
    options.times = settings.membership;
    return options;
}

routing::RouterUpdate toRouterNews(const node::CellUpdate& update)
{
    routing::RouterUpdate it;
    const std::vector<services::VmInfo> none;
    for (const services::VmInfo& vm : update.vms ? *update.vms : none) {
        if (vm.role == services::VmRole::Runner)
            it.runners.push_back(vm);
    }
    it.shares = update.memberState.slots;
    it.releasing = update.releasing;
    it.sharesUntil = update.memberState.slotsValidUntil;
    it.partitionCount = update.view ? update.view->partitionCount : 0;
    it.activePreset = update.activePreset;
    it.activeUntil
        = update.memberState.activeConfig.value() > 0 ? update.memberState.leaseValidUntil : core::TimePoint();
    it.transitionPreset = update.transitionPreset;
    return it;
}

} // namespace

struct Node::Parts {
    settings::NodeSettings settings;
    telemetry::MetricsPtr metrics = telemetry::Metrics::create();
    runtime::EventLoopPtr front; //!< serves callers
    runtime::EventLoopPtr control; //!< decides
    node::ICellTaskPtr cell;
    node::IPartitionsTaskPtr partitions;
    node::IPeersTaskPtr peers;
    node::PartitionClientPtr partitionClient;
    routing::IRouterPtr router;
    api::IApiPtr api;
    http::IHttpServerPtr callersServer;
    http::IHttpServerPtr innerServer;
    node::CellUpdatePtr lastNews; //!< on the control loop only
    //! Written and read on the front loop only.
    std::uint32_t partitionCount = 0;
    core::ConfigVersion confirming;
    std::promise<void> routerIdle;
    std::promise<void> left;
    bool isRouterIdleTold = false;
    bool isLeftTold = false;

    core::Ret<StartError> makeLoops();
    void makeControl();
    void makeFront();
    core::Ret<StartError> listen();
    void onNews(const node::CellUpdatePtr& update);
    void takeNewsInFront(const node::CellUpdatePtr& update);
    void reportForever();
    void handleInner(const http::Request& request, http::Responder responder);
};

core::Ret<StartError> Node::Parts::makeLoops()
{
    auto frontLoop = runtime::EventLoop::create("front", runtime::systemClock());
    auto controlLoop = runtime::EventLoop::create("control", runtime::systemClock());
    if (!frontLoop || !controlLoop)
        return core::Failure { StartError { "no event loop can be made" } };
    front = frontLoop.value();
    control = controlLoop.value();
    return {};
}

void Node::Parts::makeControl()
{
    const http::IHttpClientPtr client = http::createClient(control);
    const auto store = services::createTableStore(client, settings.platform, settings.timeouts);
    const auto vms = services::createVmList(client, settings.platform, settings.timeouts);
    const auto workers = services::createWorkerClient(client, settings.timeouts);

    node::PeersHooks peersHooks;
    peersHooks.toPartition = [this](core::PartitionId id, protocol::Message message) {
        partitions->taskAddress().send(node::MessageToPartition { id, std::move(message) });
    };
    peersHooks.toRequester = [this](protocol::Message message) { partitionClient->address().send(std::move(message)); };
    peersHooks.toHints = [this](const protocol::RoomHint& hint) { partitions->taskAddress().send(hint); };
    peersHooks.refreshNow = [this] { cell->taskAddress().send(node::RefreshNow {}); };
    peers = node::createPeersTask(control, client, settings.innerSecret, metrics, std::move(peersHooks));

    node::PartitionsHooks partitionsHooks;
    partitionsHooks.send
        = [this](protocol::Envelope it) { peers->taskAddress().send(node::Outgoing { std::move(it) }); };
    partitionsHooks.olderConfigsDrained = [this](node::ConfigUser task, core::ConfigVersion under) {
        cell->taskAddress().send(node::OlderConfigsDrained { task, under });
    };
    partitionsHooks.quiescent = [this](core::PartitionId id, bool isRecovered) {
        cell->taskAddress().send(node::PartitionQuiescent { id, isRecovered });
    };
    partitions
        = node::createPartitionsTask(control, store, workers, settings.partition, metrics, std::move(partitionsHooks));

    node::CellHooks cellHooks;
    cellHooks.update = [this](const node::CellUpdatePtr& update) { onNews(update); };
    cellHooks.notifyPeers = [this] {
        for (const membership::Member& it : lastNews->view->members)
            peers->taskAddress().send(node::Outgoing { { it.identity.node, protocol::RefreshNow {} } });
    };
    cellHooks.left = [this] {
        if (!std::exchange(isLeftTold, true))
            left.set_value();
    };
    cell = node::createCellTask(control, membership::Membership::create(membershipOptions(settings)), store, vms,
        node::createPortProbe(control), metrics, std::move(cellHooks));
}

void Node::Parts::onNews(const node::CellUpdatePtr& update)
{
    lastNews = update;
    peers->taskAddress().send(update);
    partitions->taskAddress().send(update);
    front->post([this, update] { takeNewsInFront(update); });
}

void Node::Parts::takeNewsInFront(const node::CellUpdatePtr& update)
{
    partitionCount = update->view ? update->view->partitionCount : 0;
    confirming = update->memberState.confirming;
    api->updateAddress().send(update);
    router->routerAddress().send(toRouterNews(*update));
}

void Node::Parts::makeFront()
{
    partitionClient = node::PartitionClient::create(front, settings.node, metrics,
        [this](protocol::Envelope it) { peers->taskAddress().send(node::Outgoing { std::move(it) }); });
    routing::RouterHooks hooks;
    hooks.updateApplied = [this] {
        if (confirming.value() > 0)
            cell->taskAddress().send(node::OlderConfigsDrained { node::ConfigUser::Router, confirming });
    };
    hooks.shareIdle = [this](core::PartitionId id) { cell->taskAddress().send(node::SlotsIdle { id }); };
    hooks.idle = [this] {
        if (!std::exchange(isRouterIdleTold, true))
            routerIdle.set_value();
    };
    router = routing::createRouter(front, http::createClient(front),
        node::createClaimClient(front, partitionClient, [this] { return partitionCount; }), metrics, std::move(hooks),
        settings.maxResponseBytes);
    api::ApiPorts ports;
    ports.partitionClient = partitionClient;
    ports.router = router->routerAddress();
    ports.metrics = metrics;
    ports.toCell = [this](node::CellMessage message) { cell->taskAddress().send(std::move(message)); };
    ports.readPartitions = [this](runtime::Reply<std::vector<partition::PartitionView>> reply) {
        partitions->taskAddress().send(node::ReadPartitions { std::move(reply) });
    };
    api = api::createApi(front, std::move(ports), { settings.mayAdministerFromLoopback });
}

void Node::Parts::handleInner(const http::Request& request, http::Responder responder)
{
    if (request.path != "/inner/messages" || request.method != "POST") {
        responder.send({ 404, {}, "" });
        return;
    }
    node::BatchRead read = node::readBatch(request, settings.innerSecret);
    if (read.incoming) {
        metrics->add(
            telemetry::Metric::InnerMessages, { { "direction", "in" } }, double(read.incoming->envelopes.size()));
        metrics->add(telemetry::Metric::InnerBytes, { { "direction", "in" } }, double(request.body.size()));
        peers->taskAddress().send(std::move(*read.incoming));
    }
    responder.send({ read.status, {}, "" });
}

core::Ret<StartError> Node::Parts::listen()
{
    http::ServerOptions callers;
    callers.listen = settings.callers.address;
    callers.tls = settings.callers.tls;
    callers.maxBodyBytes = settings.maxBodyBytes;
    auto server = http::createServer(front, callers, [this](http::Request request, http::Responder responder) {
        api->handle(std::move(request), std::move(responder));
    });
    if (!server)
        return core::Failure { StartError { "callers: " + server.error().detail } };
    callersServer = server.value();

    http::ServerOptions inner;
    inner.listen = settings.inner;
    inner.maxBodyBytes = maxInnerBodyBytes;
    auto innerResult
        = http::createServer(control, inner, [this](const http::Request& request, http::Responder responder) {
              handleInner(request, std::move(responder));
          });
    if (!innerResult)
        return core::Failure { StartError { "inner: " + innerResult.error().detail } };
    innerServer = innerResult.value();
    return {};
}

void Node::Parts::reportForever()
{
    reportProcess(*metrics);
    metrics->set(telemetry::Metric::LogLinesDropped, {}, double(telemetry::droppedLogLines()));
    telemetry::flushLog();
    control->callAfter(processReport, [this] { reportForever(); });
}

core::RetVal<NodePtr, StartError> Node::start(const settings::NodeSettings& settings)
{
    NodePtr node(new Node(std::make_unique<Parts>()));
    Parts& parts = *node->m_parts;
    parts.settings = settings;
    if (auto ret = parts.makeLoops(); !ret)
        return core::Failure { ret.error() };
    parts.makeControl();
    parts.makeFront();
    if (auto ret = parts.listen(); !ret)
        return core::Failure { ret.error() };
    parts.control->post([&parts] {
        parts.partitions->start();
        parts.peers->start();
        parts.cell->start();
        parts.reportForever();
    });
    parts.front->start();
    parts.control->start();
    telemetry::LogLine(telemetry::Severity::Info, "started")
        .with("node", settings.node.value())
        .with("callers", settings.callers.address.text())
        .with("inner", settings.inner.text());
    return node;
}

Node::Node(std::unique_ptr<Parts> parts)
    : m_parts(std::move(parts))
{
}

Node::~Node()
{
    if (m_parts->front)
        m_parts->front->stop();
    if (m_parts->control)
        m_parts->control->stop();
}

std::uint16_t Node::callersPort() const
{
    return m_parts->callersServer->port();
}

void Node::stop()
{
    Parts& parts = *m_parts;
    telemetry::LogLine(telemetry::Severity::Info, "stopping").with("node", parts.settings.node.value());
    const auto until = std::chrono::steady_clock::now() + parts.settings.stopWithin;
    parts.front->post([&parts] { parts.api->setStopping(); });
    // The balancer is given a moment to see that the node is not ready; what comes in that time is still served.
    parts.front->post([&parts] {
        parts.front->callAfter(balancerPause, [&parts] {
            parts.callersServer->drain();
            parts.router->routerAddress().send(routing::StopAccepting {});
        });
    });
    parts.routerIdle.get_future().wait_until(until);
    parts.cell->taskAddress().send(node::Leave {});
    parts.left.get_future().wait_until(until);
    telemetry::LogLine(telemetry::Severity::Info, "stopped").with("node", parts.settings.node.value());
    telemetry::flushLog();
}

} // namespace sardinerun::app

#include "app/node.h"

#include "api/iapi.h"
#include "app/internal/connectionreport.h"
#include "app/internal/processreport.h"
#include "budget/processbudget.h"
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

//! Copies of a body that is passed on: the request's, and two of the client, which may have to send it to another
//! runner.
constexpr std::size_t passedOnCopies = 3;
//! Time between reporting not ready and draining.
constexpr core::Duration balancerDrainDelay = std::chrono::seconds(1);
constexpr core::Duration processReportPeriod = std::chrono::seconds(1);

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

routing::RouterUpdate toRouterUpdate(const node::CellUpdate& update)
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

struct Node::Impl {
    settings::NodeSettings settings;
    telemetry::MetricsPtr metrics = telemetry::Metrics::create();
    budget::ServeBudget budget;
    runtime::EventLoopPtr front; //!< event loop that serves callers
    runtime::EventLoopPtr control; //!< event loop of the cell, partitions and peers tasks
    node::ICellTaskPtr cell;
    node::IPartitionsTaskPtr partitions;
    node::IPeersTaskPtr peers;
    node::PartitionClientPtr partitionClient;
    routing::IRouterPtr router;
    api::IApiPtr api;
    http::ConnectionTablePtr frontConnections;
    http::ConnectionTablePtr innerConnections;
    ConnectionReport frontReport { metrics, "callers" }; //!< accessed on the front loop only
    ConnectionReport innerReport { metrics, "inner" };
    http::IHttpServerPtr callersServer;
    http::IHttpServerPtr innerServer;
    node::CellUpdatePtr lastUpdate; //!< accessed on the control loop only
    //! The partition count and the version to confirm are accessed on the front loop only.
    std::uint32_t partitionCount = 0;
    core::ConfigVersion versionToConfirm;
    std::promise<void> routerIdle;
    std::promise<void> leftCell;
    bool isRouterIdleReported = false;
    bool isLeaveReported = false;

    core::Ret<StartError> makeLoops();
    void makeControl();
    void makeFront();
    core::Ret<StartError> listen();
    void onCellUpdate(const node::CellUpdatePtr& update);
    void applyUpdateInFront(const node::CellUpdatePtr& update);
    void reportPeriodically();
    void handleInner(const http::Request& request, http::Responder responder);
};

core::Ret<StartError> Node::Impl::makeLoops()
{
    auto frontLoop = runtime::EventLoop::create("front", runtime::systemClock());
    auto controlLoop = runtime::EventLoop::create("control", runtime::systemClock());
    if (!frontLoop || !controlLoop)
        return core::Failure { StartError { "cannot create the event loops" } };
    front = frontLoop.value();
    control = controlLoop.value();
    return {};
}

void Node::Impl::makeControl()
{
    const http::IHttpClientPtr client = http::createClient(control, budget.answers);
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
    partitionsHooks.olderConfigsDrained = [this](node::ConfigUser task, core::ConfigVersion version) {
        cell->taskAddress().send(node::OlderConfigsDrained { task, version });
    };
    partitionsHooks.quiescent = [this](core::PartitionId id, bool isRecovered) {
        cell->taskAddress().send(node::PartitionQuiescent { id, isRecovered });
    };
    partitions
        = node::createPartitionsTask(control, store, workers, settings.partition, metrics, std::move(partitionsHooks));

    node::CellHooks cellHooks;
    cellHooks.update = [this](const node::CellUpdatePtr& update) { onCellUpdate(update); };
    cellHooks.notifyPeers = [this] {
        for (const membership::Member& it : lastUpdate->view->members)
            peers->taskAddress().send(node::Outgoing { { it.identity.node, protocol::RefreshNow {} } });
    };
    cellHooks.left = [this] {
        if (!std::exchange(isLeaveReported, true))
            leftCell.set_value();
    };
    cell = node::createCellTask(control, membership::Membership::create(membershipOptions(settings)), store, vms,
        node::createPortProbe(control), metrics, std::move(cellHooks));
}

void Node::Impl::onCellUpdate(const node::CellUpdatePtr& update)
{
    lastUpdate = update;
    peers->taskAddress().send(update);
    partitions->taskAddress().send(update);
    front->post([this, update] { applyUpdateInFront(update); });
}

void Node::Impl::applyUpdateInFront(const node::CellUpdatePtr& update)
{
    partitionCount = update->view ? update->view->partitionCount : 0;
    versionToConfirm = update->memberState.confirming;
    api->updateAddress().send(update);
    router->routerAddress().send(toRouterUpdate(*update));
}

void Node::Impl::makeFront()
{
    partitionClient = node::PartitionClient::create(front, settings.node, metrics,
        [this](protocol::Envelope it) { peers->taskAddress().send(node::Outgoing { std::move(it) }); });
    routing::RouterHooks hooks;
    hooks.updateApplied = [this] {
        if (versionToConfirm.value() > 0)
            cell->taskAddress().send(node::OlderConfigsDrained { node::ConfigUser::Router, versionToConfirm });
    };
    hooks.shareIdle = [this](core::PartitionId id) { cell->taskAddress().send(node::SlotsIdle { id }); };
    hooks.idle = [this] {
        if (!std::exchange(isRouterIdleReported, true))
            routerIdle.set_value();
    };
    router = routing::createRouter(front, http::createClient(front, budget.answers),
        node::createClaimClient(front, partitionClient, [this] { return partitionCount; }), metrics, std::move(hooks),
        settings.maxResponseBytes);
    api::ApiDependencies dependencies;
    dependencies.partitionClient = partitionClient;
    dependencies.router = router->routerAddress();
    dependencies.metrics = metrics;
    dependencies.toCell = [this](node::CellMessage message) { cell->taskAddress().send(std::move(message)); };
    dependencies.readPartitions = [this](runtime::Reply<std::vector<partition::PartitionView>> reply) {
        partitions->taskAddress().send(node::ReadPartitions { std::move(reply) });
    };
    api = api::createApi(front, std::move(dependencies), { settings.mayAdministerFromLoopback });
}

void Node::Impl::handleInner(const http::Request& request, http::Responder responder)
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

core::Ret<StartError> Node::Impl::listen()
{
    http::ServerOptions callers;
    callers.listen = settings.callers.address;
    callers.tls = settings.callers.tls;
    callers.maxBodyBytes = settings.maxBodyBytes;
    callers.keptCopies = passedOnCopies;
    frontConnections = http::createConnectionTable(front, budget.callers);
    innerConnections = http::createConnectionTable(control, budget.inner);
    callers.connections = frontConnections;
    auto server = http::createServer(front, callers, [this](http::Request request, http::Responder responder) {
        api->handle(std::move(request), std::move(responder));
    });
    if (!server)
        return core::Failure { StartError { "callers: " + server.error().detail } };
    callersServer = server.value();

    http::ServerOptions inner;
    inner.listen = settings.inner;
    inner.maxBodyBytes = budget.maxInnerBodyBytes;
    inner.connections = innerConnections;
    auto innerResult
        = http::createServer(control, inner, [this](const http::Request& request, http::Responder responder) {
              handleInner(request, std::move(responder));
          });
    if (!innerResult)
        return core::Failure { StartError { "inner: " + innerResult.error().detail } };
    innerServer = innerResult.value();
    return {};
}

void Node::Impl::reportPeriodically()
{
    reportProcess(*metrics);
    innerReport.report(http::usageOf(*innerConnections));
    front->post([this] { frontReport.report(http::usageOf(*frontConnections)); });
    metrics->set(telemetry::Metric::LogLinesDropped, {}, double(telemetry::droppedLogLines()));
    telemetry::flushLog();
    control->callAfter(processReportPeriod, [this] { reportPeriodically(); });
}

core::RetVal<NodePtr, StartError> Node::start(const settings::NodeSettings& settings)
{
    NodePtr node(new Node(std::make_unique<Impl>()));
    Impl& impl = *node->m_impl;
    impl.settings = settings;
    impl.budget
        = budget::serveBudgetFor({ settings.memoryBytes, settings.maxDescriptors }, settings.callers.tls.has_value());
    impl.settings.partition.maxClaimBytes = impl.budget.claimBytes;
    if (auto ret = impl.makeLoops(); !ret)
        return core::Failure { ret.error() };
    impl.makeControl();
    impl.makeFront();
    if (auto ret = impl.listen(); !ret)
        return core::Failure { ret.error() };
    impl.control->post([&impl] {
        impl.partitions->start();
        impl.peers->start();
        impl.cell->start();
        impl.reportPeriodically();
    });
    impl.front->start();
    impl.control->start();
    telemetry::LogLine(telemetry::Severity::Info, "started")
        .with("node", settings.node.value())
        .with("callers", settings.callers.address.text())
        .with("inner", settings.inner.text());
    return node;
}

Node::Node(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Node::~Node()
{
    if (m_impl->front)
        m_impl->front->stop();
    if (m_impl->control)
        m_impl->control->stop();
}

std::uint16_t Node::callersPort() const
{
    return m_impl->callersServer->port();
}

void Node::stop()
{
    Impl& impl = *m_impl;
    telemetry::LogLine(telemetry::Severity::Info, "stopping").with("node", impl.settings.node.value());
    const auto until = std::chrono::steady_clock::now() + impl.settings.stopWithin;
    impl.front->post([&impl] { impl.api->setStopping(); });
    // Requests are still served until the load balancer has noticed that the node is not ready.
    impl.front->post([&impl] {
        impl.front->callAfter(balancerDrainDelay, [&impl] {
            impl.callersServer->drain();
            impl.router->routerAddress().send(routing::StopAccepting {});
        });
    });
    impl.routerIdle.get_future().wait_until(until);
    impl.cell->taskAddress().send(node::Leave {});
    impl.leftCell.get_future().wait_until(until);
    telemetry::LogLine(telemetry::Severity::Info, "stopped").with("node", impl.settings.node.value());
    telemetry::flushLog();
}

} // namespace sardinerun::app

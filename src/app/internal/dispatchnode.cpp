#include "app/dispatchnode.h"

#include "app/internal/connectionreport.h"
#include "app/internal/processreport.h"
#include "budget/processbudget.h"
#include "codec/json.h"
#include "dispatch/adviceproxy.h"
#include "dispatch/callbudget.h"
#include "dispatch/callforwarder.h"
#include "dispatch/configfollower.h"
#include "dispatch/leadertask.h"
#include "http/h2oclient.h"
#include "http/h2oserver.h"
#include "platform/frontcalls.h"
#include "platform/platformports.h"
#include "runtime/eventloop.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

#include <algorithm>
#include <cmath>
#include <future>

namespace sardinerun::app {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

//! The largest message is a submission, whose record takes at most 48 KiB, or a result of an advice request.
constexpr std::size_t maxInnerBodyBytes = std::size_t(512) << 10;
//! No call at the readiness address has a body.
constexpr std::size_t maxReadinessBodyBytes = 4096;
//! The body's text is read at once; CallBudget counts what is kept of it.
constexpr std::size_t keptCopies = 0;
//! All answers of a dispatching node are short, so that its callers need no large send buffers.
constexpr int shortAnswerBufferBytes = 16 << 10;
constexpr core::Duration logFlushPeriod = std::chrono::milliseconds(250);
constexpr core::Duration processReportPeriod = std::chrono::seconds(2);
//! Time between reporting not ready and draining. The load balancer checks readiness once a second and removes a node
//! after two failed checks.
constexpr core::Duration balancerDrainDelay = std::chrono::milliseconds(2300);
constexpr core::Duration idleCheckPeriod = std::chrono::milliseconds(50);
//! Time reserved before the platform kills the process.
constexpr core::Duration stopMargin = std::chrono::milliseconds(700);
//! Candidacy delay of a VM with almost no CPU; a VM with half a core or more has none and so is preferred as leader.
constexpr core::Duration maxCandidacyDelay = std::chrono::milliseconds(600);
constexpr double sufficientCpuShare = 0.5;

core::Duration candidacyDelayOf(double cpuShare)
{
    const double shortfall = std::clamp(1 - cpuShare / sufficientCpuShare, 0.0, 1.0);
    return core::Duration(std::int64_t(double(maxCandidacyDelay.count()) * shortfall));
}

core::MilliCpu vmCpuOf(const settings::DispatchSettings& settings)
{
    return core::MilliCpu(std::llround(settings.cpuShare * 1000));
}

} // namespace

struct DispatchNode::Impl {
    settings::DispatchSettings settings;
    telemetry::MetricsPtr metrics = telemetry::Metrics::create();
    runtime::EventLoopPtr loop;
    budget::DispatchBudget budget;
    http::IHttpClientPtr client;
    store::IRowStorePtr store;
    dispatch::ConfigFollowerPtr configFollower;
    dispatch::LeaderTaskPtr leaderTask;
    dispatch::CallForwarderPtr callForwarder;
    dispatch::AdviceProxyPtr adviceProxy;
    std::optional<dispatch::CallBudget> callersCalls; //!< calls of callers in progress
    std::optional<dispatch::CallBudget> innerCalls; //!< calls that other nodes have passed on
    http::ConnectionTablePtr callersConnections;
    ConnectionReport callersReport { metrics, "callers" };
    http::ConnectionTablePtr innerConnections;
    ConnectionReport innerReport { metrics, "inner" };
    http::ConnectionTablePtr readinessConnections;
    ConnectionReport readinessReport { metrics, "readiness" };
    http::IHttpServerPtr callersServer;
    http::IHttpServerPtr readinessServer;
    http::IHttpServerPtr innerServer;
    std::promise<void> idle;
    bool isStopping = false;
    bool isIdleReported = false;

    using ResultCallback = std::function<void(const workflow::WorkflowResult&)>;

    core::Ret<StartError> makeLoop();
    void makeTasks();
    core::Ret<StartError> listen();
    core::Ret<StartError> listenAt(const core::HostPort& address, std::size_t maxBodyBytes,
        const http::ConnectionTablePtr& table, http::Handler handler, http::IHttpServerPtr& server, const char* name);
    void onLeaderUpdate(const dispatch::LeaderUpdate& update);
    void onConfig(const workflow::QueueConfigPtr& newConfig);
    void forward(workflow::WorkflowCall call, ResultCallback onResult);
    void handleInner(const http::Request& request, http::Responder responder);
    void handleWorkflowCall(const http::Request& request, http::Responder responder);
    void handleAdvicePoll(const http::Request& request, http::Responder responder);
    void handleLeaderQuery(const http::Request& request, http::Responder responder);
    void handleConfigQuery(const http::Request& request, http::Responder responder);
    bool areKeysTrusted() const;
    void flushPeriodically();
    void reportPeriodically();
    void checkIdle();
};

core::Ret<StartError> DispatchNode::Impl::makeLoop()
{
    auto result = runtime::EventLoop::create("node", runtime::systemClock());
    if (!result)
        return core::Failure { StartError { "cannot create the event loop" } };
    loop = result.value();
    return {};
}

void DispatchNode::Impl::makeTasks()
{
    client = http::createClient(loop, budget.answers);
    store = platform::createRowStore(loop, client, settings.store);
    dispatch::ConfigFollowerDependencies configDependencies;
    configDependencies.client = client;
    configDependencies.source = platform::createConfigSource(loop, store);
    configDependencies.self = settings.inner;
    configDependencies.adopted = [this](const workflow::QueueConfigPtr& config) { onConfig(config); };
    configFollower = dispatch::ConfigFollower::create(loop, std::move(configDependencies));
    dispatch::LeaderTaskDependencies leaderDependencies;
    leaderDependencies.store = store;
    leaderDependencies.orders = platform::createWorkerOrders(client);
    leaderDependencies.makeRegistry = [this] { return platform::createWorkerRegistry(loop, store); };
    leaderDependencies.client = client;
    leaderDependencies.metrics = metrics;
    leaderDependencies.self = settings.node;
    leaderDependencies.address = settings.inner;
    leaderDependencies.candidacyDelay = candidacyDelayOf(settings.cpuShare);
    leaderDependencies.vmCpu = vmCpuOf(settings);
    leaderDependencies.times = settings.scheduling;
    leaderDependencies.leaderTimes = settings.lead;
    leaderDependencies.ratePolicy = settings.rates;
    if (!settings.learnsRunTimes)
        leaderDependencies.learnedUses = scheduling::LearnedUses::none();
    leaderDependencies.update = [this](const dispatch::LeaderUpdate& update) { onLeaderUpdate(update); };
    leaderDependencies.nodesKnown
        = [this](const dispatch::KnownNodes& nodes) { configFollower->address().send(nodes); };
    leaderTask = dispatch::LeaderTask::create(loop, std::move(leaderDependencies));
    callForwarder = dispatch::CallForwarder::create(loop, client, leaderTask->address());
    if (settings.advice.port > 0)
        adviceProxy = dispatch::AdviceProxy::create(loop, client, leaderTask->address(),
            platform::createAdviceClient(client, settings.advice), settings.node, settings.inner, vmCpuOf(settings));
}

void DispatchNode::Impl::onLeaderUpdate(const dispatch::LeaderUpdate& update)
{
    callForwarder->address().send(update);
    configFollower->address().send(update);
    if (adviceProxy)
        adviceProxy->address().send(update);
}

void DispatchNode::Impl::onConfig(const workflow::QueueConfigPtr& newConfig)
{
    metrics->set(telemetry::Metric::ConfigVersion, {}, double(newConfig->version.value()));
    leaderTask->address().send(newConfig);
}

core::Ret<StartError> DispatchNode::Impl::listenAt(const core::HostPort& address, std::size_t maxBodyBytes,
    const http::ConnectionTablePtr& table, http::Handler handler, http::IHttpServerPtr& server, const char* name)
{
    http::ServerOptions options;
    options.listen = address;
    options.maxBodyBytes = maxBodyBytes;
    options.connections = table;
    options.sendBufferBytes = shortAnswerBufferBytes;
    options.keptCopies = keptCopies;
    options.refusedRequest = http::Executed::Unknown; // an earlier submission with the same id may have been accepted
    auto result = http::createServer(loop, options, std::move(handler));
    if (!result)
        return core::Failure { StartError { std::string(name) + ": " + result.error().detail } };
    server = result.value();
    return {};
}

core::Ret<StartError> DispatchNode::Impl::listen()
{
    // Requests in service may take all connections of a table, and they are never closed. With limits of their own, the
    // other nodes and the load balancer are served all the same.
    callersConnections = http::createConnectionTable(loop, budget.callers);
    innerConnections = http::createConnectionTable(loop, budget.inner);
    readinessConnections = http::createConnectionTable(loop, budget.readiness);
    const auto forwardCall
        = [this](workflow::WorkflowCall call, std::function<void(const workflow::WorkflowResult&)> onResult) {
              forward(std::move(call), std::move(onResult));
          };
    auto front = platform::createFrontHandler(
        [this] { return configFollower->config(); }, [this] { return areKeysTrusted(); }, forwardCall);
    if (auto ret = listenAt(
            settings.callers, settings.maxBodyBytes, callersConnections, std::move(front), callersServer, "callers");
        !ret)
        return ret;
    auto readiness = platform::createReadinessHandler([this] { return configFollower->config() && !isStopping; });
    if (auto ret = listenAt(settings.readiness, maxReadinessBodyBytes, readinessConnections, std::move(readiness),
            readinessServer, "readiness");
        !ret)
        return ret;
    return listenAt(
        settings.inner, maxInnerBodyBytes, innerConnections,
        [this](const http::Request& request, http::Responder responder) { handleInner(request, std::move(responder)); },
        innerServer, "inner");
}

void DispatchNode::Impl::handleInner(const http::Request& request, http::Responder responder)
{
    using InnerHandler = void (Impl::*)(const http::Request&, http::Responder);
    static const std::map<std::string, InnerHandler> handlers { { protocol::workflowCallPath,
                                                                    &Impl::handleWorkflowCall },
        { protocol::advicePollPath, &Impl::handleAdvicePoll }, { protocol::configQueryPath, &Impl::handleConfigQuery },
        { protocol::leaderQueryPath, &Impl::handleLeaderQuery } };
    if (request.path == "/metrics") {
        responder.send({ 200, { { "content-type", "text/plain; version=0.0.4" } }, metrics->text(), {} });
        return;
    }
    const auto it = handlers.find(request.path);
    if (it == handlers.end()) {
        responder.send({ 404, {}, "", {} });
        return;
    }
    try {
        (this->*it->second)(request, responder);
    } catch (const codec::DecodeError& error) {
        LogLine(Severity::Warning, "inner-unreadable").with("path", request.path).with("why", error.what());
        responder.send({ 400, {}, "", {} });
    }
}

void DispatchNode::Impl::forward(workflow::WorkflowCall call, ResultCallback onResult)
{
    const dispatch::CallBudget::Share share = callersCalls->tryTake(call);
    if (!share) {
        onResult(dispatch::tooManyCalls(call.kind));
        return;
    }
    auto reply = [share, onResult = std::move(onResult)](const workflow::WorkflowResult& it) { onResult(it); };
    callForwarder->address().send(
        dispatch::LeaderCall { std::move(call), runtime::Reply<workflow::WorkflowResult>(loop, std::move(reply)) });
}

void DispatchNode::Impl::handleWorkflowCall(const http::Request& request, http::Responder responder)
{
    workflow::WorkflowCall call = protocol::decodeCall(request.body);
    const dispatch::CallBudget::Share share = innerCalls->tryTake(call);
    auto reply = [share, responder](const workflow::WorkflowResult& answer) mutable {
        responder.send({ 200, {}, protocol::encodeResult(answer), {} });
    };
    if (!share) {
        reply(dispatch::tooManyCalls(call.kind));
        return;
    }
    leaderTask->address().send(dispatch::LeaderCall { std::move(call), dispatch::callReply(loop, std::move(reply)) });
}

void DispatchNode::Impl::handleAdvicePoll(const http::Request& request, http::Responder responder)
{
    auto reply = [responder](const protocol::AdviceAssignment& assignment) mutable {
        responder.send({ 200, {}, protocol::encodeAdviceAssignment(assignment), {} });
    };
    leaderTask->address().send(dispatch::PollAdvice {
        protocol::decodeAdvicePoll(request.body), runtime::Reply<protocol::AdviceAssignment>(loop, std::move(reply)) });
}

void DispatchNode::Impl::handleLeaderQuery(const http::Request& request, http::Responder responder)
{
    const protocol::LeaderHint requester = protocol::decodeLeaderHint(request.body);
    auto reply = [responder](const protocol::LeaderHint& hint) mutable {
        responder.send({ 200, {}, protocol::encodeLeaderHint(hint), {} });
    };
    leaderTask->address().send(dispatch::LeaderQuery { requester.isLeading ? requester.leader : std::nullopt,
        requester.isRejectedByStore, runtime::Reply<protocol::LeaderHint>(loop, std::move(reply)) });
}

void DispatchNode::Impl::handleConfigQuery(const http::Request& request, http::Responder responder)
{
    auto reply = [responder](const protocol::ConfigAnswer& answer) mutable {
        responder.send({ 200, {}, protocol::encodeConfigAnswer(answer), {} });
    };
    configFollower->address().send(dispatch::ConfigRequest {
        protocol::decodeConfigQuery(request.body), runtime::Reply<protocol::ConfigAnswer>(loop, std::move(reply)) });
}

bool DispatchNode::Impl::areKeysTrusted() const
{
    return !settings.isRevokeStrict || loop->now() - configFollower->confirmedAt() <= settings.revokeWithin;
}

void DispatchNode::Impl::flushPeriodically()
{
    telemetry::flushLog();
    loop->callAfter(logFlushPeriod, [this] { flushPeriodically(); });
}

void DispatchNode::Impl::reportPeriodically()
{
    reportProcess(*metrics);
    callersReport.report(http::usageOf(*callersConnections), callersCalls->refused());
    innerReport.report(http::usageOf(*innerConnections), innerCalls->refused());
    readinessReport.report(http::usageOf(*readinessConnections));
    metrics->set(telemetry::Metric::HttpAnswersCut, {}, double(client->tooLarge()));
    metrics->set(telemetry::Metric::LogLinesDropped, {}, double(telemetry::droppedLogLines()));
    loop->callAfter(processReportPeriod, [this] { reportPeriodically(); });
}

void DispatchNode::Impl::checkIdle()
{
    if (callersServer->inProgress() == 0 && !std::exchange(isIdleReported, true)) {
        idle.set_value();
        return;
    }
    loop->callAfter(idleCheckPeriod, [this] { checkIdle(); });
}

core::RetVal<DispatchNodePtr, StartError> DispatchNode::start(const settings::DispatchSettings& settings)
{
    DispatchNodePtr node(new DispatchNode(std::make_unique<Impl>()));
    Impl& impl = *node->m_impl;
    impl.settings = settings;
    impl.budget = budget::dispatchBudgetFor({ settings.memoryBytes, settings.maxDescriptors });
    impl.callersCalls.emplace(impl.budget.callersCallBytes);
    impl.innerCalls.emplace(impl.budget.innerCallBytes);
    if (auto ret = impl.makeLoop(); !ret)
        return core::Failure { ret.error() };
    impl.makeTasks();
    if (auto ret = impl.listen(); !ret)
        return core::Failure { ret.error() };
    impl.loop->post([&impl] {
        impl.configFollower->start();
        impl.leaderTask->start();
        impl.flushPeriodically();
        impl.reportPeriodically();
    });
    impl.loop->start();
    LogLine(Severity::Info, "started")
        .with("node", settings.node.value())
        .with("callers", settings.callers.text())
        .with("inner", settings.inner.text())
        .with("store", settings.store.text());
    return node;
}

DispatchNode::DispatchNode(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

DispatchNode::~DispatchNode()
{
    if (m_impl->loop)
        m_impl->loop->stop();
}

void DispatchNode::stop()
{
    Impl& impl = *m_impl;
    LogLine(Severity::Info, "stopping").with("node", impl.settings.node.value());
    const auto until = std::chrono::steady_clock::now() + impl.settings.stopWithin - stopMargin;
    impl.loop->post([&impl] {
        impl.isStopping = true;
        impl.leaderTask->address().send(dispatch::StepDown { runtime::Reply<bool>(impl.loop, [](bool) {}) });
    });
    // Requests are still served until the load balancer has noticed that the node is not ready.
    impl.loop->post([&impl] {
        impl.loop->callAfter(balancerDrainDelay, [&impl] {
            impl.callersServer->drain();
            impl.checkIdle();
        });
    });
    impl.idle.get_future().wait_until(until);
    LogLine(Severity::Info, "stopped").with("node", impl.settings.node.value());
    telemetry::flushLog();
}

} // namespace sardinerun::app

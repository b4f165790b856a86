#include "app/dispatchnode.h"

#include "app/internal/processreport.h"
#include "codec/json.h"
#include "dispatch/adviceproxy.h"
#include "dispatch/callforwarder.h"
#include "dispatch/leadertask.h"
#include "http/h2oclient.h"
#include "http/h2oserver.h"
#include "platform/frontcalls.h"
#include "platform/platformports.h"
#include "runtime/eventloop.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

#include <algorithm>
#include <future>

namespace sardinerun::app {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

constexpr std::size_t maxInnerBodyBytes = std::size_t(8) << 20;
constexpr core::Duration logFlushPeriod = std::chrono::milliseconds(250);
constexpr core::Duration processReportPeriod = std::chrono::seconds(2);
//! The balancer asks once a second and takes a node out after two misses.
constexpr core::Duration balancerPause = std::chrono::milliseconds(2300);
constexpr core::Duration idleCheckPeriod = std::chrono::milliseconds(50);
//! Kept free before the platform kills the process.
constexpr core::Duration stopMargin = std::chrono::milliseconds(700);
//! A VM with half a core or more is preferred as leader over one with next to nothing by this much.
constexpr core::Duration longestHandicap = std::chrono::milliseconds(600);
constexpr double enoughProcessor = 0.5;

core::Duration candidacyDelayOf(double processorShare)
{
    const double lack = std::clamp(1 - processorShare / enoughProcessor, 0.0, 1.0);
    return core::Duration(std::int64_t(double(longestHandicap.count()) * lack));
}

} // namespace

struct DispatchNode::Parts {
    settings::DispatchSettings settings;
    telemetry::MetricsPtr metrics = telemetry::Metrics::create();
    runtime::EventLoopPtr loop;
    http::IHttpClientPtr client;
    store::IRowStorePtr store;
    workflow::IConfigSourcePtr configSource;
    workflow::QueueConfigPtr config;
    dispatch::LeaderTaskPtr lead;
    dispatch::CallForwarderPtr callForwarder;
    dispatch::AdviceProxyPtr adviceProxy;
    http::IHttpServerPtr callersServer;
    http::IHttpServerPtr readinessServer;
    http::IHttpServerPtr innerServer;
    std::promise<void> idle;
    bool isStopping = false;
    bool isIdleTold = false;

    core::Ret<StartError> makeLoop();
    void makeTasks();
    core::Ret<StartError> listen();
    core::Ret<StartError> listenAt(const core::HostPort& at, std::size_t maxBodyBytes, http::Handler handler,
        http::IHttpServerPtr& server, const char* name);
    void onNews(const dispatch::LeaderUpdate& update);
    void onConfig(const workflow::QueueConfigPtr& update);
    void handleInner(const http::Request& request, http::Responder responder);
    void handleWork(const http::Request& request, http::Responder responder);
    void handleLend(const http::Request& request, http::Responder responder);
    void handleLeading(const http::Request& request, http::Responder responder);
    void flushForever();
    void reportForever();
    void checkIdle();
};

core::Ret<StartError> DispatchNode::Parts::makeLoop()
{
    auto made = runtime::EventLoop::create("node", runtime::systemClock());
    if (!made)
        return core::Failure { StartError { "no event loop can be made" } };
    loop = made.value();
    return {};
}

void DispatchNode::Parts::makeTasks()
{
    client = http::createClient(loop);
    store = platform::createRowStore(loop, client, settings.store);
    configSource = platform::createConfigSource(loop, store);
    dispatch::LeaderTaskDependencies leaderDependencies;
    leaderDependencies.store = store;
    leaderDependencies.orders = platform::createWorkerOrders(client, settings.scheduling.orderTimeout);
    leaderDependencies.makeRegistry = [this] { return platform::createWorkerRegistry(loop, store); };
    leaderDependencies.client = client;
    leaderDependencies.metrics = metrics;
    leaderDependencies.self = settings.node;
    leaderDependencies.address = settings.inner;
    leaderDependencies.candidacyDelay = candidacyDelayOf(settings.processorShare);
    leaderDependencies.times = settings.scheduling;
    leaderDependencies.leaderTimes = settings.lead;
    leaderDependencies.update = [this](const dispatch::LeaderUpdate& update) { onNews(update); };
    lead = dispatch::LeaderTask::create(loop, std::move(leaderDependencies));
    callForwarder = dispatch::CallForwarder::create(loop, client, lead->address());
    if (settings.advice.port > 0)
        adviceProxy = dispatch::AdviceProxy::create(loop, client, lead->address(),
            platform::createAdviceClient(client, settings.advice), settings.node, settings.inner);
}

void DispatchNode::Parts::onNews(const dispatch::LeaderUpdate& update)
{
    callForwarder->address().send(update);
    if (adviceProxy)
        adviceProxy->address().send(update);
}

void DispatchNode::Parts::onConfig(const workflow::QueueConfigPtr& update)
{
    config = update;
    metrics->set(telemetry::Metric::ConfigVersion, {}, double(update->version.value()));
    lead->address().send(update);
}

core::Ret<StartError> DispatchNode::Parts::listenAt(const core::HostPort& at, std::size_t maxBodyBytes,
    http::Handler handler, http::IHttpServerPtr& server, const char* name)
{
    http::ServerOptions options;
    options.listen = at;
    options.maxBodyBytes = maxBodyBytes;
    auto made = http::createServer(loop, options, std::move(handler));
    if (!made)
        return core::Failure { StartError { std::string(name) + ": " + made.error().detail } };
    server = made.value();
    return {};
}

core::Ret<StartError> DispatchNode::Parts::listen()
{
    const auto ask
        = [this](workflow::WorkflowCall call, std::function<void(const workflow::WorkflowResult&)> answered) {
              callForwarder->address().send(dispatch::LeaderCall {
                  std::move(call), runtime::Reply<workflow::WorkflowResult>(loop, std::move(answered)) });
          };
    auto front = platform::createFrontHandler([this] { return config; }, ask);
    if (auto ret = listenAt(settings.callers, settings.maxBodyBytes, std::move(front), callersServer, "callers"); !ret)
        return ret;
    auto readiness = platform::createReadinessHandler([this] { return config && !isStopping; });
    if (auto ret
        = listenAt(settings.readiness, settings.maxBodyBytes, std::move(readiness), readinessServer, "readiness");
        !ret)
        return ret;
    return listenAt(
        settings.inner, maxInnerBodyBytes,
        [this](const http::Request& request, http::Responder responder) { handleInner(request, std::move(responder)); },
        innerServer, "inner");
}

void DispatchNode::Parts::handleInner(const http::Request& request, http::Responder responder)
{
    using Handle = void (Parts::*)(const http::Request&, http::Responder);
    static const std::map<std::string, Handle> handlers { { protocol::workflowCallPath, &Parts::handleWork },
        { protocol::advicePollPath, &Parts::handleLend }, { protocol::leaderQueryPath, &Parts::handleLeading } };
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

void DispatchNode::Parts::handleWork(const http::Request& request, http::Responder responder)
{
    auto reply = [responder](const workflow::WorkflowResult& answer) mutable {
        responder.send({ 200, {}, protocol::encodeResult(answer), {} });
    };
    lead->address().send(dispatch::LeaderCall {
        protocol::decodeCall(request.body), runtime::Reply<workflow::WorkflowResult>(loop, std::move(reply)) });
}

void DispatchNode::Parts::handleLend(const http::Request& request, http::Responder responder)
{
    auto reply = [responder](const protocol::AdviceAssignment& turn) mutable {
        responder.send({ 200, {}, protocol::encodeAdviceAssignment(turn), {} });
    };
    lead->address().send(dispatch::PollAdvice {
        protocol::decodeAdvicePoll(request.body), runtime::Reply<protocol::AdviceAssignment>(loop, std::move(reply)) });
}

void DispatchNode::Parts::handleLeading(const http::Request& request, http::Responder responder)
{
    const protocol::LeaderHint requester = protocol::decodeLeaderHint(request.body);
    auto reply = [responder](const protocol::LeaderHint& hint) mutable {
        responder.send({ 200, {}, protocol::encodeLeaderHint(hint), {} });
    };
    lead->address().send(dispatch::LeaderQuery { requester.isLeading ? requester.leader : std::nullopt,
        requester.isRejectedByStore, runtime::Reply<protocol::LeaderHint>(loop, std::move(reply)) });
}

void DispatchNode::Parts::flushForever()
{
    telemetry::flushLog();
    loop->callAfter(logFlushPeriod, [this] { flushForever(); });
}

void DispatchNode::Parts::reportForever()
{
    reportProcess(*metrics);
    metrics->set(telemetry::Metric::LogLinesDropped, {}, double(telemetry::droppedLogLines()));
    loop->callAfter(processReportPeriod, [this] { reportForever(); });
}

void DispatchNode::Parts::checkIdle()
{
    if (callersServer->inProgress() == 0 && !std::exchange(isIdleTold, true)) {
        idle.set_value();
        return;
    }
    loop->callAfter(idleCheckPeriod, [this] { checkIdle(); });
}

core::RetVal<DispatchNodePtr, StartError> DispatchNode::start(const settings::DispatchSettings& settings)
{
    DispatchNodePtr node(new DispatchNode(std::make_unique<Parts>()));
    Parts& parts = *node->m_parts;
    parts.settings = settings;
    if (auto ret = parts.makeLoop(); !ret)
        return core::Failure { ret.error() };
    parts.makeTasks();
    if (auto ret = parts.listen(); !ret)
        return core::Failure { ret.error() };
    parts.loop->post([&parts] {
        parts.configSource->start([&parts](const workflow::QueueConfigPtr& update) { parts.onConfig(update); });
        parts.lead->start();
        parts.flushForever();
        parts.reportForever();
    });
    parts.loop->start();
    LogLine(Severity::Info, "started")
        .with("node", settings.node.value())
        .with("callers", settings.callers.text())
        .with("inner", settings.inner.text())
        .with("store", settings.store.text());
    return node;
}

DispatchNode::DispatchNode(std::unique_ptr<Parts> parts)
    : m_parts(std::move(parts))
{
}

DispatchNode::~DispatchNode()
{
    if (m_parts->loop)
        m_parts->loop->stop();
}

void DispatchNode::stop()
{
    Parts& parts = *m_parts;
    LogLine(Severity::Info, "stopping").with("node", parts.settings.node.value());
    const auto until = std::chrono::steady_clock::now() + parts.settings.stopWithin - stopMargin;
    parts.loop->post([&parts] {
        parts.isStopping = true;
        parts.lead->address().send(dispatch::StepDown { runtime::Reply<bool>(parts.loop, [](bool) {}) });
    });
    // The balancer is given time to see that the node is not ready; what comes until then is still served.
    parts.loop->post([&parts] {
        parts.loop->callAfter(balancerPause, [&parts] {
            parts.callersServer->drain();
            parts.checkIdle();
        });
    });
    parts.idle.get_future().wait_until(until);
    LogLine(Severity::Info, "stopped").with("node", parts.settings.node.value());
    telemetry::flushLog();
}

} // namespace sardinerun::app

#include "core/hashing.h"
#include "routing/internal/requestqueue.h"
#include "routing/internal/retrybudget.h"
#include "routing/internal/runnerbook.h"
#include "routing/internal/strategizer.h"
#include "routing/irouter.h"
#include "telemetry/log.h"

#include <algorithm>
#include <array>

namespace sardinerun::routing {

namespace {

constexpr int maxAttempts = 3;
constexpr std::size_t maxPendingClaims = 4000;
constexpr core::Duration housekeeping = std::chrono::milliseconds(50);
constexpr core::Duration askRunners = std::chrono::seconds(1);
constexpr core::Duration askTimeout = std::chrono::milliseconds(900);
constexpr core::Duration retryWhenFull = std::chrono::seconds(1);
constexpr core::Duration retryInProgress = std::chrono::seconds(1);
//! Answers above this size are not kept for a resend.
constexpr std::size_t maxKeptAnswer = std::size_t(64) << 10;

constexpr std::array<std::string_view, 9> hopHeaders { "connection", "keep-alive", "proxy-authenticate",
    "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length" };

bool isHopHeader(const std::string& name)
{
    return std::find(hopHeaders.begin(), hopHeaders.end(), name) != hopHeaders.end();
}

//! One request from its arrival to its answer.
struct Request {
    RequestId id;
    ServiceRequest in;
    core::TimePoint arrivedAt;
    core::TimePoint deadline;
    core::TimePoint startedAt;
    std::optional<once::OnceKey> key; //!< of a request that may not be repeated
    Strategizer strategizer { false, 1 };
    std::set<core::VmId> tried;
    telemetry::TraceContext hop;
};
using RequestPtr = std::shared_ptr<Request>;

//! The router's state for one service.
struct ServiceState {
    RunnerBook runners;
    RequestQueue queue;
    RetryBudget budget;
};

class Router : public runtime::Task<RouterMessage>, public IRouter {
public:
    Router(runtime::ILoopPtr loop, http::IHttpClientPtr client, IOncePortPtr once, telemetry::MetricsPtr metrics,
        RouterHooks hooks, std::size_t maxResponseBytes)
        : Task(std::move(loop))
        , m_client(std::move(client))
        , m_once(std::move(once))
        , m_metrics(std::move(metrics))
        , m_hooks(std::move(hooks))
        , m_maxResponseBytes(maxResponseBytes)
    {
    }

    void start()
    {
        every(housekeeping, [this] { onHousekeeping(); });
        every(askRunners, [this] { askOwnWords(); });
    }

    runtime::Address<RouterMessage> routerAddress() override { return address(); }

    void receive(RouterMessage message) override
    {
        std::visit([this](auto& it) { on(it); }, message);
    }

private:
    void on(ServiceRequest& message);
    void on(RouterNews& message);
    void on(StopTaking&)
    {
        m_isStopping = true;
        tellIdle();
    }

    bool isActing() const { return now() < m_news.actingUntil; }
    std::int64_t usableSlots(const ServiceState& state) const;
    ServiceState& stateOf(const RequestPtr& request) { return m_services[request->in.service.id]; }
    void applyPolicy();

    void claim(const RequestPtr& request);
    void onClaimed(const RequestPtr& request, once::ClaimResult result, const once::StoredAnswer& answer);
    void admit(const RequestPtr& request);
    void startNext(ServiceState& state);
    bool start(const RequestPtr& request);
    void send(const RequestPtr& request, const platform::VmInfo& runner);
    void onResult(
        const RequestPtr& request, const core::VmId& runner, core::TimePoint sentAt, const http::ClientResult& result);
    Attempt toAttempt(const http::ClientResult& result) const;
    void retry(const RequestPtr& request);
    void deliver(const RequestPtr& request, const http::Response& response);
    void fail(const RequestPtr& request, FailureAnswer answer);
    void finish(const RequestPtr& request, http::Response response, const char* outcome);
    void onHousekeeping();
    void askOwnWords();
    void tellIdle();
    void tellIdleShares();

    http::IHttpClientPtr m_client;
    IOncePortPtr m_once;
    telemetry::MetricsPtr m_metrics;
    RouterHooks m_hooks;
    std::size_t m_maxResponseBytes;
    RouterNews m_news;
    bool m_wasActing = false;
    std::map<core::ServiceId, ServiceState> m_services;
    std::map<RequestId, RequestPtr> m_waiting;
    std::size_t m_open = 0; //!< requests without an answer
    std::size_t m_pendingClaims = 0;
    std::uint64_t m_lastId = 0;
    bool m_isStopping = false;
};

void Router::on(RouterNews& message)
{
    m_news = std::move(message);
    std::map<core::ServiceId, std::vector<platform::VmInfo>> runners;
    for (const platform::VmInfo& it : m_news.runners)
        runners[it.service].push_back(it);
    for (auto& [id, state] : m_services)
        runners.try_emplace(id);
    for (const auto& [id, list] : runners)
        m_services[id].runners.update(list, m_news.shares, m_news.partitionCount);
    applyPolicy();
    m_hooks.newsTaken();
    tellIdleShares();
}

void Router::applyPolicy()
{
    m_wasActing = isActing();
    const configuration::Preset& preset = m_wasActing ? m_news.acting : m_news.between;
    for (auto& [id, state] : m_services) {
        state.queue.setPolicy(preset.requests, preset.shares, preset.mayBorrow);
        state.budget.setPercent(preset.requests.retryPercent);
    }
}

std::int64_t Router::usableSlots(const ServiceState& state) const
{
    return now() < m_news.sharesUntil ? state.runners.usableSlots(now()) : 0;
}

// --- Admission

void Router::on(ServiceRequest& message)
{
    auto request = std::make_shared<Request>();
    request->id = RequestId(++m_lastId);
    request->in = std::move(message);
    request->arrivedAt = now();
    request->deadline = now() + request->in.route.timeout;
    request->hop = request->in.trace.child();
    request->strategizer = Strategizer(request->in.route.isRepeatable, maxAttempts);
    ++m_open;
    if (m_isStopping) {
        fail(request, { Failure::Stopping, Ran::No, std::chrono::seconds(1) });
        return;
    }
    if (request->in.route.isRepeatable)
        admit(request);
    else
        claim(request);
}

void Router::claim(const RequestPtr& request)
{
    const auto key = http::findHeader(request->in.request.headers, "idempotency-key");
    if (!key || key->empty() || key->size() > 200) {
        fail(request, { Failure::KeyMissing, Ran::No, std::nullopt });
        return;
    }
    // Without a look at the claims nothing true can be said of earlier sendings of this key.
    if (m_pendingClaims >= maxPendingClaims) {
        fail(request, { Failure::Overloaded, Ran::Unknown, retryWhenFull });
        return;
    }
    ++m_pendingClaims;
    const http::Request& in = request->in.request;
    const std::string identity = request->in.service.id.value() + "\n" + in.method + "\n" + request->in.path + "\n"
        + in.query + "\n" + in.body;
    request->key = once::OnceKey { request->in.team, core::IdempotencyKey(std::string(*key)) };
    m_once->claim(*request->key, core::stableHash(identity),
        [this, request](
            once::ClaimResult result, const once::StoredAnswer& answer) { onClaimed(request, result, answer); });
}

void Router::onClaimed(const RequestPtr& request, once::ClaimResult result, const once::StoredAnswer& answer)
{
    using Result = once::ClaimResult;
    --m_pendingClaims;
    if (result == Result::Granted) {
        admit(request);
        return;
    }
    const bool isReplay = result == Result::Replayed && answer.isBodyKept;
    if (isReplay) {
        http::Response response { answer.status, { { "idempotency-replayed", "true" } }, answer.body };
        if (!answer.contentType.empty())
            response.headers.push_back({ "content-type", answer.contentType });
        request->key.reset();
        finish(request, std::move(response), "replayed");
        return;
    }
    static const std::map<Result, FailureAnswer> answers {
        { Result::Replayed, { Failure::AnswerLost, Ran::Yes, std::nullopt } },
        { Result::InProgress, { Failure::InProgress, Ran::Unknown, retryInProgress } },
        { Result::Unknown, { Failure::OutcomeUnknown, Ran::Unknown, std::nullopt } },
        { Result::Mismatch, { Failure::KeyMismatch, Ran::No, std::nullopt } },
        { Result::NotKept, { Failure::NotKept, Ran::No, std::chrono::seconds(5) } },
    };
    request->key.reset(); // the claim is another's, or there is none
    fail(request, answers.at(result));
}

void Router::admit(const RequestPtr& request)
{
    ServiceState& state = stateOf(request);
    state.budget.onRequest();
    const std::int64_t slots = usableSlots(state);
    const jobs::Urgency urgency = request->in.route.urgency;
    if (slots == 0) {
        fail(request, { Failure::NoRunner, Ran::No, retryWhenFull });
        return;
    }
    if (state.queue.mayStart(urgency, slots) && start(request))
        return;
    if (!state.queue.mayWait(urgency, slots)) {
        fail(request, { Failure::Overloaded, Ran::No, retryWhenFull });
        return;
    }
    m_waiting.emplace(request->id, request);
    state.queue.push(urgency, request->id, request->deadline);
}

void Router::startNext(ServiceState& state)
{
    while (const auto next = state.queue.pop(usableSlots(state), now())) {
        const auto it = m_waiting.find(next->id);
        if (it == m_waiting.end())
            continue;
        const RequestPtr request = it->second;
        m_waiting.erase(it);
        if (next->isLate)
            fail(request, { Failure::TimedOut, Ran::No, retryWhenFull });
        else if (!start(request))
            fail(request, { Failure::NoRunner, Ran::No, retryWhenFull });
    }
}

// --- Exchanges with runners

bool Router::start(const RequestPtr& request)
{
    ServiceState& state = stateOf(request);
    auto runner = state.runners.take(request->tried, now());
    if (!runner && !request->tried.empty())
        runner = state.runners.take({}, now());
    if (!runner)
        return false;
    state.queue.onStarted(request->in.route.urgency);
    if (request->tried.empty()) {
        const double waited = std::chrono::duration<double>(now() - request->arrivedAt).count();
        m_metrics->observe(
            telemetry::Metric::RequestWaitSeconds, { { "service", request->in.service.id.value() } }, waited);
    }
    request->tried.insert(*runner);
    send(request, *state.runners.find(*runner));
    return true;
}

void Router::send(const RequestPtr& request, const platform::VmInfo& runner)
{
    const http::Request& in = request->in.request;
    http::ClientRequest out;
    out.to = runner.address;
    out.method = in.method;
    out.target = request->in.path + (in.query.empty() ? "" : "?" + in.query);
    for (const http::Header& it : in.headers) {
        if (!isHopHeader(it.name) && it.name != "traceparent" && it.name != "authorization")
            out.headers.push_back(it);
    }
    out.headers.push_back({ "traceparent", request->hop.header() });
    out.headers.push_back({ "x-forwarded-host", in.authority });
    out.body = in.body;
    out.timeout = request->deadline - now();
    out.maxResponseBytes = m_maxResponseBytes;
    request->startedAt = now();
    auto self = weak_from_this();
    m_client->send(
        std::move(out), [this, self, request, id = runner.id, sentAt = now()](const http::ClientResult& result) {
            if (auto keep = self.lock())
                onResult(request, id, sentAt, result);
        });
}

Attempt Router::toAttempt(const http::ClientResult& result) const
{
    Attempt attempt;
    if (!result) {
        attempt.result = result.error().mayBeSent ? Attempt::Result::Broken : Attempt::Result::NotSent;
        return attempt;
    }
    attempt.status = result.value().status;
    const auto state = http::findHeader(result.value().headers, runnerStateHeader);
    attempt.isRunnerLeaving = state && *state == runnerLeaving;
    const bool isRefused = attempt.status == 503 && state && (*state == runnerLeaving || *state == runnerBusy);
    attempt.result = isRefused ? Attempt::Result::Refused : Attempt::Result::Answered;
    return attempt;
}

void Router::onResult(
    const RequestPtr& request, const core::VmId& runner, core::TimePoint sentAt, const http::ClientResult& result)
{
    ServiceState& state = stateOf(request);
    const Attempt attempt = toAttempt(result);
    const core::Duration took = now() - sentAt;
    state.runners.giveBack(runner, attempt, took, now());
    state.queue.onEnded(request->in.route.urgency, took);
    telemetry::writeSpan({ request->hop, request->in.trace.spanId, "runner", took, runner.value() });
    const bool isFinal = attempt.result == Attempt::Result::Answered || now() >= request->deadline;
    switch (request->strategizer.decide(attempt, !isFinal && state.budget.take())) {
    case Action::Deliver:
        deliver(request, result.value());
        break;
    case Action::Retry:
        retry(request);
        break;
    case Action::FailUnrun:
        fail(request, { Failure::Overloaded, Ran::No, retryWhenFull });
        break;
    case Action::FailUnknown: {
        const bool isTimeout = !result && result.error().code == http::ClientError::Code::TimedOut;
        const bool isRepeatable = request->in.route.isRepeatable;
        const Failure failure = isTimeout ? Failure::TimedOut
            : isRepeatable                ? Failure::RunnerFailed
                                          : Failure::OutcomeUnknown;
        fail(request, { failure, Ran::Unknown, std::nullopt });
        break;
    }
    }
    startNext(state);
    tellIdleShares();
}

void Router::retry(const RequestPtr& request)
{
    request->hop = request->in.trace.child();
    ServiceState& state = stateOf(request);
    if (state.queue.mayStart(request->in.route.urgency, usableSlots(state)) && start(request))
        return;
    m_waiting.emplace(request->id, request);
    state.queue.push(request->in.route.urgency, request->id, request->deadline);
}

// --- Answers

void Router::deliver(const RequestPtr& request, const http::Response& from)
{
    http::Response response { from.status, {}, from.body };
    std::string contentType;
    for (const http::Header& it : from.headers) {
        if (isHopHeader(it.name) || it.name == runnerStateHeader)
            continue;
        if (it.name == "content-type")
            contentType = it.value;
        response.headers.push_back(it);
    }
    if (request->key) {
        const bool isKept = from.body.size() <= maxKeptAnswer;
        m_once->finish(*request->key, { from.status, contentType, isKept ? from.body : "", isKept });
        request->key.reset();
    }
    finish(request, std::move(response), "answered");
}

void Router::fail(const RequestPtr& request, FailureAnswer answer)
{
    if (request->key && answer.ran == Ran::No)
        m_once->abandon(*request->key);
    if (request->key && answer.ran != Ran::No)
        m_once->leaveOpen(*request->key);
    request->key.reset();
    // The names of the outcomes on the metric.
    static constexpr std::array<const char*, 3> outcomes { "refused", "failed", "unknown" };
    finish(request, toResponse(answer), outcomes[static_cast<std::size_t>(answer.ran)]);
}

void Router::finish(const RequestPtr& request, http::Response response, const char* outcome)
{
    const std::string& service = request->in.service.id.value();
    const core::Duration took = now() - request->arrivedAt;
    m_metrics->add(telemetry::Metric::Requests,
        { { "service", service }, { "urgency", jobs::nameOf(request->in.route.urgency) }, { "outcome", outcome } });
    m_metrics->observe(
        telemetry::Metric::RequestSeconds, { { "service", service } }, std::chrono::duration<double>(took).count());
    telemetry::writeSpan({ request->in.trace, "", "request", took, service + " " + outcome });
    response.headers.push_back({ "x-request-id", request->in.trace.traceId });
    request->in.responder.send(std::move(response));
    --m_open;
    tellIdle();
}

// --- Housekeeping

void Router::onHousekeeping()
{
    if (m_wasActing != isActing())
        applyPolicy();
    for (auto& [id, state] : m_services) {
        startNext(state); // late requests, and slots of runners whose circuit has closed
        m_metrics->set(
            telemetry::Metric::RequestsInProgress, { { "service", id.value() } }, double(state.runners.totalInUse()));
    }
    tellIdleShares();
}

void Router::askOwnWords()
{
    for (auto& [id, state] : m_services) {
        for (const platform::VmInfo& it : state.runners.own()) {
            http::ClientRequest request;
            request.to = it.address;
            request.target = "/runner-state";
            request.timeout = askTimeout;
            auto self = weak_from_this();
            m_client->send(
                std::move(request), [this, self, service = id, runner = it.id](const http::ClientResult& result) {
                    auto keep = self.lock();
                    if (!keep || !result)
                        return;
                    const auto word = http::findHeader(result.value().headers, runnerStateHeader);
                    m_services[service].runners.setOwnWord(runner, word && *word == runnerLeaving);
                });
        }
    }
}

void Router::tellIdle()
{
    if (m_isStopping && m_open == 0)
        m_hooks.idle();
}

void Router::tellIdleShares()
{
    std::set<core::PartitionId> all = m_news.shares;
    all.insert(m_news.releasing.begin(), m_news.releasing.end());
    for (const core::PartitionId share : m_news.releasing) {
        const auto isIdle
            = [&](const auto& it) { return it.second.runners.isShareIdle(share, all, m_news.partitionCount); };
        if (std::all_of(m_services.begin(), m_services.end(), isIdle))
            m_hooks.shareIdle(share);
    }
}

} // namespace

IRouterPtr createRouter(runtime::ILoopPtr loop, http::IHttpClientPtr client, IOncePortPtr once,
    telemetry::MetricsPtr metrics, RouterHooks hooks, std::size_t maxResponseBytes)
{
    auto router = std::make_shared<Router>(
        std::move(loop), std::move(client), std::move(once), std::move(metrics), std::move(hooks), maxResponseBytes);
    router->start();
    return router;
}

} // namespace sardinerun::routing

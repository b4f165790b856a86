#include "routing/internal/router.h"

#include "core/hashing.h"

#include <algorithm>

namespace sardinerun::routing {

namespace {

constexpr int maxAttempts = 3;
constexpr std::size_t maxPendingClaims = 4000;
constexpr core::Duration housekeepingPeriod = std::chrono::milliseconds(50);
constexpr core::Duration runnerStatePeriod = std::chrono::seconds(1);
constexpr core::Duration runnerStateTimeout = std::chrono::milliseconds(900);
constexpr core::Duration retryAfterInProgress = std::chrono::seconds(1);

} // namespace

void Router::start()
{
    every(housekeepingPeriod, [this] { onHousekeeping(); });
    every(runnerStatePeriod, [this] { pollRunnerStates(); });
}

void Router::on(RouterUpdate& message)
{
    m_update = std::move(message);
    std::map<core::ServiceId, std::vector<services::VmInfo>> runners;
    for (const services::VmInfo& it : m_update.runners)
        runners[it.service].push_back(it);
    for (auto& [id, state] : m_services)
        runners.try_emplace(id);
    for (const auto& [id, list] : runners)
        m_services[id].runners.update(list, m_update.shares, m_update.partitionCount);
    applyPolicy();
    m_hooks.updateApplied();
    notifyIdleShares();
}

void Router::applyPolicy()
{
    m_wasPresetActive = isPresetActive();
    const configuration::Preset& preset = m_wasPresetActive ? m_update.activePreset : m_update.transitionPreset;
    for (auto& [id, state] : m_services) {
        state.queue.setPolicy(preset.requests, preset.shares, preset.mayBorrow);
        state.budget.setPercent(preset.requests.retryPercent);
    }
}

std::int64_t Router::usableSlots(const ServiceState& state) const
{
    return now() < m_update.sharesUntil ? state.runners.usableSlots(now()) : 0;
}

// --- Admission

void Router::on(ServiceRequest& message)
{
    auto request = std::make_shared<Request>();
    request->id = RequestId(++m_lastId);
    request->in = std::move(message);
    request->arrivedAt = now();
    request->deadline = now() + request->in.route.timeout;
    request->hopTrace = request->in.trace.child();
    request->retryStrategy = RetryStrategy(request->in.route.isRepeatable, maxAttempts);
    ++m_openRequests;
    if (m_isStopping) {
        fail(request, { Failure::Stopping, Executed::No, std::chrono::seconds(1) });
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
        fail(request, { Failure::KeyMissing, Executed::No, std::nullopt });
        return;
    }
    // Without checking the claim it is unknown whether an earlier request with this key has run.
    if (m_pendingClaims >= maxPendingClaims) {
        fail(request, { Failure::Overloaded, Executed::Unknown, retryAfterOverload });
        return;
    }
    ++m_pendingClaims;
    const http::Request& in = request->in.request;
    const std::string identity = request->in.service.id.value() + "\n" + in.method + "\n" + request->in.path + "\n"
        + in.query + "\n" + in.body;
    request->key = once::RequestKey { request->in.team, core::IdempotencyKey(std::string(*key)) };
    m_claimClient->claim(*request->key, core::stableHash(identity),
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
    const bool isReplay = result == Result::Replayed && answer.isBodyStored;
    if (isReplay) {
        http::Response response { answer.status, { { "idempotency-replayed", "true" } }, answer.body };
        if (!answer.contentType.empty())
            response.headers.push_back({ "content-type", answer.contentType });
        request->key.reset();
        finish(request, std::move(response), "replayed");
        return;
    }
    static const std::map<Result, FailureAnswer> answers {
        { Result::Replayed, { Failure::AnswerLost, Executed::Yes, std::nullopt } },
        { Result::InProgress, { Failure::InProgress, Executed::Unknown, retryAfterInProgress } },
        { Result::Unknown, { Failure::OutcomeUnknown, Executed::Unknown, std::nullopt } },
        { Result::Mismatch, { Failure::KeyMismatch, Executed::No, std::nullopt } },
        { Result::NotPersisted, { Failure::NotPersisted, Executed::No, std::chrono::seconds(5) } },
    };
    request->key.reset(); // another request has the claim, or there is none
    fail(request, answers.at(result));
}

void Router::admit(const RequestPtr& request)
{
    ServiceState& state = stateOf(request);
    state.budget.onRequest();
    const std::int64_t slots = usableSlots(state);
    const jobs::Urgency urgency = request->in.route.urgency;
    if (slots == 0) {
        fail(request, { Failure::NoRunner, Executed::No, retryAfterOverload });
        return;
    }
    if (state.queue.mayStart(urgency, slots) && start(request))
        return;
    if (!state.queue.mayWait(urgency, slots)) {
        fail(request, { Failure::Overloaded, Executed::No, retryAfterOverload });
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
        if (next->isExpired)
            fail(request, { Failure::TimedOut, Executed::No, retryAfterOverload });
        else if (!start(request))
            fail(request, { Failure::NoRunner, Executed::No, retryAfterOverload });
    }
}

// --- Housekeeping

void Router::onHousekeeping()
{
    if (m_wasPresetActive != isPresetActive())
        applyPolicy();
    for (auto& [id, state] : m_services) {
        startNext(state); // rejects expired requests, and uses slots of runners whose circuit has closed
        m_metrics->set(
            telemetry::Metric::RequestsInProgress, { { "service", id.value() } }, double(state.runners.totalInUse()));
    }
    notifyIdleShares();
}

void Router::pollRunnerStates()
{
    for (auto& [id, state] : m_services) {
        for (const services::VmInfo& it : state.runners.runnersWithSlots()) {
            http::ClientRequest request;
            request.to = it.address;
            request.target = "/runner-state";
            request.timeout = runnerStateTimeout;
            auto self = weak_from_this();
            m_client->send(
                std::move(request), [this, self, service = id, runner = it.id](const http::ClientResult& result) {
                    auto task = self.lock();
                    if (!task || !result)
                        return;
                    const auto reported = http::findHeader(result.value().headers, runnerStateHeader);
                    m_services[service].runners.setLeaving(runner, reported && *reported == runnerLeaving);
                });
        }
    }
}

void Router::notifyIfIdle()
{
    if (m_isStopping && m_openRequests == 0)
        m_hooks.idle();
}

void Router::notifyIdleShares()
{
    std::set<core::PartitionId> all = m_update.shares;
    all.insert(m_update.releasing.begin(), m_update.releasing.end());
    for (const core::PartitionId share : m_update.releasing) {
        const auto isIdle
            = [&](const auto& it) { return it.second.runners.isShareIdle(share, all, m_update.partitionCount); };
        if (std::all_of(m_services.begin(), m_services.end(), isIdle))
            m_hooks.shareIdle(share);
    }
}

IRouterPtr createRouter(runtime::ILoopPtr loop, http::IHttpClientPtr client, IClaimClientPtr claimClient,
    telemetry::MetricsPtr metrics, RouterHooks hooks, std::size_t maxResponseBytes)
{
    auto router = std::make_shared<Router>(std::move(loop), std::move(client), std::move(claimClient),
        std::move(metrics), std::move(hooks), maxResponseBytes);
    router->start();
    return router;
}

} // namespace sardinerun::routing

#pragma once

#include "routing/internal/requestqueue.h"
#include "routing/internal/retrybudget.h"
#include "routing/internal/retrystrategy.h"
#include "routing/internal/runnerpool.h"
#include "routing/irouter.h"

namespace sardinerun::routing {

inline constexpr core::Duration retryAfterOverload = std::chrono::seconds(1);

//! State of a caller's request from its arrival to its answer.
struct Request {
    RequestId id;
    ServiceRequest in;
    core::TimePoint arrivedAt;
    core::TimePoint deadline;
    core::TimePoint startedAt; //!< start of the latest exchange
    std::optional<once::RequestKey> key; //!< only if the request is not repeatable; reset when its claim ends
    RetryStrategy retryStrategy { false, 1 };
    std::set<core::VmId> tried; //!< runners that the request was sent to
    telemetry::TraceContext hopTrace; //!< of the current exchange with a runner
};
using RequestPtr = std::shared_ptr<Request>;

//! Runners, queue and retry budget of one service.
struct ServiceState {
    RunnerPool runners;
    RequestQueue queue;
    RetryBudget budget;
};

//! Routes requests to runners. router.cpp implements the admission of requests, exchanges.cpp the exchanges with
//! runners and the answers to callers.
class Router : public runtime::Task<RouterMessage>, public IRouter {
public:
    Router(runtime::ILoopPtr loop, http::IHttpClientPtr client, IClaimClientPtr claimClient,
        telemetry::MetricsPtr metrics, RouterHooks hooks, std::size_t maxResponseBytes)
        : Task(std::move(loop))
        , m_client(std::move(client))
        , m_claimClient(std::move(claimClient))
        , m_metrics(std::move(metrics))
        , m_hooks(std::move(hooks))
        , m_maxResponseBytes(maxResponseBytes)
    {
    }

    void start();

    runtime::Address<RouterMessage> routerAddress() override { return address(); }

    void receive(RouterMessage message) override
    {
        std::visit([this](auto& it) { on(it); }, message);
    }

private:
    void on(ServiceRequest& message);
    void on(RouterUpdate& message);
    void on(StopAccepting&)
    {
        m_isStopping = true;
        notifyIfIdle();
    }

    bool isPresetActive() const { return now() < m_update.activeUntil; }
    std::int64_t usableSlots(const ServiceState& state) const;
    ServiceState& stateOf(const RequestPtr& request) { return m_services[request->in.service.id]; }
    void applyPolicy();

    void claim(const RequestPtr& request);
    void onClaimed(const RequestPtr& request, once::ClaimResult result, const once::StoredAnswer& answer);
    void admit(const RequestPtr& request);
    void startNext(ServiceState& state);
    bool start(const RequestPtr& request);
    void send(const RequestPtr& request, const services::VmInfo& runner);
    void onResult(
        const RequestPtr& request, const core::VmId& runner, core::TimePoint sentAt, const http::ClientResult& result);
    void recordExchange(
        const RequestPtr& request, const core::VmId& runner, const Attempt& attempt, core::Duration elapsed);
    void streamAnswer(
        const RequestPtr& request, const core::VmId& runner, core::Duration elapsed, const http::Response& from);
    void onStreamEnded(
        const RequestPtr& request, const core::VmId& runner, core::Duration elapsed, http::BodyPart::State state);
    Attempt toAttempt(const http::ClientResult& result) const;
    void retry(const RequestPtr& request);
    void deliver(const RequestPtr& request, const http::Response& response);
    void fail(const RequestPtr& request, FailureAnswer answer);
    void finish(const RequestPtr& request, http::Response response, const char* outcome);
    void answer(const RequestPtr& request, http::Response response);
    void close(const RequestPtr& request, const char* outcome);
    void onHousekeeping();
    void pollRunnerStates();
    void notifyIfIdle();
    void notifyIdleShares();

    http::IHttpClientPtr m_client;
    IClaimClientPtr m_claimClient;
    telemetry::MetricsPtr m_metrics;
    RouterHooks m_hooks;
    std::size_t m_maxResponseBytes;
    RouterUpdate m_update;
    bool m_wasPresetActive = false;
    std::map<core::ServiceId, ServiceState> m_services;
    std::map<RequestId, RequestPtr> m_waiting;
    std::size_t m_openRequests = 0; //!< number of requests whose answer is not complete
    std::size_t m_pendingClaims = 0;
    std::uint64_t m_lastId = 0;
    bool m_isStopping = false;
};

} // namespace sardinerun::routing

#pragma once

#include "routing/internal/requestqueue.h"
#include "routing/internal/retrybudget.h"
#include "routing/internal/runnerpool.h"
#include "routing/internal/strategizer.h"
#include "routing/irouter.h"

namespace sardinerun::routing {

inline constexpr core::Duration retryWhenFull = std::chrono::seconds(1);

//! One caller's request from its arrival to its answer.
struct Request {
    RequestId id;
    ServiceRequest in;
    core::TimePoint arrivedAt;
    core::TimePoint deadline;
    core::TimePoint startedAt;
    std::optional<once::RequestKey> key; //!< of a request that may not be repeated
    Strategizer strategizer { false, 1 };
    std::set<core::VmId> tried;
    telemetry::TraceContext hop;
};
using RequestPtr = std::shared_ptr<Request>;

//! State for one service.
struct ServiceState {
    RunnerPool runners;
    RequestQueue queue;
    RetryBudget budget;
};

//! Admission of requests is in router.cpp, their way to runners and back in exchanges.cpp.
class Router : public runtime::Task<RouterMessage>, public IRouter {
public:
    Router(runtime::ILoopPtr loop, http::IHttpClientPtr client, IClaimClientPtr once, telemetry::MetricsPtr metrics,
        RouterHooks hooks, std::size_t maxResponseBytes)
        : Task(std::move(loop))
        , m_client(std::move(client))
        , m_once(std::move(once))
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
    void send(const RequestPtr& request, const services::VmInfo& runner);
    void onResult(
        const RequestPtr& request, const core::VmId& runner, core::TimePoint sentAt, const http::ClientResult& result);
    void settle(const RequestPtr& request, const core::VmId& runner, const Attempt& attempt, core::Duration took);
    void passOn(const RequestPtr& request, const core::VmId& runner, core::Duration took, const http::Response& from);
    void onPassedOn(
        const RequestPtr& request, const core::VmId& runner, core::Duration took, http::BodyPart::State state);
    Attempt toAttempt(const http::ClientResult& result) const;
    void retry(const RequestPtr& request);
    void deliver(const RequestPtr& request, const http::Response& response);
    void fail(const RequestPtr& request, FailureAnswer answer);
    void finish(const RequestPtr& request, http::Response response, const char* outcome);
    void answer(const RequestPtr& request, http::Response response);
    void close(const RequestPtr& request, const char* outcome);
    void onHousekeeping();
    void askOwnWords();
    void tellIdle();
    void tellIdleShares();

    http::IHttpClientPtr m_client;
    IClaimClientPtr m_once;
    telemetry::MetricsPtr m_metrics;
    RouterHooks m_hooks;
    std::size_t m_maxResponseBytes;
    RouterUpdate m_news;
    bool m_wasActing = false;
    std::map<core::ServiceId, ServiceState> m_services;
    std::map<RequestId, RequestPtr> m_waiting;
    std::size_t m_open = 0; //!< requests without an answer
    std::size_t m_pendingClaims = 0;
    std::uint64_t m_lastId = 0;
    bool m_isStopping = false;
};

} // namespace sardinerun::routing

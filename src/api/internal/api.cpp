#include "api/internal/api.h"

#include "api/internal/responses.h"

namespace sardinerun::api {

namespace {

constexpr const char* anonymousTeam = "open"; //!< team of requests without a token

} // namespace

const std::vector<Api::Endpoint>& Api::endpoints()
{
    static const std::vector<Endpoint> all {
        { "GET", "/healthz", std::nullopt, &Api::health },
        { "GET", "/readyz", std::nullopt, &Api::readiness },
        { "GET", "/metrics", Role::Operator, &Api::metrics },
        { "POST", "/v1/jobs", Role::Submitter, &Api::submit },
        { "GET", "/v1/jobs", Role::Submitter, &Api::listJobs },
        { "POST", "/v1/jobs/cancel", Role::Submitter, &Api::cancelJobs },
        { "GET", "/v1/jobs/{id}", Role::Submitter, &Api::readJob },
        { "GET", "/v1/wait/{id}", Role::Submitter, &Api::waitJob },
        { "DELETE", "/v1/jobs/{id}", Role::Submitter, &Api::cancelJob },
        { "GET", "/v1/config", Role::Operator, &Api::readConfig },
        { "PUT", "/v1/config", Role::Operator, &Api::changeConfig },
        { "POST", "/v1/config/check", Role::Operator, &Api::checkConfig },
        { "GET", "/v1/preset", Role::Operator, &Api::readPreset },
        { "PUT", "/v1/preset", Role::Operator, &Api::changePreset },
        { "GET", "/v1/teams", Role::Operator, &Api::readTeams },
        { "GET", "/v1/nodes", Role::Operator, &Api::readNodes },
        { "DELETE", "/v1/nodes/{id}", Role::Operator, &Api::forgetNode },
        { "GET", "/v1/workers", Role::Operator, &Api::readWorkers },
        { "GET", "/v1/partitions", Role::Operator, &Api::readPartitions },
    };
    return all;
}

std::optional<std::string> Api::matchPath(std::string_view pattern, std::string_view path)
{
    constexpr std::string_view placeholder = "{id}";
    if (!pattern.ends_with(placeholder))
        return pattern == path ? std::optional<std::string>("") : std::nullopt;
    pattern.remove_suffix(placeholder.size());
    const bool isSingleSegment = path.size() > pattern.size() && path.starts_with(pattern)
        && path.find('/', pattern.size()) == std::string_view::npos;
    if (!isSingleSegment)
        return std::nullopt;
    return std::string(path.substr(pattern.size()));
}

std::optional<teams::Identity> Api::identityOf(const http::Request& request) const
{
    const auto header = http::findHeader(request.headers, "authorization");
    const auto key = header ? teams::bearerKey(*header) : std::nullopt;
    if (key && m_cellUpdate->configuration)
        return m_cellUpdate->configuration->keys.identify(*key);
    if (!header && m_options.mayAdministerFromLoopback && request.isFromLoopback)
        return teams::Identity { core::TeamId("loopback"), Role::Operator };
    return std::nullopt;
}

void Api::handle(http::Request request, http::Responder responder)
{
    bool isKnownPath = false;
    for (const Endpoint& it : endpoints()) {
        const auto id = matchPath(it.path, request.path);
        isKnownPath = isKnownPath || id;
        if (!id || request.method != it.method)
            continue;
        auto call = std::make_shared<Call>(Call { std::move(request), std::move(responder), *id, {} });
        const auto identity = identityOf(call->request);
        if (it.role && !identity) {
            call->responder.send(problem(401, "token-needed", "A valid bearer token is needed", Executed::No));
            return;
        }
        if (it.role && identity->role < *it.role) {
            call->responder.send(problem(403, "not-allowed", "The token's role may not do this", Executed::No));
            return;
        }
        call->identity = identity.value_or(teams::Identity {});
        (this->*it.handler)(call);
        return;
    }
    if (isKnownPath)
        responder.send(problem(405, "method-not-allowed", "The path does not know this method", Executed::No));
    else
        forward(std::move(request), std::move(responder));
}

void Api::forward(http::Request request, http::Responder responder)
{
    const auto match = m_cellUpdate->configuration
        ? configuration::match(*m_cellUpdate->configuration, request.authority, request.method, request.path)
        : std::nullopt;
    if (!match) {
        responder.send(problem(404, "not-found", "No service has this host or path", Executed::No));
        return;
    }
    const auto identity = identityOf(request);
    if (!identity && !match->service->isOpen) {
        responder.send(problem(401, "token-needed", "A valid bearer token is needed", Executed::No));
        return;
    }
    routing::ServiceRequest out;
    out.service = *match->service;
    out.route = match->route;
    out.path = match->path;
    out.team = identity ? identity->team : core::TeamId(anonymousTeam);
    const auto traceparent = http::findHeader(request.headers, "traceparent");
    const auto trace = traceparent ? telemetry::TraceContext::parse(*traceparent) : std::nullopt;
    const bool isSampled = m_options.traceSampleInterval > 0
        && ++m_requestCount % static_cast<std::uint64_t>(m_options.traceSampleInterval) == 0;
    out.trace = trace ? trace->child() : telemetry::TraceContext::start(isSampled);
    out.request = std::move(request);
    out.responder = std::move(responder);
    m_dependencies.router.send(std::move(out));
}

void Api::health(const CallPtr& call)
{
    call->responder.send({ 200, { { "content-type", "text/plain" } }, "ok\n" });
}

void Api::readiness(const CallPtr& call)
{
    const bool isReady = !m_isStopping && m_cellUpdate->memberState.isMember && m_cellUpdate->configuration;
    call->responder.send(
        { isReady ? 200 : 503, { { "content-type", "text/plain" } }, isReady ? "ready\n" : "not ready\n" });
}

void Api::metrics(const CallPtr& call)
{
    call->responder.send({ 200, { { "content-type", "text/plain; version=0.0.4" } }, m_dependencies.metrics->text() });
}

bool Api::refuseWithoutPartitions(const CallPtr& call) const
{
    if (partitionCount() > 0)
        return false;
    call->responder.send(
        problem(503, "not-ready", "The node does not know its cell yet", Executed::No, "", std::chrono::seconds(1)));
    return true;
}

IApiPtr createApi(runtime::ILoopPtr loop, ApiDependencies dependencies, ApiOptions options)
{
    return std::make_shared<Api>(std::move(loop), std::move(dependencies), options);
}

} // namespace sardinerun::api

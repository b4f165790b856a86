#include "api/iapi.h"
#include "api/internal/jobbody.h"
#include "codec/json.h"
#include "codec/yaml.h"
#include "core/hashing.h"
#include "http/problem.h"
#include "jobs/jobcodec.h"
#include "partition/partition.h"
#include "platform/platformcodec.h"
#include "telemetry/log.h"

#include <algorithm>
#include <array>

namespace sardinerun::api {

namespace {

using configuration::Role;
using http::Ran;

constexpr core::Duration submitTimeout = std::chrono::seconds(5);
constexpr core::Duration readTimeout = std::chrono::seconds(2);
constexpr core::Duration waitPause = std::chrono::milliseconds(150);
constexpr std::int64_t longestWaitMs = 30'000;
constexpr std::uint32_t defaultPage = 100;
constexpr std::uint32_t maxPage = 1000;
constexpr std::size_t maxKey = 200;
constexpr const char* openTeam = "open";

http::Response json(int status, const Json::Value& value)
{
    return { status, { { "content-type", "application/json" } }, codec::writeJson(value) };
}

http::Response problem(int status, const char* type, const char* title, Ran ran, std::string detail = {},
    std::optional<core::Duration> retryAfter = {})
{
    return http::toResponse({ status, type, title, ran, std::move(detail), retryAfter });
}

//! Who asks, and what was asked for.
struct Call {
    http::Request request;
    http::Responder responder;
    std::string id; //!< last part of the path, where the pattern has one
    configuration::Identity who;

    //! Operators see the jobs of all teams.
    core::TeamId visibleTeam() const { return who.role == Role::Operator ? core::TeamId() : who.team; }
};
using CallPtr = std::shared_ptr<Call>;

//! Collects the answers of all partitions.
struct Gathered {
    std::size_t missing = 0;
    bool isWhole = true;
    std::vector<jobs::JobStatus> jobs;
    std::uint32_t cancelled = 0;
};

class Api : public runtime::Task<node::CellNewsPtr>, public IApi {
public:
    Api(runtime::ILoopPtr loop, ApiPorts ports, ApiOptions options)
        : Task(std::move(loop))
        , m_ports(std::move(ports))
        , m_options(options)
        , m_news(std::make_shared<node::CellNews>())
    {
    }

    void receive(node::CellNewsPtr news) override { m_news = std::move(news); }
    runtime::Address<node::CellNewsPtr> newsAddress() override { return address(); }
    void setStopping() override { m_isStopping = true; }
    void handle(http::Request request, http::Responder responder) override;

private:
    using Handler = void (Api::*)(const CallPtr& call);
    struct Endpoint {
        const char* method;
        const char* path; //!< "{id}" at the end stands for one part
        std::optional<Role> role; //!< nothing: anybody
        Handler handler;
    };
    static const std::vector<Endpoint>& endpoints();

    static std::optional<std::string> matchPath(std::string_view pattern, std::string_view path);
    std::optional<configuration::Identity> identityOf(const http::Request& request) const;
    void forward(http::Request request, http::Responder responder);

    void health(const CallPtr& call);
    void readiness(const CallPtr& call);
    void metrics(const CallPtr& call);
    void submit(const CallPtr& call);
    void onSubmitted(const CallPtr& call, const core::JobId& id, const std::optional<protocol::Message>& answer);
    void readJob(const CallPtr& call);
    void waitJob(const CallPtr& call);
    void waitOn(const CallPtr& call, core::TimePoint until);
    void listJobs(const CallPtr& call);
    void cancelJob(const CallPtr& call);
    void cancelJobs(const CallPtr& call);
    void cancelAt(const CallPtr& call, const std::map<core::PartitionId, std::vector<core::JobId>>& byHome,
        const std::string& workload);
    void readConfig(const CallPtr& call);
    void changeConfig(const CallPtr& call);
    void checkConfig(const CallPtr& call);
    void readPreset(const CallPtr& call);
    void changePreset(const CallPtr& call);
    void configure(const CallPtr& call, node::Configure message);
    void readTeams(const CallPtr& call);
    void readNodes(const CallPtr& call);
    void forgetNode(const CallPtr& call);
    void readWorkers(const CallPtr& call);
    void readPartitions(const CallPtr& call);

    void ask(const core::JobId& job, const CallPtr& call, const std::function<void(const jobs::JobStatus&)>& found);
    std::uint32_t partitionCount() const { return m_news->view ? m_news->view->partitionCount : 0; }
    bool refuseWithoutPartitions(const CallPtr& call) const;

    ApiPorts m_ports;
    ApiOptions m_options;
    node::CellNewsPtr m_news;
    bool m_isStopping = false;
    std::uint64_t m_requests = 0;
};

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

// --- Dispatch

std::optional<std::string> Api::matchPath(std::string_view pattern, std::string_view path)
{
    constexpr std::string_view placeholder = "{id}";
    if (!pattern.ends_with(placeholder))
        return pattern == path ? std::optional<std::string>("") : std::nullopt;
    pattern.remove_suffix(placeholder.size());
    const bool isOnePart = path.size() > pattern.size() && path.starts_with(pattern)
        && path.find('/', pattern.size()) == std::string_view::npos;
    if (!isOnePart)
        return std::nullopt;
    return std::string(path.substr(pattern.size()));
}

std::optional<configuration::Identity> Api::identityOf(const http::Request& request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = http::findHeader(request.headers, "authorization");
    if (header && header->starts_with(scheme) && m_news->configuration)
        return configuration::identify(*m_news->configuration, std::string(header->substr(scheme.size())));
    if (!header && m_options.mayAdministerFromLoopback && request.isFromLoopback)
        return configuration::Identity { core::TeamId("loopback"), Role::Operator };
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
        const auto who = identityOf(call->request);
        if (it.role && !who) {
            call->responder.send(problem(401, "token-needed", "A valid bearer token is needed", Ran::No));
            return;
        }
        if (it.role && who->role < *it.role) {
            call->responder.send(problem(403, "not-allowed", "The token's role may not do this", Ran::No));
            return;
        }
        call->who = who.value_or(configuration::Identity {});
        (this->*it.handler)(call);
        return;
    }
    if (isKnownPath)
        responder.send(problem(405, "method-not-allowed", "The path does not know this method", Ran::No));
    else
        forward(std::move(request), std::move(responder));
}

void Api::forward(http::Request request, http::Responder responder)
{
    const auto match = m_news->configuration
        ? configuration::match(*m_news->configuration, request.authority, request.method, request.path)
        : std::nullopt;
    if (!match) {
        responder.send(problem(404, "not-found", "No service has this host or path", Ran::No));
        return;
    }
    const auto who = identityOf(request);
    if (!who && !match->service->isOpen) {
        responder.send(problem(401, "token-needed", "A valid bearer token is needed", Ran::No));
        return;
    }
    routing::ServiceRequest out;
    out.service = *match->service;
    out.route = match->route;
    out.path = match->path;
    out.team = who ? who->team : core::TeamId(openTeam);
    const auto traceparent = http::findHeader(request.headers, "traceparent");
    const auto trace = traceparent ? telemetry::TraceContext::parse(*traceparent) : std::nullopt;
    const bool isSampled
        = m_options.traceOneIn > 0 && ++m_requests % static_cast<std::uint64_t>(m_options.traceOneIn) == 0;
    out.trace = trace ? trace->child() : telemetry::TraceContext::start(isSampled);
    out.request = std::move(request);
    out.responder = std::move(responder);
    m_ports.router.send(std::move(out));
}

// --- The node itself

void Api::health(const CallPtr& call)
{
    call->responder.send({ 200, { { "content-type", "text/plain" } }, "ok\n" });
}

void Api::readiness(const CallPtr& call)
{
    const bool isReady = !m_isStopping && m_news->standing.isMember && m_news->configuration;
    call->responder.send(
        { isReady ? 200 : 503, { { "content-type", "text/plain" } }, isReady ? "ready\n" : "not ready\n" });
}

void Api::metrics(const CallPtr& call)
{
    call->responder.send({ 200, { { "content-type", "text/plain; version=0.0.4" } }, m_ports.metrics->text() });
}

bool Api::refuseWithoutPartitions(const CallPtr& call) const
{
    if (partitionCount() > 0)
        return false;
    call->responder.send(
        problem(503, "not-ready", "The node does not know its cell yet", Ran::No, "", std::chrono::seconds(1)));
    return true;
}

// --- Jobs

void Api::submit(const CallPtr& call)
{
    if (refuseWithoutPartitions(call))
        return;
    if (m_isStopping) {
        call->responder.send(problem(503, "stopping", "This node is stopping", Ran::No, "", std::chrono::seconds(1)));
        return;
    }
    const auto header = http::findHeader(call->request.headers, "idempotency-key");
    const auto key = header ? std::optional<std::string>(*header) : std::nullopt;
    jobs::JobSpec spec;
    try {
        spec = readSubmission(call->request.body, loop()->wallNow());
    } catch (const codec::DecodeError& it) {
        call->responder.send(problem(400, "bad-job", "The job cannot be read", Ran::No, it.what()));
        return;
    }
    if ((key && (key->empty() || key->size() > maxKey)) || (!key && !spec.isRepeatable)) {
        call->responder.send(problem(
            400, "key-missing", "A job that may not be repeated needs an Idempotency-Key of 1 to 200 bytes", Ran::No));
        return;
    }
    spec.team = call->who.team;
    spec.id = jobIdOf(spec.team, key);
    const core::PartitionId home = core::partitionOf(spec.id.value(), partitionCount());
    const auto row = m_news->view->partitions.find(home);
    if (row == m_news->view->partitions.end() || row->second.owner.isNobody()) {
        call->responder.send(
            problem(503, "no-owner", "The job's partition has no owner now", Ran::No, "", std::chrono::seconds(1)));
        return;
    }
    const auto make = [&spec](const protocol::Asker& asker) { return protocol::SubmitJob { asker, spec }; };
    m_ports.desk->ask(home, make, submitTimeout,
        [this, call, id = spec.id](const std::optional<protocol::Message>& answer) { onSubmitted(call, id, answer); });
}

void Api::onSubmitted(const CallPtr& call, const core::JobId& id, const std::optional<protocol::Message>& answer)
{
    const auto* it = answer ? std::get_if<protocol::SubmitAnswer>(&*answer) : nullptr;
    const protocol::SubmitOutcome outcome = it ? it->outcome : protocol::SubmitOutcome::Unknown;
    telemetry::LogLine(telemetry::Severity::Info, "submit")
        .with("job", id.value())
        .with("outcome", std::int64_t(outcome));
    if (outcome == protocol::SubmitOutcome::Accepted) {
        Json::Value body(Json::objectValue);
        body["id"] = id.value();
        http::Response response = json(202, body);
        response.headers.push_back({ "location", "/v1/jobs/" + id.value() });
        call->responder.send(std::move(response));
        return;
    }
    if (outcome == protocol::SubmitOutcome::Conflict) {
        call->responder.send(problem(422, "key-mismatch", "The Idempotency-Key was used for another job", Ran::No));
        return;
    }
    if (outcome == protocol::SubmitOutcome::Unknown) {
        call->responder.send(problem(504, "outcome-unknown",
            "The job may have been accepted; ask for it or send it again with the same key", Ran::Unknown, id.value(),
            std::chrono::seconds(1)));
        return;
    }
    const bool mayTryAgain = it->refusal.retryAfter.has_value();
    call->responder.send(problem(mayTryAgain ? 503 : 422, admission::nameOf(it->refusal.reason),
        "The job is refused and will not run", Ran::No, it->refusal.detail, it->refusal.retryAfter));
}

void Api::ask(const core::JobId& job, const CallPtr& call, const std::function<void(const jobs::JobStatus&)>& found)
{
    const core::PartitionId home = core::partitionOf(job.value(), partitionCount());
    const auto make = [&](const protocol::Asker& asker) {
        return protocol::ReadJobs { asker, call->visibleTeam(), job, {}, 1 };
    };
    m_ports.desk->askUntilAnswered(
        home, make, readTimeout, [call, found](const std::optional<protocol::Message>& answer) {
            const auto* it = answer ? std::get_if<protocol::JobsAnswer>(&*answer) : nullptr;
            if (!it)
                call->responder.send(problem(503, "no-owner", "The job's partition does not answer now", Ran::Unknown,
                    "", std::chrono::seconds(1)));
            else if (it->jobs.empty())
                call->responder.send(problem(404, "not-found", "No such job is known", Ran::Unknown));
            else
                found(it->jobs[0]);
        });
}

void Api::readJob(const CallPtr& call)
{
    if (!refuseWithoutPartitions(call))
        ask(core::JobId(call->id), call,
            [call](const jobs::JobStatus& it) { call->responder.send(json(200, writeJob(it))); });
}

void Api::waitJob(const CallPtr& call)
{
    if (refuseWithoutPartitions(call))
        return;
    const std::string text = http::queryParameter(call->request.query, "ms").value_or("10000");
    const bool isNumber = !text.empty() && text.size() < 8 && text.find_first_not_of("0123456789") == std::string::npos;
    const std::int64_t ms = isNumber ? std::min<std::int64_t>(std::stoll(text), longestWaitMs) : 0;
    waitOn(call, now() + std::chrono::milliseconds(ms));
}

void Api::waitOn(const CallPtr& call, core::TimePoint until)
{
    auto self = weak_from_this();
    ask(core::JobId(call->id), call, [this, self, call, until](const jobs::JobStatus& it) {
        if (jobs::isEnded(it.state) || now() + waitPause > until) {
            call->responder.send(json(200, writeJob(it)));
            return;
        }
        loop()->callAfter(waitPause, [this, self, call, until] {
            if (auto keep = self.lock())
                waitOn(call, until);
        });
    });
}

void Api::listJobs(const CallPtr& call)
{
    if (refuseWithoutPartitions(call))
        return;
    const std::string text = http::queryParameter(call->request.query, "limit").value_or(std::to_string(defaultPage));
    const bool isNumber = !text.empty() && text.size() < 6 && text.find_first_not_of("0123456789") == std::string::npos;
    const std::uint32_t limit = isNumber ? static_cast<std::uint32_t>(std::stoul(text)) : 0;
    if (limit < 1 || limit > maxPage) {
        call->responder.send(problem(400, "bad-limit", "limit must be from 1 to 1000", Ran::No));
        return;
    }
    const core::JobId after(http::queryParameter(call->request.query, "after").value_or(""));
    auto gathered = std::make_shared<Gathered>();
    gathered->missing = partitionCount();
    for (std::uint32_t n = 0; n < partitionCount(); ++n) {
        const auto make = [&](const protocol::Asker& asker) {
            return protocol::ReadJobs { asker, call->visibleTeam(), {}, after, limit };
        };
        m_ports.desk->askUntilAnswered(core::PartitionId(n), make, readTimeout,
            [call, gathered, limit](const std::optional<protocol::Message>& answer) {
                const auto* it = answer ? std::get_if<protocol::JobsAnswer>(&*answer) : nullptr;
                gathered->isWhole = gathered->isWhole && it;
                if (it)
                    gathered->jobs.insert(gathered->jobs.end(), it->jobs.begin(), it->jobs.end());
                if (--gathered->missing > 0)
                    return;
                auto& all = gathered->jobs;
                std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.spec.id < b.spec.id; });
                Json::Value body(Json::objectValue);
                body["jobs"] = Json::Value(Json::arrayValue);
                body["complete"] = gathered->isWhole;
                for (std::size_t k = 0; k < std::min<std::size_t>(limit, all.size()); ++k)
                    body["jobs"].append(writeJob(all[k]));
                if (all.size() >= limit)
                    body["next"] = all[limit - 1].spec.id.value();
                call->responder.send(json(200, body));
            });
    }
}

void Api::cancelJob(const CallPtr& call)
{
    if (refuseWithoutPartitions(call))
        return;
    const core::JobId id(call->id);
    cancelAt(call, { { core::partitionOf(id.value(), partitionCount()), { id } } }, "");
}

void Api::cancelJobs(const CallPtr& call)
{
    if (refuseWithoutPartitions(call))
        return;
    std::map<core::PartitionId, std::vector<core::JobId>> byHome;
    std::string workload;
    try {
        const Json::Value value = codec::parseJson(call->request.body);
        codec::ObjectReader reader(value);
        for (const std::string& it : reader.texts("jobs", 10'000, 64))
            byHome[core::partitionOf(it, partitionCount())].emplace_back(it);
        workload = reader.textOr("workload", 64, "");
        reader.finish();
    } catch (const codec::DecodeError& it) {
        call->responder.send(problem(400, "bad-request", "The list cannot be read", Ran::No, it.what()));
        return;
    }
    for (std::uint32_t n = 0; n < partitionCount() && !workload.empty(); ++n)
        byHome[core::PartitionId(n)];
    cancelAt(call, byHome, workload);
}

void Api::cancelAt(const CallPtr& call, const std::map<core::PartitionId, std::vector<core::JobId>>& byHome,
    const std::string& workload)
{
    auto gathered = std::make_shared<Gathered>();
    gathered->missing = byHome.size();
    if (byHome.empty()) {
        call->responder.send(problem(400, "bad-request", "Name jobs or a workload", Ran::No));
        return;
    }
    for (const auto& it : byHome) {
        const core::PartitionId home = it.first;
        const std::vector<core::JobId>& ids = it.second;
        const auto make = [&](const protocol::Asker& asker) {
            return protocol::CancelJobs { asker, call->visibleTeam(), ids, workload };
        };
        // Cancelling is idempotent, so it is sent again until it is answered.
        m_ports.desk->askUntilAnswered(
            home, make, submitTimeout, [call, gathered](const std::optional<protocol::Message>& answer) {
                const auto* it = answer ? std::get_if<protocol::CancelAnswer>(&*answer) : nullptr;
                gathered->isWhole = gathered->isWhole && it;
                gathered->cancelled += it ? it->cancelled : 0;
                if (--gathered->missing > 0)
                    return;
                Json::Value body(Json::objectValue);
                body["cancelled"] = gathered->cancelled;
                body["complete"] = gathered->isWhole;
                call->responder.send(json(gathered->isWhole ? 200 : 504, body));
            });
    }
}

// --- Configuration and presets

void Api::readConfig(const CallPtr& call)
{
    Json::Value body(Json::objectValue);
    if (m_news->view) {
        body["version"] = Json::UInt64(m_news->view->config.version.value());
        body["inForce"] = Json::UInt64(m_news->view->active.version.value());
        body["preset"] = m_news->view->config.preset.value();
        body["document"] = m_news->view->config.document;
    }
    call->responder.send(json(200, body));
}

void Api::readPreset(const CallPtr& call)
{
    const bool isActing = m_news->standing.actsUnder.value() > 0 && now() < m_news->standing.certainUntil;
    Json::Value body(Json::objectValue);
    body["here"] = isActing ? m_news->acting.name.value() : configuration::noPreset;
    if (m_news->view) {
        body["accepted"] = m_news->view->config.preset.value();
        body["version"] = Json::UInt64(m_news->view->config.version.value());
        body["inForce"] = Json::UInt64(m_news->view->active.version.value());
    }
    call->responder.send(json(200, body));
}

void Api::configure(const CallPtr& call, node::Configure message)
{
    message.reply = replyHere<node::ConfigureResult>([call](const node::ConfigureResult& result) {
        using Outcome = node::ConfigureOutcome;
        Json::Value body(Json::objectValue);
        body["version"] = Json::UInt64(result.version.value());
        const std::string version = "version " + std::to_string(result.version.value()) + " stands: ";
        switch (result.outcome) {
        case Outcome::Accepted:
            call->responder.send(json(200, body));
            break;
        case Outcome::Conflict:
            call->responder.send(
                problem(409, "version-conflict", "Another change came first", Ran::No, version + result.detail));
            break;
        case Outcome::Invalid:
            call->responder.send(
                problem(422, "bad-configuration", "The configuration is wrong", Ran::No, result.detail));
            break;
        case Outcome::StoreDown:
            call->responder.send(problem(503, "store-down", "The platform's store does not answer", Ran::No,
                result.detail, std::chrono::seconds(5)));
            break;
        case Outcome::Unknown:
            call->responder.send(
                problem(504, "outcome-unknown", "The change may have been accepted", Ran::Unknown, result.detail));
            break;
        }
    });
    m_ports.toCell(std::move(message));
}

std::optional<core::ConfigVersion> expectedVersion(const http::Request& request)
{
    const auto text = http::queryParameter(request.query, "expected");
    if (!text || text->empty() || text->size() > 15 || text->find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return core::ConfigVersion(std::stoull(*text));
}

void Api::changeConfig(const CallPtr& call)
{
    node::Configure message;
    message.expected = expectedVersion(call->request);
    message.document = call->request.body;
    if (const auto preset = http::queryParameter(call->request.query, "preset"))
        message.preset = core::PresetName(*preset);
    configure(call, std::move(message));
}

void Api::changePreset(const CallPtr& call)
{
    node::Configure message;
    message.expected = expectedVersion(call->request);
    try {
        const Json::Value value = codec::parseJson(call->request.body);
        codec::ObjectReader reader(value);
        message.preset = core::PresetName(reader.text("preset", 64));
        reader.finish();
    } catch (const codec::DecodeError& it) {
        call->responder.send(problem(400, "bad-request", "The preset cannot be read", Ran::No, it.what()));
        return;
    }
    configure(call, std::move(message));
}

void Api::checkConfig(const CallPtr& call)
{
    try {
        configuration::readConfiguration(call->request.body, "configuration");
        call->responder.send(json(200, Json::Value(Json::objectValue)));
    } catch (const codec::YamlError& it) {
        call->responder.send(problem(422, "bad-configuration", "The configuration is wrong", Ran::No, it.what()));
    }
}

void Api::readTeams(const CallPtr& call)
{
    Json::Value body(Json::objectValue);
    body["teams"] = Json::Value(Json::arrayValue);
    const std::vector<configuration::Team> none;
    for (const configuration::Team& it : m_news->configuration ? m_news->configuration->teams : none) {
        Json::Value team(Json::objectValue);
        team["name"] = it.id.value();
        team["weight"] = it.weight;
        team["tokens"] = Json::UInt64(it.tokens.size());
        body["teams"].append(team);
    }
    call->responder.send(json(200, body));
}

// --- Nodes, workers, partitions

void Api::readNodes(const CallPtr& call)
{
    Json::Value body(Json::objectValue);
    body["nodes"] = Json::Value(Json::arrayValue);
    body["self"] = m_news->standing.self.node.value();
    if (!m_news->view) {
        call->responder.send(json(200, body));
        return;
    }
    for (const membership::Member& it : m_news->view->members) {
        Json::Value node(Json::objectValue);
        node["node"] = it.run.node.value();
        node["incarnation"] = it.run.incarnation.value();
        node["address"] = it.address.text();
        node["failureDomain"] = it.failureDomain.value();
        node["confirmed"] = Json::UInt64(it.confirmed.value());
        node["leaving"] = it.isLeaving;
        node["partitions"] = Json::Value(Json::arrayValue);
        for (const auto& [id, row] : m_news->view->partitions) {
            if (row.owner == it.run)
                node["partitions"].append(id.value());
        }
        body["nodes"].append(node);
    }
    call->responder.send(json(200, body));
}

void Api::forgetNode(const CallPtr& call)
{
    m_ports.toCell(node::ForgetNode { core::NodeId(call->id) });
    call->responder.send(json(202, Json::Value(Json::objectValue)));
}

void Api::readWorkers(const CallPtr& call)
{
    Json::Value body(Json::objectValue);
    body["vms"] = Json::Value(Json::arrayValue);
    const std::vector<platform::VmInfo> none;
    for (const platform::VmInfo& it : m_news->vms ? *m_news->vms : none) {
        Json::Value vm(Json::objectValue);
        vm["id"] = it.id.value();
        vm["role"] = it.role == platform::VmRole::Worker ? "worker" : "runner";
        vm["state"] = it.state == platform::VmState::Live ? "live" : "leaving";
        vm["rack"] = it.rack.value();
        vm["failureDomain"] = it.failureDomain.value();
        vm["address"] = it.address.text();
        if (it.role == platform::VmRole::Worker && partitionCount() > 0)
            vm["partition"] = partition::Partition::partitionOf(it.id, partitionCount()).value();
        body["vms"].append(vm);
    }
    call->responder.send(json(200, body));
}

void Api::readPartitions(const CallPtr& call)
{
    m_ports.readPartitions(
        replyHere<std::vector<partition::PartitionView>>([call](const std::vector<partition::PartitionView>& views) {
            Json::Value body(Json::objectValue);
            body["partitions"] = Json::Value(Json::arrayValue);
            for (const partition::PartitionView& it : views) {
                Json::Value view(Json::objectValue);
                view["partition"] = it.id.value();
                view["epoch"] = Json::UInt64(it.epoch.value());
                view["recovered"] = it.isRecovered;
                view["jobs"] = Json::UInt64(it.jobs);
                view["attempts"] = Json::UInt64(it.attempts);
                view["workers"] = Json::UInt64(it.workers);
                view["readyWorkers"] = Json::UInt64(it.readyWorkers);
                view["setAsideWorkers"] = Json::UInt64(it.setAsideWorkers);
                view["total"] = platform::encodeResources(it.total);
                view["committed"] = platform::encodeResources(it.committed);
                view["storeHealthy"] = it.isStoreHealthy;
                body["partitions"].append(view);
            }
            call->responder.send(json(200, body));
        }));
}

} // namespace

IApiPtr createApi(runtime::ILoopPtr loop, ApiPorts ports, ApiOptions options)
{
    return std::make_shared<Api>(std::move(loop), std::move(ports), options);
}

} // namespace sardinerun::api

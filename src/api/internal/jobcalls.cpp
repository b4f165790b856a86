//! Handlers of the calls about jobs.

#include "api/internal/api.h"
#include "api/internal/jobbody.h"
#include "api/internal/responses.h"
#include "core/numbers.h"
#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::api {

namespace {

constexpr core::Duration submitTimeout = std::chrono::seconds(5);
constexpr core::Duration readTimeout = std::chrono::seconds(2);
constexpr core::Duration pollInterval = std::chrono::milliseconds(150);
constexpr std::int64_t maxWaitMs = 30'000;
constexpr std::uint32_t defaultPageSize = 100;
constexpr std::uint32_t maxPageSize = 1000;
constexpr std::size_t maxKeyLength = 200;

} // namespace

void Api::submit(const CallPtr& call)
{
    if (refuseWithoutPartitions(call))
        return;
    if (m_isStopping) {
        call->responder.send(
            problem(503, "stopping", "This node is stopping", Executed::No, "", std::chrono::seconds(1)));
        return;
    }
    const auto header = http::findHeader(call->request.headers, "idempotency-key");
    const auto key = header ? std::optional<std::string>(*header) : std::nullopt;
    jobs::JobSpec spec;
    try {
        spec = readSubmission(call->request.body, loop()->wallNow());
    } catch (const codec::DecodeError& it) {
        call->responder.send(problem(400, "bad-job", "The job cannot be read", Executed::No, it.what()));
        return;
    }
    if ((key && (key->empty() || key->size() > maxKeyLength)) || (!key && !spec.isRepeatable)) {
        call->responder.send(problem(400, "key-missing",
            "A job that may not be repeated needs an Idempotency-Key of 1 to 200 bytes", Executed::No));
        return;
    }
    spec.team = call->identity.team;
    spec.id = jobIdOf(spec.team, key);
    const core::PartitionId home = core::partitionOf(spec.id.value(), partitionCount());
    const auto row = m_cellUpdate->view->partitions.find(home);
    if (row == m_cellUpdate->view->partitions.end() || row->second.owner.isNone()) {
        call->responder.send(problem(
            503, "no-owner", "The job's partition has no owner now", Executed::No, "", std::chrono::seconds(1)));
        return;
    }
    const auto makeMessage = [&spec](const protocol::Requester& requester) {
        return protocol::SubmitJob { requester, spec };
    };
    m_dependencies.partitionClient->ask(home, makeMessage, submitTimeout,
        [this, call, id = spec.id](const std::optional<protocol::Message>& answer) { onSubmitted(call, id, answer); });
}

void Api::onSubmitted(const CallPtr& call, const core::JobId& id, const std::optional<protocol::Message>& answer)
{
    const auto* it = answer ? std::get_if<protocol::SubmitAnswer>(&*answer) : nullptr;
    const protocol::SubmitOutcome outcome = it ? it->outcome : protocol::SubmitOutcome::Unknown;
    telemetry::LogLine line(telemetry::Severity::Info, "submit");
    line.with("job", id.value()).with("outcome", std::int64_t(outcome));
    if (outcome == protocol::SubmitOutcome::Refused)
        line.with("reason", admission::nameOf(it->refusal.reason)).with("why", it->refusal.detail);
    if (outcome == protocol::SubmitOutcome::Accepted) {
        Json::Value body(Json::objectValue);
        body["id"] = id.value();
        http::Response response = json(202, body);
        response.headers.push_back({ "location", "/v1/jobs/" + id.value() });
        call->responder.send(std::move(response));
        return;
    }
    if (outcome == protocol::SubmitOutcome::Conflict) {
        call->responder.send(
            problem(422, "key-mismatch", "The Idempotency-Key was used for another job", Executed::No));
        return;
    }
    if (outcome == protocol::SubmitOutcome::Unknown) {
        call->responder.send(problem(504, "outcome-unknown",
            "The job may have been accepted; ask for it or send it again with the same key", Executed::Unknown,
            id.value(), std::chrono::seconds(1)));
        return;
    }
    const bool mayRetry = it->refusal.retryAfter.has_value();
    call->responder.send(problem(mayRetry ? 503 : 422, admission::nameOf(it->refusal.reason),
        "The job is refused and will not run", Executed::No, it->refusal.detail, it->refusal.retryAfter));
}

void Api::requestStatus(
    const core::JobId& job, const CallPtr& call, const std::function<void(const jobs::JobStatus&)>& onFound)
{
    const core::PartitionId home = core::partitionOf(job.value(), partitionCount());
    const auto makeMessage = [&](const protocol::Requester& requester) {
        return protocol::ReadJobs { requester, call->visibleTeam(), job, {}, 1 };
    };
    m_dependencies.partitionClient->askUntilAnswered(
        home, makeMessage, readTimeout, [call, onFound](const std::optional<protocol::Message>& answer) {
            const auto* it = answer ? std::get_if<protocol::JobsAnswer>(&*answer) : nullptr;
            if (!it)
                call->responder.send(problem(503, "no-owner", "The job's partition does not answer now",
                    Executed::Unknown, "", std::chrono::seconds(1)));
            else if (it->jobs.empty())
                call->responder.send(problem(404, "not-found", "No such job is known", Executed::Unknown));
            else
                onFound(it->jobs[0]);
        });
}

void Api::readJob(const CallPtr& call)
{
    if (!refuseWithoutPartitions(call))
        requestStatus(core::JobId(call->id), call,
            [call](const jobs::JobStatus& it) { call->responder.send(json(200, writeJob(it))); });
}

void Api::waitJob(const CallPtr& call)
{
    if (refuseWithoutPartitions(call))
        return;
    const std::string text = http::queryParameter(call->request.query, "ms").value_or("10000");
    const std::uint64_t ms = core::parseUnsigned(text, UINT64_MAX).value_or(0);
    pollUntilEnded(call, now() + std::chrono::milliseconds(std::min<std::uint64_t>(ms, maxWaitMs)));
}

void Api::pollUntilEnded(const CallPtr& call, core::TimePoint until)
{
    auto self = weak_from_this();
    requestStatus(core::JobId(call->id), call, [this, self, call, until](const jobs::JobStatus& it) {
        if (jobs::isEnded(it.state) || now() + pollInterval > until) {
            call->responder.send(json(200, writeJob(it)));
            return;
        }
        loop()->callAfter(pollInterval, [this, self, call, until] {
            if (auto keepAlive = self.lock())
                pollUntilEnded(call, until);
        });
    });
}

void Api::listJobs(const CallPtr& call)
{
    if (refuseWithoutPartitions(call))
        return;
    const std::string text
        = http::queryParameter(call->request.query, "limit").value_or(std::to_string(defaultPageSize));
    const auto limit = static_cast<std::uint32_t>(core::parseUnsigned(text, UINT32_MAX).value_or(0));
    if (limit < 1 || limit > maxPageSize) {
        call->responder.send(problem(400, "bad-limit", "limit must be from 1 to 1000", Executed::No));
        return;
    }
    const core::JobId after(http::queryParameter(call->request.query, "after").value_or(""));
    auto collected = std::make_shared<CollectedAnswers>();
    collected->pendingPartitions = partitionCount();
    for (std::uint32_t n = 0; n < partitionCount(); ++n) {
        const auto makeMessage = [&](const protocol::Requester& requester) {
            return protocol::ReadJobs { requester, call->visibleTeam(), {}, after, limit };
        };
        m_dependencies.partitionClient->askUntilAnswered(core::PartitionId(n), makeMessage, readTimeout,
            [call, collected, limit](const std::optional<protocol::Message>& answer) {
                const auto* it = answer ? std::get_if<protocol::JobsAnswer>(&*answer) : nullptr;
                collected->isComplete = collected->isComplete && it;
                if (it)
                    collected->jobs.insert(collected->jobs.end(), it->jobs.begin(), it->jobs.end());
                if (--collected->pendingPartitions > 0)
                    return;
                auto& all = collected->jobs;
                std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.spec.id < b.spec.id; });
                Json::Value body(Json::objectValue);
                body["jobs"] = Json::Value(Json::arrayValue);
                body["complete"] = collected->isComplete;
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
    cancelInPartitions(call, { { core::partitionOf(id.value(), partitionCount()), { id } } }, "");
}

void Api::cancelJobs(const CallPtr& call)
{
    if (refuseWithoutPartitions(call))
        return;
    std::map<core::PartitionId, std::vector<core::JobId>> byHome;
    std::string workload;
    try {
        const Json::Value value = codec::parseJson(call->request.body, codec::maxCallerValues);
        codec::ObjectReader reader(value);
        for (const std::string& it : reader.texts("jobs", 10'000, 64))
            byHome[core::partitionOf(it, partitionCount())].emplace_back(it);
        workload = reader.textOr("workload", 64, "");
        reader.finish();
    } catch (const codec::DecodeError& it) {
        call->responder.send(problem(400, "bad-request", "The list cannot be read", Executed::No, it.what()));
        return;
    }
    for (std::uint32_t n = 0; n < partitionCount() && !workload.empty(); ++n)
        byHome[core::PartitionId(n)];
    cancelInPartitions(call, byHome, workload);
}

void Api::cancelInPartitions(const CallPtr& call, const std::map<core::PartitionId, std::vector<core::JobId>>& byHome,
    const std::string& workload)
{
    auto collected = std::make_shared<CollectedAnswers>();
    collected->pendingPartitions = byHome.size();
    if (byHome.empty()) {
        call->responder.send(problem(400, "bad-request", "Name jobs or a workload", Executed::No));
        return;
    }
    for (const auto& it : byHome) {
        const core::PartitionId home = it.first;
        const std::vector<core::JobId>& ids = it.second;
        const auto makeMessage = [&](const protocol::Requester& requester) {
            return protocol::CancelJobs { requester, call->visibleTeam(), ids, workload };
        };
        // Canceling is idempotent, so the request is resent until it is answered.
        m_dependencies.partitionClient->askUntilAnswered(
            home, makeMessage, submitTimeout, [call, collected](const std::optional<protocol::Message>& answer) {
                const auto* it = answer ? std::get_if<protocol::CancelAnswer>(&*answer) : nullptr;
                collected->isComplete = collected->isComplete && it;
                collected->cancelled += it ? it->cancelled : 0;
                if (--collected->pendingPartitions > 0)
                    return;
                Json::Value body(Json::objectValue);
                body["cancelled"] = collected->cancelled;
                body["complete"] = collected->isComplete;
                call->responder.send(json(collected->isComplete ? 200 : 504, body));
            });
    }
}

} // namespace sardinerun::api

#include "routing/internal/observedbodysource.h"
#include "routing/internal/router.h"
#include "telemetry/log.h"

#include <algorithm>
#include <array>

//! Exchanges with runners and answers to callers.
namespace sardinerun::routing {

namespace {

//! Larger answers are not stored for replay to a resent request.
constexpr std::size_t maxStoredAnswer = std::size_t(64) << 10;
//! Larger answers are streamed to the caller while they arrive.
constexpr std::size_t streamAboveBytes = std::size_t(256) << 10;

constexpr std::array<std::string_view, 9> hopByHopHeaders { "connection", "keep-alive", "proxy-authenticate",
    "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length" };

bool isHopByHopHeader(const std::string& name)
{
    return std::find(hopByHopHeaders.begin(), hopByHopHeaders.end(), name) != hopByHopHeaders.end();
}

http::Headers endToEndHeaders(const http::Response& from)
{
    http::Headers headers;
    for (const http::Header& it : from.headers) {
        if (!isHopByHopHeader(it.name) && it.name != runnerStateHeader)
            headers.push_back(it);
    }
    return headers;
}

Failure toFailure(const Request& request, const http::ClientResult& result)
{
    if (!result && result.error().code == http::ClientError::Code::TimedOut)
        return Failure::TimedOut;
    return request.in.route.isRepeatable ? Failure::RunnerFailed : Failure::OutcomeUnknown;
}

} // namespace

// --- Exchanges with runners

bool Router::start(const RequestPtr& request)
{
    ServiceState& state = stateOf(request);
    auto runner = state.runners.acquire(request->tried, now());
    if (!runner && !request->tried.empty())
        runner = state.runners.acquire({}, now());
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

void Router::send(const RequestPtr& request, const services::VmInfo& runner)
{
    const http::Request& in = request->in.request;
    http::ClientRequest out;
    out.to = runner.address;
    out.method = in.method;
    out.target = request->in.path + (in.query.empty() ? "" : "?" + in.query);
    for (const http::Header& it : in.headers) {
        if (!isHopByHopHeader(it.name) && it.name != "traceparent" && it.name != "authorization")
            out.headers.push_back(it);
    }
    out.headers.push_back({ "traceparent", request->hopTrace.header() });
    out.headers.push_back({ "x-forwarded-host", in.authority });
    out.body = in.body;
    out.timeout = request->deadline - now();
    out.maxResponseBytes = m_maxResponseBytes;
    out.streamAboveBytes = request->key ? 0 : streamAboveBytes; // an answer that is stored for replay must be complete
    request->startedAt = now();
    auto self = weak_from_this();
    m_client->send(
        std::move(out), [this, self, request, id = runner.id, sentAt = now()](const http::ClientResult& result) {
            if (auto task = self.lock())
                onResult(request, id, sentAt, result);
        });
}

Attempt Router::toAttempt(const http::ClientResult& result) const
{
    Attempt attempt;
    if (!result) {
        attempt.result = result.error().maybeSent ? Attempt::Result::Broken : Attempt::Result::NotSent;
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
    const Attempt attempt = toAttempt(result);
    const core::Duration elapsed = now() - sentAt;
    if (result && result.value().stream) {
        if (attempt.result == Attempt::Result::Answered) {
            streamAnswer(request, runner, elapsed, result.value());
            return;
        }
        result.value().stream->source->cancel();
    }
    recordExchange(request, runner, attempt, elapsed);
    const bool isFinal = attempt.result == Attempt::Result::Answered || now() >= request->deadline;
    ServiceState& state = stateOf(request);
    switch (request->retryStrategy.decide(attempt, !isFinal && state.budget.tryConsume())) {
    case Action::Deliver:
        deliver(request, result.value());
        break;
    case Action::Retry:
        retry(request);
        break;
    case Action::FailNotRun:
        fail(request, { Failure::Overloaded, Executed::No, retryAfterOverload });
        break;
    case Action::FailUnknown:
        fail(request, { toFailure(*request, result), Executed::Unknown, std::nullopt });
        break;
    }
    startNext(state);
    notifyIdleShares();
}

void Router::recordExchange(
    const RequestPtr& request, const core::VmId& runner, const Attempt& attempt, core::Duration elapsed)
{
    ServiceState& state = stateOf(request);
    state.runners.release(runner, attempt, elapsed, now());
    state.queue.onEnded(request->in.route.urgency, elapsed);
    telemetry::writeSpan({ request->hopTrace, request->in.trace.spanId, "runner", elapsed, runner.value() });
}

// --- Streamed answers

void Router::streamAnswer(
    const RequestPtr& request, const core::VmId& runner, core::Duration elapsed, const http::Response& from)
{
    // The runner's slot stays in use until the body ends. The duration of the body depends on the reader, so only the
    // time to the response head counts as the runner's response time.
    auto ended = replyHere<http::BodyPart::State>([this, request, runner, elapsed](http::BodyPart::State state) {
        onStreamEnded(request, runner, elapsed, state);
    });
    http::Response response { from.status, endToEndHeaders(from), from.body, from.stream };
    response.stream->source = std::make_shared<ObservedBodySource>(from.stream->source, std::move(ended));
    answer(request, std::move(response));
}

void Router::onStreamEnded(
    const RequestPtr& request, const core::VmId& runner, core::Duration elapsed, http::BodyPart::State state)
{
    const bool isComplete = state == http::BodyPart::State::Complete;
    Attempt attempt;
    attempt.result = isComplete ? Attempt::Result::Answered : Attempt::Result::Broken;
    recordExchange(request, runner, attempt, elapsed);
    close(request, isComplete ? "answered" : "cut");
    startNext(stateOf(request));
    notifyIdleShares();
}

void Router::retry(const RequestPtr& request)
{
    request->hopTrace = request->in.trace.child();
    ServiceState& state = stateOf(request);
    if (state.queue.mayStart(request->in.route.urgency, usableSlots(state)) && start(request))
        return;
    m_waiting.emplace(request->id, request);
    state.queue.push(request->in.route.urgency, request->id, request->deadline);
}

// --- Answers

void Router::deliver(const RequestPtr& request, const http::Response& from)
{
    http::Response response { from.status, endToEndHeaders(from), from.body, std::nullopt };
    if (request->key) {
        const auto contentType = http::findHeader(from.headers, "content-type").value_or("");
        const bool isStored = from.body.size() <= maxStoredAnswer;
        m_claimClient->finish(
            *request->key, { from.status, std::string(contentType), isStored ? from.body : "", isStored });
        request->key.reset();
    }
    finish(request, std::move(response), "answered");
}

void Router::fail(const RequestPtr& request, FailureAnswer answer)
{
    if (request->key && answer.executed == Executed::No)
        m_claimClient->abandon(*request->key);
    if (request->key && answer.executed != Executed::No)
        m_claimClient->leaveOpen(*request->key);
    request->key.reset();
    // Values of the metric's "outcome" label, indexed by Executed.
    static constexpr std::array<const char*, 3> outcomes { "refused", "failed", "unknown" };
    finish(request, toResponse(answer), outcomes[static_cast<std::size_t>(answer.executed)]);
}

void Router::finish(const RequestPtr& request, http::Response response, const char* outcome)
{
    answer(request, std::move(response));
    close(request, outcome);
}

void Router::answer(const RequestPtr& request, http::Response response)
{
    response.headers.push_back({ "x-request-id", request->in.trace.traceId });
    request->in.responder.send(std::move(response));
}

void Router::close(const RequestPtr& request, const char* outcome)
{
    const std::string& service = request->in.service.id.value();
    const core::Duration elapsed = now() - request->arrivedAt;
    m_metrics->add(telemetry::Metric::Requests,
        { { "service", service }, { "urgency", jobs::nameOf(request->in.route.urgency) }, { "outcome", outcome } });
    m_metrics->observe(
        telemetry::Metric::RequestSeconds, { { "service", service } }, std::chrono::duration<double>(elapsed).count());
    telemetry::writeSpan({ request->in.trace, "", "request", elapsed, service + " " + outcome });
    --m_openRequests;
    notifyIfIdle();
}

} // namespace sardinerun::routing

#include "standins/runnerstandin.h"

#include "routing/routingtypes.h"

#include <algorithm>
#include <map>

namespace sardinerun::standins {

class RunnersStandin {
public:
    RunnersStandin(runtime::EventLoopPtr loop, http::IHttpClientPtr client, const RunnersOptions& options)
        : m_loop(std::move(loop))
        , m_client(std::move(client))
        , m_options(options)
    {
        std::vector<services::VmInfo> vms;
        vms.reserve(static_cast<std::size_t>(options.count));
        for (int n = 0; n < options.count; ++n)
            vms.push_back(addRunner(n));
        registerVms(m_loop, m_client, options.platform, vms);
    }

private:
    struct HostedRunner {
        services::VmInfo vm;
        http::IHttpServerPtr server;
        std::int64_t inUse = 0;
        bool isLeaving = false;
        bool isFrozen = false;
        bool isFailing = false;
        std::uint64_t requestsWhileLeaving = 0;
        core::TimePoint leavingSince {};
        core::Duration lastRequestWhileLeaving {};
    };

    services::VmInfo addRunner(int n)
    {
        auto runner = std::make_unique<HostedRunner>();
        runner->vm.id = core::VmId(m_options.service.value() + "-" + std::to_string(n));
        runner->vm.role = services::VmRole::Runner;
        runner->vm.service = m_options.service;
        runner->vm.slots = m_options.slots;
        runner->vm.failureDomain = core::FailureDomainId(
            m_options.failureDomains[static_cast<std::size_t>(n) % m_options.failureDomains.size()]);
        HostedRunner& hosted = *runner;
        const auto port = static_cast<std::uint16_t>(m_options.firstPort == 0 ? 0 : m_options.firstPort + n);
        runner->server
            = listenOrExit(m_loop, port, [this, &hosted](const http::Request& request, http::Responder responder) {
                  handle(hosted, request, std::move(responder));
              });
        runner->vm.address = { "127.0.0.1", runner->server->port() };
        services::VmInfo vm = runner->vm;
        m_runners.push_back(std::move(runner));
        return vm;
    }

    void handle(HostedRunner& runner, const http::Request& request, http::Responder responder)
    {
        if (request.path == "/control/stats") {
            responder.send(stats());
        } else if (request.path == "/control/faults") {
            responder.send(setFaults(runner, request.body));
        } else if (request.path == "/runner-state") {
            responder.send(withState(runner, { 200, {}, "" }));
        } else {
            serve(runner, request, std::move(responder));
        }
    }

    http::Response withState(const HostedRunner& runner, http::Response response) const
    {
        if (runner.isLeaving)
            response.headers.push_back({ routing::runnerStateHeader, routing::runnerLeaving });
        return response;
    }

    void serve(HostedRunner& runner, const http::Request& request, http::Responder responder)
    {
        ++m_requestCount;
        if (runner.isLeaving) {
            ++runner.requestsWhileLeaving;
            runner.lastRequestWhileLeaving = m_loop->now() - runner.leavingSince;
        }
        ++runner.inUse;
        m_peakInUse = std::max(m_peakInUse, runner.inUse);
        if (runner.inUse > runner.vm.slots.value())
            ++m_slotViolations;
        if (const auto key = http::findHeader(request.headers, "idempotency-key")) {
            if (++m_executionsByKey[std::string(*key)] > 1)
                ++m_repeatedExecutions;
        }
        if (runner.isFrozen) {
            m_unanswered.push_back(std::move(responder));
            return;
        }
        Json::Value body(Json::objectValue);
        body["runner"] = runner.vm.id.value();
        body["method"] = request.method;
        body["path"] = request.path;
        body["body"] = request.body;
        if (const auto bytes = http::queryParameter(request.query, "bytes"))
            body["filling"] = std::string(std::stoul(*bytes), 'x');
        const int status = runner.isFailing ? 500 : 200;
        auto sharedResponder = std::make_shared<http::Responder>(std::move(responder));
        m_loop->callAfter(m_options.work, [this, &runner, sharedResponder, response = jsonResponse(status, body)] {
            --runner.inUse;
            sharedResponder->send(withState(runner, response));
        });
    }

    http::Response setFaults(HostedRunner& runner, const std::string& body)
    {
        const Json::Value value = codec::parseJson(body);
        codec::ObjectReader reader(value);
        const bool wasLeaving = runner.isLeaving;
        runner.isLeaving = reader.flagOr("leaving", runner.isLeaving);
        if (runner.isLeaving && !wasLeaving)
            runner.leavingSince = m_loop->now();
        runner.isFrozen = reader.flagOr("frozen", runner.isFrozen);
        runner.isFailing = reader.flagOr("failing", runner.isFailing);
        m_options.work = std::chrono::milliseconds(
            reader.integerOr("workMs", 0, 60'000, m_options.work / std::chrono::milliseconds(1)));
        reader.finish();
        return jsonResponse(200, Json::Value(Json::objectValue));
    }

    http::Response stats() const
    {
        Json::Value value(Json::objectValue);
        std::uint64_t whileLeaving = 0;
        std::int64_t lastMs = 0;
        for (const auto& runner : m_runners) {
            whileLeaving += runner->requestsWhileLeaving;
            lastMs = std::max<std::int64_t>(lastMs, runner->lastRequestWhileLeaving / std::chrono::milliseconds(1));
        }
        value["taken"] = Json::UInt64(m_requestCount);
        value["overfull"] = Json::UInt64(m_slotViolations);
        value["mostInUse"] = Json::Int64(m_peakInUse);
        value["keys"] = Json::UInt64(m_executionsByKey.size());
        value["doubled"] = Json::UInt64(m_repeatedExecutions);
        value["takenWhileLeaving"] = Json::UInt64(whileLeaving);
        value["lastTakenWhileLeavingMs"] = Json::Int64(lastMs);
        return jsonResponse(200, value);
    }

    runtime::EventLoopPtr m_loop;
    http::IHttpClientPtr m_client;
    RunnersOptions m_options;
    std::vector<std::unique_ptr<HostedRunner>> m_runners;
    std::vector<http::Responder> m_unanswered;
    std::map<std::string, int> m_executionsByKey;
    std::uint64_t m_requestCount = 0;
    std::uint64_t m_slotViolations = 0;
    std::uint64_t m_repeatedExecutions = 0;
    std::int64_t m_peakInUse = 0;
};

std::shared_ptr<RunnersStandin> startRunners(
    const runtime::EventLoopPtr& loop, const http::IHttpClientPtr& client, const RunnersOptions& options)
{
    return std::make_shared<RunnersStandin>(loop, client, options);
}

} // namespace sardinerun::standins

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
        announce(m_loop, m_client, options.platform, vms);
    }

private:
    struct Hosted {
        services::VmInfo vm;
        http::IHttpServerPtr server;
        std::int64_t inUse = 0;
        bool isLeaving = false;
        bool isFrozen = false;
        bool isFailing = false;
        std::uint64_t takenWhileLeaving = 0;
        core::TimePoint leavingSince {};
        core::Duration lastTakenWhileLeaving {};
    };

    services::VmInfo addRunner(int n)
    {
        auto it = std::make_unique<Hosted>();
        it->vm.id = core::VmId(m_options.service.value() + "-" + std::to_string(n));
        it->vm.role = services::VmRole::Runner;
        it->vm.service = m_options.service;
        it->vm.slots = m_options.slots;
        it->vm.failureDomain = core::FailureDomainId(
            m_options.failureDomains[static_cast<std::size_t>(n) % m_options.failureDomains.size()]);
        Hosted& hosted = *it;
        const auto port = static_cast<std::uint16_t>(m_options.firstPort == 0 ? 0 : m_options.firstPort + n);
        it->server
            = listenOrDie(m_loop, port, [this, &hosted](const http::Request& request, http::Responder responder) {
                  handle(hosted, request, std::move(responder));
              });
        it->vm.address = { "127.0.0.1", it->server->port() };
        services::VmInfo vm = it->vm;
        m_runners.push_back(std::move(it));
        return vm;
    }

    void handle(Hosted& it, const http::Request& request, http::Responder responder)
    {
        if (request.path == "/control/stats") {
            responder.send(stats());
        } else if (request.path == "/control/faults") {
            responder.send(setFaults(it, request.body));
        } else if (request.path == "/runner-state") {
            responder.send(withState(it, { 200, {}, "" }));
        } else {
            serve(it, request, std::move(responder));
        }
    }

    http::Response withState(const Hosted& it, http::Response response) const
    {
        if (it.isLeaving)
            response.headers.push_back({ routing::runnerStateHeader, routing::runnerLeaving });
        return response;
    }

    void serve(Hosted& it, const http::Request& request, http::Responder responder)
    {
        ++m_taken;
        if (it.isLeaving) {
            ++it.takenWhileLeaving;
            it.lastTakenWhileLeaving = m_loop->now() - it.leavingSince;
        }
        ++it.inUse;
        m_mostInUse = std::max(m_mostInUse, it.inUse);
        if (it.inUse > it.vm.slots.value())
            ++m_overfull;
        if (const auto key = http::findHeader(request.headers, "idempotency-key")) {
            if (++m_runsOf[std::string(*key)] > 1)
                ++m_doubled;
        }
        if (it.isFrozen) {
            m_lost.push_back(std::move(responder));
            return;
        }
        Json::Value body(Json::objectValue);
        body["runner"] = it.vm.id.value();
        body["method"] = request.method;
        body["path"] = request.path;
        body["body"] = request.body;
        if (const auto bytes = http::queryParameter(request.query, "bytes"))
            body["filling"] = std::string(std::stoul(*bytes), 'x');
        const int status = it.isFailing ? 500 : 200;
        auto kept = std::make_shared<http::Responder>(std::move(responder));
        m_loop->callAfter(m_options.work, [this, &it, kept, response = jsonResponse(status, body)] {
            --it.inUse;
            kept->send(withState(it, response));
        });
    }

    http::Response setFaults(Hosted& it, const std::string& body)
    {
        const Json::Value value = codec::parseJson(body);
        codec::ObjectReader reader(value);
        const bool wasLeaving = it.isLeaving;
        it.isLeaving = reader.flagOr("leaving", it.isLeaving);
        if (it.isLeaving && !wasLeaving)
            it.leavingSince = m_loop->now();
        it.isFrozen = reader.flagOr("frozen", it.isFrozen);
        it.isFailing = reader.flagOr("failing", it.isFailing);
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
        for (const auto& it : m_runners) {
            whileLeaving += it->takenWhileLeaving;
            lastMs = std::max<std::int64_t>(lastMs, it->lastTakenWhileLeaving / std::chrono::milliseconds(1));
        }
        value["taken"] = Json::UInt64(m_taken);
        value["overfull"] = Json::UInt64(m_overfull);
        value["mostInUse"] = Json::Int64(m_mostInUse);
        value["keys"] = Json::UInt64(m_runsOf.size());
        value["doubled"] = Json::UInt64(m_doubled);
        value["takenWhileLeaving"] = Json::UInt64(whileLeaving);
        value["lastTakenWhileLeavingMs"] = Json::Int64(lastMs);
        return jsonResponse(200, value);
    }

    runtime::EventLoopPtr m_loop;
    http::IHttpClientPtr m_client;
    RunnersOptions m_options;
    std::vector<std::unique_ptr<Hosted>> m_runners;
    std::vector<http::Responder> m_lost;
    std::map<std::string, int> m_runsOf;
    std::uint64_t m_taken = 0;
    std::uint64_t m_overfull = 0;
    std::uint64_t m_doubled = 0;
    std::int64_t m_mostInUse = 0;
};

std::shared_ptr<RunnersStandin> startRunners(
    const runtime::EventLoopPtr& loop, const http::IHttpClientPtr& client, const RunnersOptions& options)
{
    return std::make_shared<RunnersStandin>(loop, client, options);
}

} // namespace sardinerun::standins

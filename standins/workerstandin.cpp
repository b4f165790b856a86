#include "standins/workerstandin.h"

#include "services/servicescodec.h"
#include "services/testing/fakeworker.h"

#include <map>
#include <set>

namespace sardinerun::standins {

namespace {

constexpr core::Duration tickPeriod = std::chrono::milliseconds(5);
using Task = std::pair<core::JobId, core::TaskIndex>;

} // namespace

class WorkersStandin {
public:
    WorkersStandin(runtime::EventLoopPtr loop, const http::IHttpClientPtr& client, const WorkersOptions& options)
        : m_loop(std::move(loop))
    {
        std::vector<services::VmInfo> vms;
        vms.reserve(static_cast<std::size_t>(options.count));
        for (int n = 0; n < options.count; ++n)
            vms.push_back(addWorker(n, options));
        registerVms(m_loop, client, options.platform, vms);
        m_loop->post([this] { tick(); });
    }

private:
    struct HostedWorker {
        std::unique_ptr<services::testing::FakeWorker> worker;
        http::IHttpServerPtr server;
        bool isFrozen = false; //!< defers requests and answers none
        bool losesAnswers = false;
        std::vector<std::pair<std::string, http::Responder>> deferredRequests; //!< received while frozen
    };

    services::VmInfo addWorker(int n, const WorkersOptions& options)
    {
        services::VmInfo vm;
        vm.id = core::VmId(options.prefix + "-" + std::to_string(n));
        vm.role = services::VmRole::Worker;
        vm.rack = core::RackId("rack-" + std::to_string(n / options.perRack));
        vm.failureDomain = core::FailureDomainId(
            options.failureDomains[static_cast<std::size_t>(n) % options.failureDomains.size()]);
        vm.capacity = options.capacity;
        services::testing::WorkerEvents events;
        events.started = [this](const core::AttemptId& it) { onStarted(it); };
        events.ended = [this](const core::AttemptId& it, services::AttemptState state) { onEnded(it, state); };
        auto entry = std::make_unique<HostedWorker>();
        // Includes the time, so that sessions differ from those of an earlier process under the same name.
        const std::string session = vm.id.value() + "-" + std::to_string(m_loop->now().time_since_epoch().count());
        entry->worker
            = std::make_unique<services::testing::FakeWorker>(options.capacity, options.lease, session, events);
        entry->worker->usedPercent = options.usedPercent;
        HostedWorker& hosted = *entry;
        const auto port = static_cast<std::uint16_t>(options.firstPort == 0 ? 0 : options.firstPort + n);
        entry->server
            = listenOrExit(m_loop, port, [this, &hosted](const http::Request& request, http::Responder responder) {
                  handle(hosted, request, std::move(responder));
              });
        vm.address = { "127.0.0.1", entry->server->port() };
        m_workers.push_back(std::move(entry));
        return vm;
    }

    void handle(HostedWorker& hosted, const http::Request& request, http::Responder responder)
    {
        if (request.path == "/control/stats") {
            responder.send(stats());
            return;
        }
        if (request.path == "/control/faults") {
            responder.send(setFaults(hosted, request.body));
            return;
        }
        if (request.path != "/v1/sync") {
            responder.send({ 404, {}, "" });
            return;
        }
        if (hosted.isFrozen)
            hosted.deferredRequests.emplace_back(request.body, std::move(responder));
        else
            sync(hosted, request.body, std::move(responder));
    }

    void sync(HostedWorker& hosted, const std::string& body, http::Responder responder)
    {
        ++m_syncs;
        http::Response response;
        try {
            const services::SyncResult result = hosted.worker->sync(services::decodeSync(body), m_loop->now());
            response = result ? http::Response { 200, {}, services::encodeReport(result.value()) }
                              : http::Response { 409, {}, result.error().detail };
        } catch (const codec::DecodeError& error) {
            response = { 400, {}, error.what() };
        }
        checkCapacity(hosted);
        if (hosted.losesAnswers)
            m_unanswered.push_back(std::move(responder));
        else
            responder.send(std::move(response));
    }

    void checkCapacity(const HostedWorker& hosted)
    {
        if (!hosted.worker->running().fitsIn(hosted.worker->capacity()))
            ++m_capacityViolations;
    }

    http::Response setFaults(HostedWorker& hosted, const std::string& body)
    {
        const Json::Value value = codec::parseJson(body);
        codec::ObjectReader reader(value);
        hosted.isFrozen = reader.flagOr("frozen", hosted.isFrozen);
        hosted.losesAnswers = reader.flagOr("loseAnswers", hosted.losesAnswers);
        hosted.worker->failsStarts = reader.flagOr("failStarts", hosted.worker->failsStarts);
        if (reader.flagOr("restart", false))
            hosted.worker->restart();
        reader.finish();
        auto deferredRequests = std::exchange(hosted.deferredRequests, {});
        for (auto& [requestBody, responder] : deferredRequests) {
            if (hosted.isFrozen)
                hosted.deferredRequests.emplace_back(requestBody, std::move(responder));
            else
                sync(hosted, requestBody, std::move(responder)); // late, and out of order with newer requests
        }
        return jsonResponse(200, Json::Value(Json::objectValue));
    }

    void onStarted(const core::AttemptId& id)
    {
        ++m_starts;
        const Task task { id.job, id.task };
        ++m_startsByTask[task];
        if (++m_running[task] > 1)
            ++m_concurrentStarts;
    }

    void onEnded(const core::AttemptId& id, services::AttemptState state)
    {
        const Task task { id.job, id.task };
        --m_running[task];
        if (state == services::AttemptState::Succeeded)
            ++m_succeeded[task];
    }

    http::Response stats() const
    {
        Json::Value value(Json::objectValue);
        std::uint64_t running = 0;
        for (const auto& [task, n] : m_running)
            running += n > 0 ? 1 : 0;
        std::uint64_t finishedTwice = 0;
        for (const auto& [task, n] : m_succeeded)
            finishedTwice += n > 1 ? 1 : 0;
        value["starts"] = Json::UInt64(m_starts);
        value["tasksStarted"] = Json::UInt64(m_startsByTask.size());
        value["tasksSucceeded"] = Json::UInt64(m_succeeded.size());
        value["finishedTwice"] = Json::UInt64(finishedTwice);
        value["running"] = Json::UInt64(running);
        value["runningTwice"] = Json::UInt64(m_concurrentStarts);
        value["overfull"] = Json::UInt64(m_capacityViolations);
        value["syncs"] = Json::UInt64(m_syncs);
        value["jobs"] = Json::Value(Json::objectValue);
        for (const auto& [task, n] : m_startsByTask)
            value["jobs"][task.first.value()] = value["jobs"][task.first.value()].asInt() + n;
        return jsonResponse(200, value);
    }

    void tick()
    {
        for (auto& it : m_workers)
            it->worker->tick(m_loop->now());
        m_loop->callAfter(tickPeriod, [this] { tick(); });
    }

    runtime::EventLoopPtr m_loop;
    std::vector<std::unique_ptr<HostedWorker>> m_workers;
    std::vector<http::Responder> m_unanswered;
    std::map<Task, int> m_running;
    std::map<Task, int> m_startsByTask;
    std::map<Task, int> m_succeeded;
    std::uint64_t m_starts = 0;
    std::uint64_t m_concurrentStarts = 0;
    std::uint64_t m_capacityViolations = 0;
    std::uint64_t m_syncs = 0;
};

std::shared_ptr<WorkersStandin> startWorkers(
    const runtime::EventLoopPtr& loop, const http::IHttpClientPtr& client, const WorkersOptions& options)
{
    return std::make_shared<WorkersStandin>(loop, client, options);
}

} // namespace sardinerun::standins

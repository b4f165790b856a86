#include "standins/deploymentstandin.h"

#include "platform/internal/wire.h"
#include "standins/rowsstandin.h"
#include "standins/tasksstandin.h"

#include <deque>
#include <map>

namespace sardinerun::standins {

namespace {

using platform::flagOf;
using platform::textOf;

//! The advice service rejects one worker in three; a hash of the step and the worker decides which.
constexpr std::size_t rejectedOneIn = 3;
constexpr core::Duration adviceLatency = std::chrono::milliseconds(5);

//! Texts that are sent instead of the next answers, as a faulty program would.
class OddAnswers {
public:
    void add(const Json::Value& from)
    {
        m_status = static_cast<int>(platform::integerOf(from, "status", 200));
        for (const Json::Value& it : platform::listOf(from, "answers"))
            m_texts.push_back(it.asString());
    }
    bool send(http::Responder& responder)
    {
        if (m_texts.empty())
            return false;
        responder.send({ m_status, {}, m_texts.front(), {} });
        m_texts.pop_front();
        return true;
    }
    std::size_t size() const { return m_texts.size(); }

private:
    int m_status = 200;
    std::deque<std::string> m_texts;
};

core::VmId workerId(int number)
{
    return core::VmId("w" + std::to_string(number));
}

} // namespace

class DeploymentStandin {
public:
    DeploymentStandin(const runtime::EventLoopPtr& loop, DeploymentOptions options)
        : m_loop(loop)
        , m_options(std::move(options))
        , m_rows(loop)
        , m_tasks(loop)
    {
        const auto port = m_options.firstPort;
        m_servers.push_back(listenOrExit(loop, port, [this](const http::Request& request, http::Responder responder) {
            handle(request, std::move(responder));
        }));
        m_servers.push_back(
            listenOrExit(loop, port + 1, [this](const http::Request& request, http::Responder responder) {
                advise(request, std::move(responder));
            }));
        for (int n = 0; n < m_options.workers; ++n) {
            m_tasks.worker(workerId(n)).startedAt = fleet::WorkerStartTime(1);
            m_workerServers[n] = listenAsWorker(n);
            publishWorker(n);
        }
    }

private:
    //! Listens for one incarnation of a worker. Its connections end with it: what arrives on them later is not
    //! answered.
    http::IHttpServerPtr listenAsWorker(int n)
    {
        const fleet::WorkerStartTime incarnation = m_tasks.worker(workerId(n)).startedAt;
        return listenOrExit(
            m_loop, workerPort(n), [this, n, incarnation](const http::Request& request, http::Responder responder) {
                if (m_tasks.worker(workerId(n)).startedAt != incarnation)
                    m_tasks.leaveUnanswered(std::move(responder));
                else if (!m_oddWorkerAnswers[n].send(responder))
                    m_tasks.handle(workerId(n), request, std::move(responder));
            });
    }

    std::uint16_t workerPort(int n) const { return static_cast<std::uint16_t>(m_options.firstPort + 2 + n); }

    //! Writes the worker's entry into the worker registry of the store.
    void publishWorker(int n, bool isDraining = false)
    {
        Json::Value entry(Json::objectValue);
        entry["service"] = m_options.service.value();
        entry["address"] = core::HostPort { "127.0.0.1", workerPort(n) }.text();
        entry["zone"] = "a";
        entry["state"] = isDraining ? "draining" : "ready";
        entry["born"] = Json::Int64(m_tasks.worker(workerId(n)).startedAt.value());
        entry["capacity"]["cpu"] = Json::Int64(m_options.capacity.cpu.value());
        entry["capacity"]["mem_mb"] = Json::Int64(m_options.capacity.memory.value());
        entry["labels"].append("k-plain");
        entry["labels"].append("r-" + std::to_string(n / m_options.perRack));
        m_rows.put("servers", workerId(n).value(), codec::writeJson(entry));
    }

    void handle(const http::Request& request, http::Responder responder)
    {
        using Control = void (DeploymentStandin::*)(const std::string&);
        static const std::map<std::string, Control> controls { { "/control/config", &DeploymentStandin::configure },
            { "/control/rows", &DeploymentStandin::setRows }, { "/control/row", &DeploymentStandin::putRow },
            { "/control/worker", &DeploymentStandin::setWorker },
            { "/control/odd-answers", &DeploymentStandin::addOddAnswers } };
        try {
            const bool isControl = request.path.rfind("/control/", 0) == 0;
            if (!isControl && m_oddStoreAnswers.send(responder))
                return;
            if (m_rows.handle(request, responder))
                return;
            if (const auto it = controls.find(request.path); it != controls.end())
                (this->*it->second)(request.body);
            responder.send(jsonResponse(200, stats()));
        } catch (const codec::DecodeError& it) {
            responder.send({ 400, {}, it.what(), {} });
        }
    }

    Json::Value stats() const
    {
        Json::Value to = m_tasks.stats();
        std::size_t oddAnswers = m_oddStoreAnswers.size() + m_oddAdvice.size();
        for (const auto& [number, it] : m_oddWorkerAnswers)
            oddAnswers += it.size();
        to["oddAnswers"] = Json::UInt64(oddAnswers);
        return to;
    }

    //! Writes any row, as another program does.
    void putRow(const std::string& body)
    {
        const Json::Value value = codec::parseJson(body);
        m_rows.put(textOf(value, "table"), textOf(value, "key"), platform::decodeBase64(textOf(value, "value")));
    }

    void addOddAnswers(const std::string& body)
    {
        const Json::Value value = codec::parseJson(body);
        const std::string from = textOf(value, "from");
        if (from == "store")
            m_oddStoreAnswers.add(value);
        else if (from == "advice")
            m_oddAdvice.add(value);
        else
            m_oddWorkerAnswers[static_cast<int>(platform::integerOf(value, "number"))].add(value);
    }

    void configure(const std::string& body) { m_rows.put("op", "config", body); }

    void setRows(const std::string& body)
    {
        const Json::Value value = codec::parseJson(body);
        m_rows.rows().isDown = flagOf(value, "down");
        m_rows.rows().losesAnswers = static_cast<int>(platform::integerOf(value, "losesAnswers"));
        m_rows.rows().commitAnswerDelay = std::chrono::milliseconds(platform::integerOf(value, "commitAnswerDelayMs"));
    }

    void setWorker(const std::string& body)
    {
        const Json::Value value = codec::parseJson(body);
        const int number = static_cast<int>(platform::integerOf(value, "number"));
        fleet::testing::FakeWorker& it = m_tasks.worker(workerId(number));
        it.isSilent = flagOf(value, "silent");
        it.silentToFences.clear();
        for (const Json::Value& fence : platform::listOf(value, "silentToFences"))
            it.silentToFences.insert(fence.asUInt64());
        it.losesStarts = static_cast<int>(platform::integerOf(value, "losesStarts"));
        it.answerDelay = std::chrono::milliseconds(platform::integerOf(value, "answerDelayMs"));
        it.reportDelay = it.answerDelay;
        if (flagOf(value, "reborn"))
            crash(number);
        publishWorker(number, flagOf(value, "draining"));
    }

    //! Restarts the worker: it answers at the same address and under the same name, on new connections only, with a new
    //! start time and no state of its former incarnation.
    void crash(int number)
    {
        m_tasks.worker(workerId(number)).restart(m_loop->now());
        m_workerServers[number]->drain();
        m_servers.push_back(std::exchange(m_workerServers[number], listenAsWorker(number)));
    }

    void advise(const http::Request& request, http::Responder responder)
    {
        if (m_oddAdvice.send(responder))
            return;
        const Json::Value adviceRequest = codec::parseJson(request.body);
        const std::string step = textOf(adviceRequest, "step");
        Json::Value answer(Json::objectValue);
        answer["good"] = Json::Value(Json::arrayValue);
        for (const Json::Value& worker : platform::listOf(adviceRequest, "workers")) {
            const std::string text = step + "/" + worker.asString();
            if (std::hash<std::string>()(text) % rejectedOneIn == 0)
                continue;
            Json::Value row(Json::arrayValue);
            row.append(worker);
            row.append("ticket-" + text);
            answer["good"].append(row);
        }
        m_loop->callAfter(adviceLatency, [responder, answer]() mutable { responder.send(jsonResponse(200, answer)); });
    }

    runtime::EventLoopPtr m_loop;
    DeploymentOptions m_options;
    RowsStandin m_rows;
    TasksStandin m_tasks;
    std::map<int, OddAnswers> m_oddWorkerAnswers; //!< by the number of the worker
    OddAnswers m_oddStoreAnswers;
    OddAnswers m_oddAdvice;
    std::vector<http::IHttpServerPtr> m_servers; //!< including those of workers' former incarnations
    std::map<int, http::IHttpServerPtr> m_workerServers; //!< of the current incarnations, by the worker's number
};

std::shared_ptr<DeploymentStandin> startDeployment(const runtime::EventLoopPtr& loop, const DeploymentOptions& options)
{
    return std::make_shared<DeploymentStandin>(loop, options);
}

} // namespace sardinerun::standins

#include "standins/platformstandin.h"

#include "services/servicescodec.h"
#include "services/testing/fakestore.h"

#include <algorithm>
#include <map>

namespace sardinerun::standins {

namespace {

using Fault = services::testing::FakeStore::Fault;

} // namespace

class PlatformStandin {
public:
    PlatformStandin(runtime::EventLoopPtr loop, std::uint16_t port)
        : m_loop(std::move(loop))
    {
        m_server = listenOrExit(m_loop, port,
            [this](const http::Request& request, http::Responder responder) { handle(request, std::move(responder)); });
    }

private:
    struct ListedVm {
        services::VmInfo vm;
        core::TimePoint listedAt;
    };

    void handle(const http::Request& request, http::Responder responder)
    {
        http::Response response;
        try {
            response = answer(request);
        } catch (const codec::DecodeError& it) {
            response = { 400, {}, it.what() };
        }
        const bool isControl = request.path.starts_with("/control/");
        if (!isControl && m_losesAnswers) {
            m_unanswered.push_back(std::move(responder)); // never answered
            return;
        }
        if (isControl || m_answerDelay.count() == 0) {
            responder.send(std::move(response));
            return;
        }
        auto sharedResponder = std::make_shared<http::Responder>(std::move(responder));
        m_loop->callAfter(m_answerDelay, [sharedResponder, response] { sharedResponder->send(response); });
    }

    http::Response answer(const http::Request& request)
    {
        if (request.path == "/control/faults")
            return setFaults(request.body);
        if (request.path == "/control/vms")
            return putVms(request.body);
        if (request.path == "/control/odd-vms") {
            m_oddVms = request.body;
            return jsonResponse(200, Json::Value(Json::objectValue));
        }
        if (request.path == "/control/stats")
            return stats();
        if (m_isDown)
            return { 503, {}, "down" };
        if (request.path == "/v1/transactions")
            return commit(request.body);
        if (request.path == "/v1/rows")
            return rows(request);
        if (request.path == "/v1/vms")
            return vms(request);
        return { 404, {}, "" };
    }

    http::Response commit(const std::string& body)
    {
        ++m_writes;
        const services::Transaction transaction = services::decodeTransaction(body);
        const services::CommitResult result = m_store.commitNow(transaction);
        if (!result)
            return { 409, {}, result.error().detail };
        Json::Value value(Json::objectValue);
        value["version"] = Json::UInt64(result.value().value());
        return jsonResponse(200, value);
    }

    http::Response rows(const http::Request& request)
    {
        ++m_reads;
        const std::string prefix = http::queryParameter(request.query, "prefix").value_or("");
        return { 200, { { "content-type", "application/json" } },
            services::encodeRows(m_store.listNow(prefix).value()) };
    }

    http::Response vms(const http::Request& request)
    {
        ++m_reads;
        std::vector<services::VmInfo> visible;
        for (const auto& [id, it] : m_vms) {
            if (m_loop->now() >= it.listedAt + m_listLag)
                visible.push_back(it.vm);
            else if (const auto former = m_formerVms.find(id); former != m_formerVms.end())
                visible.push_back(former->second);
        }
        std::string body = services::encodeVms(visible);
        if (!m_oddVms.empty())
            body.insert(body.find('[') + 1, m_oddVms + (visible.empty() ? "" : ","));
        const std::string tag = std::to_string(std::hash<std::string>()(body));
        if (http::findHeader(request.headers, "if-none-match") == tag)
            return { 304, { { "etag", tag } }, "" };
        return { 200, { { "content-type", "application/json" }, { "etag", tag } }, body };
    }

    http::Response setFaults(const std::string& body)
    {
        const Json::Value value = codec::parseJson(body);
        codec::ObjectReader reader(value);
        m_isDown = reader.flagOr("down", m_isDown);
        m_losesAnswers = reader.flagOr("loseAnswers", m_losesAnswers);
        m_answerDelay = std::chrono::milliseconds(
            reader.integerOr("slowMs", 0, 60'000, m_answerDelay / std::chrono::milliseconds(1)));
        m_listLag = std::chrono::milliseconds(
            reader.integerOr("listLagMs", 0, 600'000, m_listLag / std::chrono::milliseconds(1)));
        reader.finish();
        return jsonResponse(200, Json::Value(Json::objectValue));
    }

    http::Response putVms(const std::string& body)
    {
        for (const services::VmInfo& it : services::decodeVms(body).vms) {
            if (const auto former = m_vms.find(it.id); former != m_vms.end())
                m_formerVms[it.id] = former->second.vm;
            m_vms[it.id] = { it, m_loop->now() };
        }
        return jsonResponse(200, Json::Value(Json::objectValue));
    }

    http::Response stats() const
    {
        Json::Value value(Json::objectValue);
        value["writes"] = Json::UInt64(m_writes);
        value["reads"] = Json::UInt64(m_reads);
        value["rows"] = Json::UInt64(m_store.listNow("").value().size());
        return jsonResponse(200, value);
    }

    runtime::EventLoopPtr m_loop;
    http::IHttpServerPtr m_server;
    services::testing::FakeStore m_store;
    std::map<core::VmId, ListedVm> m_vms;
    std::map<core::VmId, services::VmInfo> m_formerVms;
    std::string m_oddVms; //!< entries of another writer, as text
    std::vector<http::Responder> m_unanswered;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
    bool m_isDown = false;
    bool m_losesAnswers = false;
    core::Duration m_answerDelay {};
    core::Duration m_listLag {};
};

std::shared_ptr<PlatformStandin> startPlatform(const runtime::EventLoopPtr& loop, std::uint16_t port)
{
    return std::make_shared<PlatformStandin>(loop, port);
}

} // namespace sardinerun::standins

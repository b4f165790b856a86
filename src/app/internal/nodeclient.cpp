#include "app/internal/nodeclient.h"

#include "app/internal/commands.h"
#include "codec/json.h"
#include "http/h2oclient.h"

#include <future>
#include <iostream>

namespace sardinerun::app {

namespace {

constexpr core::Duration callTimeout = std::chrono::seconds(40);

int exitCodeOf(int status, const Json::Value& body)
{
    if (status < 300)
        return ExitCode::Ok;
    if (status == 409)
        return ExitCode::Conflict;
    const std::string executed = body.isObject() ? body["run"].asString() : "";
    if (executed == "no")
        return ExitCode::Refused;
    return executed == "unknown" ? ExitCode::Unknown : ExitCode::Failed;
}

Json::Value readBody(const std::string& text)
{
    try {
        return codec::parseJson(text);
    } catch (const codec::DecodeError&) {
        return Json::Value(text);
    }
}

} // namespace

NodeClient::NodeClient(core::HostPort node, std::string token)
    : m_node(std::move(node))
    , m_token(std::move(token))
    , m_loop(runtime::EventLoop::create("client", runtime::systemClock()).value())
    , m_client(http::createClient(m_loop))
{
    m_loop->start();
}

NodeClient::~NodeClient()
{
    m_loop->stop();
}

NodeClient::Answer NodeClient::call(
    const std::string& method, const std::string& target, const std::string& body, const std::string& key)
{
    http::ClientRequest request;
    request.to = m_node;
    request.method = method;
    request.target = target;
    request.body = body;
    request.timeout = callTimeout;
    if (!m_token.empty())
        request.headers.push_back({ "authorization", "Bearer " + m_token });
    if (!key.empty())
        request.headers.push_back({ "idempotency-key", key });
    std::promise<http::ClientResult> done;
    m_loop->post([&] { m_client->send(request, [&done](http::ClientResult it) { done.set_value(std::move(it)); }); });
    const http::ClientResult result = done.get_future().get();
    if (!result) {
        std::cerr << "no answer from " << m_node.text() << ": " << result.error().detail << "\n";
        return { result.error().maybeSent ? ExitCode::Unknown : ExitCode::Unreachable, {} };
    }
    Answer answer { 0, readBody(result.value().body) };
    answer.exitCode = exitCodeOf(result.value().status, answer.body);
    if (answer.exitCode != ExitCode::Ok && answer.body.isObject()) {
        std::cerr << answer.body["title"].asString();
        if (answer.body.isMember("detail"))
            std::cerr << ": " << answer.body["detail"].asString();
        std::cerr << " (run: " << answer.body["run"].asString() << ")\n";
    }
    return answer;
}

} // namespace sardinerun::app

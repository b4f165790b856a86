#include "standins/control.h"

#include "http/h2oserver.h"
#include "services/servicescodec.h"

#include <cstdlib>
#include <iostream>

namespace sardinerun::standins {

namespace {

constexpr core::Duration registrationRetryDelay = std::chrono::milliseconds(200);
constexpr std::size_t maxRequestBodyBytes = std::size_t(64) << 20;

} // namespace

http::Response jsonResponse(int status, const Json::Value& value)
{
    return { status, { { "content-type", "application/json" } }, codec::writeJson(value) };
}

http::IHttpServerPtr listenOrExit(const runtime::EventLoopPtr& loop, std::uint16_t port, http::Handler handler)
{
    http::ServerOptions options;
    options.listen = { "127.0.0.1", port };
    options.maxBodyBytes = maxRequestBodyBytes;
    auto server = http::createServer(loop, options, std::move(handler));
    if (!server) {
        std::cerr << "cannot listen on port " << port << "\n";
        std::exit(1);
    }
    return server.value();
}

void registerVms(const runtime::EventLoopPtr& loop, const http::IHttpClientPtr& client, const core::HostPort& platform,
    const std::vector<services::VmInfo>& vms)
{
    http::ClientRequest request;
    request.to = platform;
    request.method = "POST";
    request.target = "/control/vms";
    request.body = services::encodeVms(vms);
    client->send(request, [=](const http::ClientResult& result) {
        if (!result || result.value().status != 200)
            loop->callAfter(registrationRetryDelay, [=] { registerVms(loop, client, platform, vms); });
    });
}

} // namespace sardinerun::standins

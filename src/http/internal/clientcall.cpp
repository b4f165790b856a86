#include "http/internal/clientcall.h"

namespace sardinerun::http {

namespace {

bool isReservedHeader(const std::string& name)
{
    return name == "host" || name == "content-length" || name == "connection" || name == "transfer-encoding"
        || name == "keep-alive" || name == "upgrade" || name == "te" || name == "expect";
}

} // namespace

std::string serialize(const ClientRequest& request, const std::string& target, const std::string& body)
{
    std::string buf = request.method + " " + target + " HTTP/1.1\r\nhost: " + request.to.text() + "\r\n";
    for (const Header& it : request.headers) {
        if (!isReservedHeader(it.name))
            buf += it.name + ": " + it.value + "\r\n";
    }
    buf += "content-length: " + std::to_string(body.size()) + "\r\n\r\n";
    return buf + body;
}

} // namespace sardinerun::http

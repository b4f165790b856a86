#include "http/internal/h2orequest.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace sardinerun::http {

namespace {

std::string toString(h2o_iovec_t it)
{
    return { it.base, it.len };
}

std::string hostWithoutPort(std::string authority)
{
    for (char& c : authority)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const std::size_t colon = authority.rfind(':');
    if (colon != std::string::npos && authority.find(']', colon) == std::string::npos)
        authority.resize(colon);
    return authority;
}

bool isLoopback(h2o_req_t* request)
{
    sockaddr_storage peer {};
    const socklen_t n = request->conn->callbacks->get_peername(request->conn, reinterpret_cast<sockaddr*>(&peer));
    if (n == 0 || peer.ss_family != AF_INET)
        return false;
    const auto* it = reinterpret_cast<const sockaddr_in*>(&peer);
    return (ntohl(it->sin_addr.s_addr) >> 24) == 127;
}

} // namespace

Request toRequest(h2o_req_t* from)
{
    Request to;
    to.method = toString(from->method);
    const std::string target = toString(from->path);
    const std::size_t queryStart = std::min(target.find('?'), target.size());
    to.path = target.substr(0, queryStart);
    to.query = queryStart < target.size() ? target.substr(queryStart + 1) : "";
    to.authority = hostWithoutPort(toString(from->authority));
    to.body = toString(from->entity);
    to.isFromLoopback = isLoopback(from);
    for (std::size_t n = 0; n < from->headers.size; ++n) {
        const h2o_header_t& it = from->headers.entries[n];
        to.headers.push_back({ toString(*it.name), toString(it.value) });
    }
    return to;
}

void writeHead(h2o_req_t* request, const Response& response)
{
    request->res.status = response.status;
    request->res.reason = "-";
    if (!response.stream)
        request->res.content_length = response.body.size();
    else if (response.stream->totalBytes)
        request->res.content_length = *response.stream->totalBytes;
    for (const Header& it : response.headers) {
        const h2o_iovec_t name = h2o_strdup(&request->pool, it.name.data(), it.name.size());
        const h2o_iovec_t value = h2o_strdup(&request->pool, it.value.data(), it.value.size());
        h2o_add_header_by_str(
            &request->pool, &request->res.headers, name.base, name.len, 1, nullptr, value.base, value.len);
    }
}

} // namespace sardinerun::http

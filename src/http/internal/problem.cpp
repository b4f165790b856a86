#include "http/problem.h"

#include "codec/json.h"

#include <array>

namespace sardinerun::http {

const char* nameOf(Executed it)
{
    static constexpr std::array<const char*, 3> names { "no", "yes", "unknown" };
    return names[static_cast<std::size_t>(it)];
}

Response toResponse(const Problem& problem)
{
    Json::Value body(Json::objectValue);
    body["type"] = "urn:sardinerun:" + problem.type;
    body["title"] = problem.title;
    body["status"] = problem.status;
    body["run"] = nameOf(problem.executed);
    if (!problem.detail.empty())
        body["detail"] = problem.detail;
    Response response { problem.status, { { "content-type", "application/problem+json" } }, codec::writeJson(body) };
    if (problem.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*problem.retryAfter).count();
        response.headers.push_back({ "retry-after", std::to_string(seconds) });
    }
    return response;
}

} // namespace sardinerun::http

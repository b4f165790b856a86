//! Commands about the configuration, the nodes and the workers of a cell.

#include "app/internal/commandhandlers.h"
#include "app/internal/commandline.h"
#include "app/internal/commands.h"
#include "app/internal/output.h"
#include "codec/json.h"

namespace sardinerun::app {

namespace {

namespace options = boost::program_options;

} // namespace

int preset(const Arguments& arguments)
{
    options::options_description description = nodeOptions();
    description.add_options()(
        "expected", options::value<std::string>(), "change the configuration only if this is its current version");
    const ParsedArguments it = parse("preset", arguments, description);
    NodeClient client = it.client();
    if (it.operands.empty()) {
        const auto answer = client.call("GET", "/v1/preset");
        if (answer.exitCode == ExitCode::Ok)
            print(answer.body, it.output(), "", { "here", "accepted", "version", "inForce" });
        return answer.exitCode;
    }
    Json::Value body(Json::objectValue);
    body["preset"] = it.operands[0];
    const std::string query = it.has("expected") ? "?expected=" + urlEncoded(it.text("expected")) : "";
    const auto answer = client.call("PUT", "/v1/preset" + query, codec::writeJson(body));
    if (answer.exitCode == ExitCode::Ok)
        print(answer.body, it.output(), "", { "version" });
    return answer.exitCode;
}

int config(const Arguments& arguments)
{
    options::options_description description = nodeOptions();
    description.add_options()(
        "expected", options::value<std::string>(), "change the configuration only if this is its current version");
    description.add_options()("preset", options::value<std::string>(), "preset to put in force");
    const ParsedArguments it = parse("config", arguments, description);
    NodeClient client = it.client();
    if (it.operands.empty()) {
        const auto answer = client.call("GET", "/v1/config");
        if (answer.exitCode == ExitCode::Ok)
            print(answer.body, it.output(), "", { "version", "inForce", "preset" });
        return answer.exitCode;
    }
    std::string query = "?";
    if (it.has("expected"))
        query += "expected=" + urlEncoded(it.text("expected")) + "&";
    if (it.has("preset"))
        query += "preset=" + urlEncoded(it.text("preset"));
    const auto answer = client.call("PUT", "/v1/config" + query, readFile(it.operands[0]));
    if (answer.exitCode == ExitCode::Ok)
        print(answer.body, it.output(), "", { "version" });
    return answer.exitCode;
}

int nodes(const Arguments& arguments)
{
    options::options_description description = nodeOptions();
    description.add_options()("forget", options::value<std::string>(),
        "confirm that the VM of this node is gone, so that its slots can be used");
    const ParsedArguments it = parse("nodes", arguments, description);
    NodeClient client = it.client();
    if (it.has("forget"))
        return client.call("DELETE", "/v1/nodes/" + urlEncoded(it.text("forget"))).exitCode;
    const auto answer = client.call("GET", "/v1/nodes");
    if (answer.exitCode == ExitCode::Ok)
        print(answer.body, it.output(), "nodes",
            { "node", "address", "failureDomain", "confirmed", "leaving", "partitions" });
    return answer.exitCode;
}

int workers(const Arguments& arguments)
{
    const ParsedArguments it = parse("workers", arguments, nodeOptions());
    NodeClient client = it.client();
    const auto answer = client.call("GET", "/v1/workers");
    if (answer.exitCode == ExitCode::Ok)
        print(answer.body, it.output(), "vms", { "id", "role", "state", "rack", "failureDomain", "partition" });
    return answer.exitCode;
}

} // namespace sardinerun::app

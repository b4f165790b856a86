//! Commands about jobs.

#include "app/internal/commandhandlers.h"
#include "app/internal/commandline.h"
#include "app/internal/commands.h"
#include "app/internal/output.h"
#include "codec/json.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <unistd.h>

namespace sardinerun::app {

namespace {

namespace options = boost::program_options;

const std::vector<std::string> jobColumns { "id", "state", "kind", "urgency", "workload", "tasks.all", "tasks.waiting",
    "tasks.running", "tasks.succeeded", "tasks.failed" };

int exitCodeOfJob(const Json::Value& job)
{
    const std::string state = job["state"].asString();
    if (state == "failed" || state == "cancelled")
        return ExitCode::Failed;
    return state == "unknown" ? ExitCode::Unknown : ExitCode::Ok;
}

bool isEnded(const Json::Value& job)
{
    const std::string state = job["state"].asString();
    return state != "waiting" && state != "running";
}

//! Waits for the end of a job. Shows a progress line if standard error is a terminal.
NodeClient::Answer waitFor(NodeClient& client, const std::string& job, std::chrono::seconds timeout)
{
    constexpr auto pollInterval = std::chrono::milliseconds(2000);
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const bool isTerminal = isatty(STDERR_FILENO) == 1;
    for (;;) {
        const auto remaining
            = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        const auto waitTime
            = std::clamp(remaining, std::chrono::milliseconds(0), std::chrono::milliseconds(pollInterval));
        auto answer = client.call("GET", "/v1/wait/" + urlEncoded(job) + "?ms=" + std::to_string(waitTime.count()));
        if (isTerminal && answer.exitCode == ExitCode::Ok) {
            const Json::Value& tasks = answer.body["tasks"];
            std::cerr << "\r" << job << ": " << answer.body["state"].asString() << ", " << tasks["succeeded"].asString()
                      << " of " << tasks["all"].asString() << " tasks succeeded   "
                      << (isEnded(answer.body) ? "\n" : "") << std::flush;
        }
        const bool mayRetry = answer.exitCode == ExitCode::Ok || answer.exitCode == ExitCode::Unknown;
        if (!mayRetry || remaining.count() <= 0 || (answer.exitCode == ExitCode::Ok && isEnded(answer.body)))
            return answer;
    }
}

} // namespace

int submit(const Arguments& arguments)
{
    options::options_description description = nodeOptions();
    description.add_options()("key", options::value<std::string>(),
        "idempotency key: a resend with the same key does not create another job");
    description.add_options()("wait", "wait for the end of the job");
    description.add_options()("timeout", options::value<int>()->default_value(600),
        "maximum time to wait for the end of the job, in seconds");
    const ParsedArguments it = parse("submit", arguments, description);
    if (it.operands.size() != 1)
        throw UsageError("exactly one job file is needed");
    NodeClient client = it.client();
    auto answer = client.call("POST", "/v1/jobs", readFile(it.operands[0]), it.text("key"));
    if (answer.exitCode != ExitCode::Ok)
        return answer.exitCode;
    if (!it.has("wait")) {
        print(answer.body, it.output(), "", { "id" });
        return ExitCode::Ok;
    }
    answer = waitFor(client, answer.body["id"].asString(), std::chrono::seconds(it.values["timeout"].as<int>()));
    if (answer.exitCode != ExitCode::Ok)
        return answer.exitCode;
    print(answer.body, it.output(), "", jobColumns);
    return exitCodeOfJob(answer.body);
}

int status(const Arguments& arguments)
{
    options::options_description description = nodeOptions();
    description.add_options()("after", options::value<std::string>(), "list only jobs with IDs after this one");
    description.add_options()("limit", options::value<int>()->default_value(100), "maximum number of jobs to list");
    const ParsedArguments it = parse("status", arguments, description);
    NodeClient client = it.client();
    const bool isSingleJob = !it.operands.empty();
    const std::string page
        = "/v1/jobs?limit=" + std::to_string(it.values["limit"].as<int>()) + "&after=" + urlEncoded(it.text("after"));
    const auto answer = client.call("GET", isSingleJob ? "/v1/jobs/" + urlEncoded(it.operands[0]) : page);
    if (answer.exitCode == ExitCode::Ok)
        print(answer.body, it.output(), isSingleJob ? "" : "jobs", jobColumns);
    return answer.exitCode;
}

int cancel(const Arguments& arguments)
{
    options::options_description description = nodeOptions();
    description.add_options()("workload", options::value<std::string>(), "cancel all jobs of this workload");
    const ParsedArguments it = parse("cancel", arguments, description);
    Json::Value body(Json::objectValue);
    for (const std::string& job : it.operands)
        body["jobs"].append(job);
    if (it.has("workload"))
        body["workload"] = it.text("workload");
    NodeClient client = it.client();
    const auto answer = client.call("POST", "/v1/jobs/cancel", codec::writeJson(body));
    if (answer.exitCode == ExitCode::Ok)
        print(answer.body, it.output(), "", { "cancelled", "complete" });
    return answer.exitCode;
}

int wait(const Arguments& arguments)
{
    options::options_description description = nodeOptions();
    description.add_options()("timeout", options::value<int>()->default_value(600),
        "maximum time to wait for the end of the job, in seconds");
    const ParsedArguments it = parse("wait", arguments, description);
    if (it.operands.size() != 1)
        throw UsageError("exactly one job ID is needed");
    NodeClient client = it.client();
    const auto answer = waitFor(client, it.operands[0], std::chrono::seconds(it.values["timeout"].as<int>()));
    if (answer.exitCode != ExitCode::Ok)
        return answer.exitCode;
    print(answer.body, it.output(), "", jobColumns);
    return exitCodeOfJob(answer.body);
}

} // namespace sardinerun::app

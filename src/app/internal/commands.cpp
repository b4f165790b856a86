#include "app/internal/commands.h"

#include "app/dispatchnode.h"
#include "app/internal/nodeclient.h"
#include "app/internal/output.h"
#include "app/node.h"
#include "codec/json.h"
#include "codec/yaml.h"
#include "configuration/configuration.h"
#include "settings/nodesettings.h"
#include "telemetry/log.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace sardinerun::app {

namespace {

namespace options = boost::program_options;
using Arguments = std::vector<std::string>;

constexpr const char* defaultNode = "127.0.0.1:8080";
const std::vector<std::string> jobColumns { "id", "state", "kind", "urgency", "workload", "tasks.all", "tasks.waiting",
    "tasks.running", "tasks.succeeded", "tasks.failed" };

//! Thrown for invalid arguments; the text is printed to standard error.
class UsageError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

//! Parsed options and operands of a command.
struct ParsedArguments {
    options::variables_map values;
    std::vector<std::string> operands;
    std::string output() const { return values["output"].as<std::string>(); }
    bool has(const char* name) const { return values.count(name) > 0; }
    std::string text(const char* name) const { return has(name) ? values[name].as<std::string>() : ""; }
    NodeClient client() const;
};

NodeClient ParsedArguments::client() const
{
    const auto address = settings::parseHostPort(text("node"));
    if (!address)
        throw UsageError("--node must be an IP address and port, such as 127.0.0.1:8080");
    const char* fromEnvironment = std::getenv("SARDINERUN_TOKEN");
    const std::string token = has("token") ? text("token") : fromEnvironment ? fromEnvironment : "";
    return NodeClient(*address, token);
}

options::options_description nodeOptions()
{
    options::options_description all("Options");
    auto add = all.add_options();
    add("help", "show this help");
    add("node", options::value<std::string>()->default_value(defaultNode),
        "IP address and port on which a node serves callers");
    add("token", options::value<std::string>(), "bearer token (default: environment variable SARDINERUN_TOKEN)");
    add("output", options::value<std::string>()->default_value("table"), "output format: json or table");
    return all;
}

const Command& findCommand(const std::string& name)
{
    const auto& all = allCommands();
    const auto it = std::find_if(all.begin(), all.end(), [&name](const Command& entry) { return name == entry.name; });
    if (it == all.end())
        throw UsageError("unknown command: " + name);
    return *it;
}

//! Thrown after the help of a command has been printed, to end the command successfully.
class HelpShown { };

ParsedArguments parse(const char* command, const Arguments& arguments, const options::options_description& description)
{
    options::options_description hidden;
    hidden.add_options()("names", options::value<std::vector<std::string>>());
    options::positional_options_description positions;
    positions.add("names", -1);
    options::options_description all;
    all.add(description).add(hidden);
    ParsedArguments it;
    options::store(options::command_line_parser(arguments).options(all).positional(positions).run(), it.values);
    if (it.values.count("help") > 0) {
        const Command& entry = findCommand(command);
        std::cout << entry.summary << "\n\nExample:\n  " << entry.example << "\n\n" << description << "\n";
        throw HelpShown();
    }
    options::notify(it.values);
    if (it.has("names"))
        it.operands = it.values["names"].as<std::vector<std::string>>();
    if (it.has("output") && it.output() != "json" && it.output() != "table")
        throw UsageError("--output must be json or table");
    return it;
}

std::string readFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        throw UsageError("cannot open file: " + path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

std::string urlEncoded(const std::string& text)
{
    std::ostringstream out;
    for (const unsigned char c : text) {
        if (std::isalnum(c) || c == '-' || c == '_' || c == '.')
            out << c;
        else
            out << '%' << "0123456789ABCDEF"[c >> 4] << "0123456789ABCDEF"[c & 15];
    }
    return out.str();
}

// --- Commands

//! Blocks the signals that stop or reload a node, in this thread and in threads that it starts later.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int it : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&signals, it);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

//! Runs a node until SIGTERM or SIGINT; SIGHUP calls `reload`. Returns the exit code.
template <class NodePtr> int runUntilStopped(NodePtr node, const sigset_t& signals, const std::function<void()>& reload)
{
    if (!node) {
        std::cerr << "cannot start the node: " << node.error().detail << "\n";
        return ExitCode::Failed;
    }
    int signalNumber = 0;
    while (sigwait(&signals, &signalNumber) == 0 && signalNumber == SIGHUP)
        reload();
    node.value()->stop();
    return ExitCode::Ok;
}

int serve(const Arguments& arguments)
{
    options::options_description description("Options");
    description.add_options()("help", "show this help")(
        "config", options::value<std::string>()->required(), "the node's settings file");
    const ParsedArguments it = parse("serve", arguments, description);
    const std::string file = it.text("config");
    const settings::NodeSettings settings = settings::readNodeSettings(readFile(file), file);
    const sigset_t signals = blockSignals();
    telemetry::startLogging("sardinerun");
    return runUntilStopped(Node::start(settings), signals, [&file] {
        telemetry::LogLine(telemetry::Severity::Info, "reload").with("file", file).with("outcome", "needs a restart");
    });
}

//! Logs whether a changed settings file is valid. It takes effect only at the next start.
void checkReload(const std::string& file)
{
    telemetry::LogLine line(telemetry::Severity::Info, "reload");
    line.with("file", file);
    try {
        settings::readDispatchSettings(readFile(file), file);
        line.with("outcome", "valid; takes effect at the next start");
    } catch (const std::exception& error) {
        line.with("outcome", "refused").with("why", error.what());
    }
}

int dispatch(const Arguments& arguments)
{
    options::options_description description("Options");
    description.add_options()("help", "show this help")("config", options::value<std::string>(),
        "the node's settings file (default: environment variable SARDINERUN_SETTINGS)");
    const ParsedArguments it = parse("dispatch", arguments, description);
    const char* fromEnvironment = std::getenv("SARDINERUN_SETTINGS");
    const std::string file = it.has("config") ? it.text("config") : fromEnvironment ? fromEnvironment : "";
    if (file.empty())
        throw UsageError("no settings file; use --config or set SARDINERUN_SETTINGS");
    const settings::DispatchSettings settings = settings::readDispatchSettings(readFile(file), file);
    const sigset_t signals = blockSignals();
    telemetry::startLogging("sardinerun");
    return runUntilStopped(DispatchNode::start(settings), signals, [&file] { checkReload(file); });
}

int checkConfig(const Arguments& arguments)
{
    options::options_description description("Options");
    description.add_options()("help", "show this help");
    const ParsedArguments it = parse("check-config", arguments, description);
    if (it.operands.empty())
        throw UsageError("at least one file to check is needed");
    int exitCode = ExitCode::Ok;
    for (const std::string& file : it.operands) {
        try {
            const std::string text = readFile(file);
            const bool isCellConfiguration = codec::YamlReader::parse(text, file).has("presets");
            const bool isDispatchSettings
                = !isCellConfiguration && codec::YamlReader::parse(text, file).has("readiness");
            if (isCellConfiguration)
                configuration::readConfiguration(text, file);
            else if (isDispatchSettings)
                settings::readDispatchSettings(text, file);
            else
                settings::readNodeSettings(text, file);
            std::cout << file << ": valid ("
                      << (isCellConfiguration ? "configuration of all nodes" : "settings of one node") << ")\n";
        } catch (const codec::YamlError& error) {
            std::cerr << error.what() << "\n";
            exitCode = ExitCode::Failed;
        }
    }
    return exitCode;
}

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

int list(const char* command, const Arguments& arguments, const char* path, const char* listMember,
    const std::vector<std::string>& columns)
{
    const ParsedArguments it = parse(command, arguments, nodeOptions());
    NodeClient client = it.client();
    const auto answer = client.call("GET", path);
    if (answer.exitCode == ExitCode::Ok)
        print(answer.body, it.output(), listMember, columns);
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
    return list(
        "workers", arguments, "/v1/workers", "vms", { "id", "role", "state", "rack", "failureDomain", "partition" });
}

int version(const Arguments&)
{
    std::cout << "sardinerun " << SARDINERUN_VERSION << "\n";
    return ExitCode::Ok;
}

void printUsage(std::ostream& out)
{
    out << "Usage: sardinerun COMMAND [options]\n\nCommands:\n";
    for (const Command& it : allCommands())
        out << "  " << it.name << std::string(14 - std::string(it.name).size(), ' ') << it.summary << "\n";
    out << "\nsardinerun COMMAND --help shows the options of a command and an example.\n";
}

} // namespace

const std::vector<Command>& allCommands()
{
    static const std::vector<Command> all {
        { "serve", "Run a node", "sardinerun serve --config /etc/sardinerun/node.yaml", serve },
        { "dispatch", "Run a node that dispatches workflows on the users' platform",
            "sardinerun dispatch --config examples/dispatch.yaml", dispatch },
        { "check-config", "Check settings and configuration files", "sardinerun check-config node.yaml cell.yaml",
            checkConfig },
        { "submit", "Submit a job", "sardinerun submit glaze-run.json --key run-1207 --wait", submit },
        { "status", "Show a job, or a page of jobs", "sardinerun status j-4f0c2a --output json", status },
        { "cancel", "Cancel jobs", "sardinerun cancel --workload glaze-run", cancel },
        { "wait", "Wait for the end of a job", "sardinerun wait j-4f0c2a --timeout 60", wait },
        { "preset", "Show or change the preset in force", "sardinerun preset peak --expected 7", preset },
        { "config", "Show or change the configuration of all nodes",
            "sardinerun config cell.yaml --preset ordinary --expected 7", config },
        { "nodes", "Show the nodes", "sardinerun nodes", nodes },
        { "workers", "Show workers and runners", "sardinerun workers --output json", workers },
        { "version", "Show the version", "sardinerun version", version },
    };
    return all;
}

int runProgram(const Arguments& arguments)
{
    try {
        if (arguments.empty() || arguments[0] == "--help") {
            printUsage(arguments.empty() ? std::cerr : std::cout);
            return arguments.empty() ? ExitCode::Usage : ExitCode::Ok;
        }
        return findCommand(arguments[0]).run(Arguments(arguments.begin() + 1, arguments.end()));
    } catch (const HelpShown&) {
        return ExitCode::Ok;
    } catch (const UsageError& it) {
        std::cerr << it.what() << "\n";
    } catch (const options::error& it) {
        std::cerr << it.what() << "\n";
    } catch (const codec::YamlError& it) {
        std::cerr << it.what() << "\n";
        return ExitCode::Failed;
    }
    return ExitCode::Usage;
}

} // namespace sardinerun::app

//! Commands that run a node or check its files.

#include "app/dispatchnode.h"
#include "app/internal/commandhandlers.h"
#include "app/internal/commandline.h"
#include "app/internal/commands.h"
#include "app/node.h"
#include "codec/yaml.h"
#include "configuration/configuration.h"
#include "settings/nodesettings.h"
#include "telemetry/log.h"

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>

namespace sardinerun::app {

namespace {

namespace options = boost::program_options;

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

} // namespace

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

} // namespace sardinerun::app

#include "app/internal/commands.h"

#include "app/internal/commandhandlers.h"
#include "app/internal/commandline.h"
#include "codec/yaml.h"

#include <algorithm>
#include <iostream>

namespace sardinerun::app {

namespace {

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

const Command& findCommand(const std::string& name)
{
    const auto& all = allCommands();
    const auto it = std::find_if(all.begin(), all.end(), [&name](const Command& entry) { return name == entry.name; });
    if (it == all.end())
        throw UsageError("unknown command: " + name);
    return *it;
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
    } catch (const boost::program_options::error& it) {
        std::cerr << it.what() << "\n";
    } catch (const codec::YamlError& it) {
        std::cerr << it.what() << "\n";
        return ExitCode::Failed;
    }
    return ExitCode::Usage;
}

} // namespace sardinerun::app

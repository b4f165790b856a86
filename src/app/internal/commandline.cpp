#include "app/internal/commandline.h"

#include "app/internal/commands.h"
#include "settings/nodesettings.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace sardinerun::app {

namespace {

namespace options = boost::program_options;

constexpr const char* defaultNode = "127.0.0.1:8080";

} // namespace

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

} // namespace sardinerun::app

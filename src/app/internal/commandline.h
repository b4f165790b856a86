#pragma once

#include "app/internal/nodeclient.h"

#include <boost/program_options.hpp>
#include <stdexcept>
#include <string>
#include <vector>

//! Parsing of the command line.
namespace sardinerun::app {

using Arguments = std::vector<std::string>;

//! Thrown for invalid arguments; the text is printed to standard error.
class UsageError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

//! Thrown after the help of a command has been printed, to end the command successfully.
class HelpShown { };

//! Parsed options and operands of a command.
struct ParsedArguments {
    boost::program_options::variables_map values;
    std::vector<std::string> operands;
    std::string output() const { return values["output"].as<std::string>(); }
    bool has(const char* name) const { return values.count(name) > 0; }
    std::string text(const char* name) const { return has(name) ? values[name].as<std::string>() : ""; }
    NodeClient client() const;
};

//! Returns the options of commands that call a node.
boost::program_options::options_description nodeOptions();

//! Parses the arguments of a command. Throws UsageError, HelpShown, or an error of the options library.
ParsedArguments parse(
    const char* command, const Arguments& arguments, const boost::program_options::options_description& description);

//! Returns the contents of a file; throws UsageError.
std::string readFile(const std::string& path);

std::string urlEncoded(const std::string& text);

} // namespace sardinerun::app

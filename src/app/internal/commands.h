#pragma once

#include <string>
#include <vector>

namespace sardinerun::app {

//! Exit codes of the program. Documented in README.md.
enum ExitCode {
    Ok = 0,
    Failed = 1, //!< the command was carried out, but reports a failure, such as a failed job or an invalid file
    Usage = 2,
    Refused = 3, //!< the request was certainly not executed
    Unknown = 4, //!< the request may have been executed
    Conflict = 5,
    Unreachable = 6
};

//! A command of the program.
struct Command {
    const char* name;
    const char* summary;
    const char* example;
    int (*run)(const std::vector<std::string>& arguments);
};

const std::vector<Command>& allCommands();

//! Returns the command with this name; throws UsageError.
const Command& findCommand(const std::string& name);

//! Runs the command named by the first argument; `arguments` excludes the program's name. Returns the exit code.
int runProgram(const std::vector<std::string>& arguments);

} // namespace sardinerun::app

#pragma once

#include <string>
#include <vector>

namespace sardinerun::app {

//! Exit codes of the program. Documented in README.md.
enum ExitCode {
    Ok = 0,
    Failed = 1, //!< the command was carried out, and what it asks about has failed
    Usage = 2,
    Refused = 3, //!< certainly not run or changed
    Unknown = 4, //!< may have been run or changed
    Conflict = 5,
    Unreachable = 6
};

//! One subcommand.
struct Command {
    const char* name;
    const char* summary;
    const char* example;
    int (*run)(const std::vector<std::string>& arguments);
};

const std::vector<Command>& allCommands();

//! Runs the command that the arguments name, without the program's own name.
int runProgram(const std::vector<std::string>& arguments);

} // namespace sardinerun::app

#pragma once

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

//! Whole sessions against files; only in tests.
namespace sardinerun::core::testing {

//! Whether `text` is what the file says. With SARDINERUN_RECORD=1 the file is written anew.
inline bool isGolden(const std::string& path, const std::string& text)
{
    if (std::getenv("SARDINERUN_RECORD")) {
        std::ofstream(path) << text;
        return true;
    }
    std::ostringstream expected;
    expected << std::ifstream(path).rdbuf();
    return text == expected.str();
}

} // namespace sardinerun::core::testing

#pragma once

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

//! Comparison of recorded test sessions with golden files.
namespace sardinerun::core::testing {

//! Returns whether `text` equals the file's content. If SARDINERUN_RECORD is set, writes `text` to the file instead.
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

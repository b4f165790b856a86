#pragma once

#include <json/value.h>
#include <string>
#include <vector>

namespace sardinerun::app {

//! Prints a value as JSON, or the objects of its list as a table with the named columns. "a.b" names a part.
void print(const Json::Value& value, const std::string& format, const std::string& list,
    const std::vector<std::string>& columns);

} // namespace sardinerun::app

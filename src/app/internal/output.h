#pragma once

#include <json/value.h>
#include <string>
#include <vector>

namespace sardinerun::app {

//! Prints a value as JSON (format "json") or as a table with the named columns. The rows are the objects of the value's
//! member `list`, or the value itself if `list` is empty. A column "a.b" shows member b of member a.
void print(const Json::Value& value, const std::string& format, const std::string& list,
    const std::vector<std::string>& columns);

} // namespace sardinerun::app

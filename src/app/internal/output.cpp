#include "app/internal/output.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <json/writer.h>

namespace sardinerun::app {

namespace {

using Rows = std::vector<std::vector<std::string>>;

std::string cellText(const Json::Value& object, const std::string& column)
{
    const std::size_t dot = column.find('.');
    if (dot != std::string::npos)
        return cellText(object[column.substr(0, dot)], column.substr(dot + 1));
    const Json::Value& value = object[column];
    if (value.isNull())
        return "-";
    if (!value.isArray())
        return value.asString();
    std::string joined;
    for (const Json::Value& it : value) {
        if (!joined.empty())
            joined += ',';
        joined += it.asString();
    }
    return joined.empty() ? "-" : joined;
}

void printRows(const Rows& rows)
{
    std::vector<std::size_t> widths(rows[0].size());
    for (const auto& row : rows) {
        for (std::size_t n = 0; n < row.size(); ++n)
            widths[n] = std::max(widths[n], row[n].size());
    }
    for (const auto& row : rows) {
        for (std::size_t n = 0; n < row.size(); ++n)
            std::cout << std::left << std::setw(static_cast<int>(widths[n]) + 2) << row[n];
        std::cout << "\n";
    }
}

} // namespace

void print(const Json::Value& value, const std::string& format, const std::string& list,
    const std::vector<std::string>& columns)
{
    if (format == "json") {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "  ";
        std::cout << Json::writeString(builder, value) << "\n";
        return;
    }
    Rows rows { columns };
    const auto add = [&](const Json::Value& object) {
        std::vector<std::string> row;
        row.reserve(columns.size());
        for (const std::string& it : columns)
            row.push_back(cellText(object, it));
        rows.push_back(std::move(row));
    };
    if (list.empty()) {
        add(value);
    } else {
        for (const Json::Value& it : value[list])
            add(it);
    }
    printRows(rows);
}

} // namespace sardinerun::app

#pragma once

#include <cstdint>
#include <json/value.h>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

//! Strict reading and compact writing of JSON. Used by each adapter, by no decision.
namespace sardinerun::codec {

//! Text that is not what a decoder expects. `path()` names the place, such as "tasks[2].cpu".
class DecodeError : public std::runtime_error {
public:
    DecodeError(std::string path, const std::string& message)
        : std::runtime_error(path.empty() ? message : path + ": " + message)
        , m_path(std::move(path))
    {
    }
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

//! Parses one JSON value and nothing after it. Refuses doubled names and deep nesting.
Json::Value parseJson(std::string_view text);

//! Writes a value on one line.
std::string writeJson(const Json::Value& value);

//! Reads the members of one object and remembers which were asked for.
class ObjectReader {
public:
    explicit ObjectReader(const Json::Value& value, std::string path = {});

    bool has(const char* name) const;
    std::string text(const char* name, std::size_t maxLength);
    std::string textOr(const char* name, std::size_t maxLength, std::string fallback);
    std::int64_t integer(const char* name, std::int64_t min, std::int64_t max);
    std::int64_t integerOr(const char* name, std::int64_t min, std::int64_t max, std::int64_t fallback);
    bool flagOr(const char* name, bool fallback);
    ObjectReader object(const char* name);
    std::vector<ObjectReader> objects(const char* name, std::size_t maxCount);
    std::vector<std::string> texts(const char* name, std::size_t maxCount, std::size_t maxLength);
    //! Any value; null when it is missing.
    const Json::Value& raw(const char* name);

    //! Refuses members that nothing asked for.
    void finish() const;

    [[noreturn]] void fail(const char* name, const std::string& message) const;

private:
    const Json::Value& member(const char* name);
    std::string pathOf(const std::string& name) const;

    const Json::Value* m_value;
    std::string m_path;
    std::set<std::string> m_asked;
};

} // namespace sardinerun::codec

#pragma once

#include <cstdint>
#include <json/value.h>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

//! Strict reading and compact writing of JSON. Used only by adapters; decision code does not depend on it.
namespace sardinerun::codec {

//! Thrown for JSON that is not as expected. `path()` names the faulty member, such as "tasks[2].cpu".
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

//! Upper limit for the values in a text of an untrusted caller. The tree of such a text takes at most 8 MB.
constexpr std::size_t maxCallerValues = 40'000;

//! Parses a text that has to be exactly one JSON value. Rejects duplicate names, nesting beyond 32 levels and, before
//! it allocates anything, a text that may have more than `maxValues` values.
Json::Value parseJson(std::string_view text, std::size_t maxValues = SIZE_MAX);

//! Parses a text and passes its value to `decode`. All errors are thrown as DecodeError, also those of the JSON library
//! when `decode` uses a value as a type that it does not have.
template <class Decode> auto decodeJson(std::string_view text, Decode decode, std::size_t maxValues = SIZE_MAX)
{
    const Json::Value value = parseJson(text, maxValues);
    try {
        return decode(value);
    } catch (const Json::Exception& error) {
        throw DecodeError("", error.what());
    }
}

//! Returns a value as JSON on one line.
std::string writeJson(const Json::Value& value);

//! Reads the members of a JSON object and records which members have been read.
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
    //! Returns the member's value of any type; null if the member is missing.
    const Json::Value& raw(const char* name);

    //! Throws DecodeError if the object has members that have not been read.
    void finish() const;

    [[noreturn]] void fail(const char* name, const std::string& message) const;

private:
    const Json::Value& member(const char* name);
    std::string pathOf(const std::string& name) const;

    const Json::Value* m_value;
    std::string m_path;
    std::set<std::string> m_readNames;
};

} // namespace sardinerun::codec

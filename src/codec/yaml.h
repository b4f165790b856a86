#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

//! Reading of YAML with checks: each error names the file, line, column, key and the allowed values.
namespace sardinerun::codec {

//! Thrown for an error in a settings or configuration file.
class YamlError : public std::runtime_error {
public:
    YamlError(const std::string& file, int line, int column, const std::string& key, const std::string& message)
        : std::runtime_error(file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": "
            + (key.empty() ? "" : key + ": ") + message)
        , m_line(line)
        , m_column(column)
    {
    }
    int line() const { return m_line; }
    int column() const { return m_column; }

private:
    int m_line;
    int m_column;
};

//! Reads the entries of a YAML mapping and records which keys have been read.
class YamlReader {
public:
    //! Parses a document; `file` is its name in errors. Throws YamlError.
    static YamlReader parse(const std::string& text, const std::string& file);

    bool has(const char* key) const;
    std::string text(const char* key);
    std::string textOr(const char* key, const std::string& fallback);
    //! Returns a text that is a name: 1 to 64 letters, digits, '-', '_' or '.'.
    std::string name(const char* key);
    std::int64_t integer(const char* key, std::int64_t min, std::int64_t max);
    std::int64_t integerOr(const char* key, std::int64_t min, std::int64_t max, std::int64_t fallback);
    double numberOr(const char* key, double min, double max, double fallback);
    bool flagOr(const char* key, bool fallback);
    YamlReader object(const char* key);
    //! Returns a reader of an empty mapping if the key is missing.
    YamlReader objectOr(const char* key);
    std::vector<YamlReader> objects(const char* key);
    std::vector<std::string> texts(const char* key);
    //! Returns all keys of a mapping whose keys are names of entries, in the order of the file, and marks them as read.
    std::vector<std::string> entryNames();

    //! Throws YamlError if the mapping has keys that have not been read.
    void finish() const;
    [[noreturn]] void fail(const std::string& key, const std::string& message) const;

private:
    YamlReader(const YAML::Node& node, std::string file, std::string path);
    YAML::Node member(const char* key);
    std::string pathOf(const std::string& key) const;
    [[noreturn]] void failAt(const YAML::Node& node, const std::string& path, const std::string& message) const;

    YAML::Node m_node;
    std::string m_file;
    std::string m_path;
    std::set<std::string> m_readKeys;
};

} // namespace sardinerun::codec

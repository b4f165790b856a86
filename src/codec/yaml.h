#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

//! Checked reading of YAML: each error names the file, line, column, key and what is allowed.
namespace sardinerun::codec {

//! A mistake in a settings or configuration file.
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

//! Reads the keys of one mapping and remembers which were asked for.
class YamlReader {
public:
    //! Parses a document. Throws YamlError.
    static YamlReader parse(const std::string& text, const std::string& file);

    bool has(const char* key) const;
    std::string text(const char* key);
    std::string textOr(const char* key, const std::string& fallback);
    //! A text that names something: letters, digits, '-', '_' and '.', at most 64 of them.
    std::string name(const char* key);
    std::int64_t integer(const char* key, std::int64_t min, std::int64_t max);
    std::int64_t integerOr(const char* key, std::int64_t min, std::int64_t max, std::int64_t fallback);
    double numberOr(const char* key, double min, double max, double fallback);
    bool flagOr(const char* key, bool fallback);
    YamlReader object(const char* key);
    //! An empty mapping when the key is missing.
    YamlReader objectOr(const char* key);
    std::vector<YamlReader> objects(const char* key);
    std::vector<std::string> texts(const char* key);
    //! Keys of this mapping that are names of entries, in their order.
    std::vector<std::string> entryNames();

    //! Refuses keys that nothing asked for.
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
    std::set<std::string> m_asked;
};

} // namespace sardinerun::codec

#include "codec/yaml.h"

#include <algorithm>

namespace sardinerun::codec {

namespace {

constexpr std::size_t maxNameLength = 64;

bool isNameChar(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
}

std::string rangeMessage(std::int64_t min, std::int64_t max)
{
    return "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max);
}

} // namespace

YamlReader::YamlReader(const YAML::Node& node, std::string file, std::string path)
    : m_node(node)
    , m_file(std::move(file))
    , m_path(std::move(path))
{
    if (m_node.IsMap())
        return;
    if (m_node.IsNull())
        m_node = YAML::Node(YAML::NodeType::Map);
    else
        failAt(m_node, m_path, "must be a mapping of keys");
}

YamlReader YamlReader::parse(const std::string& text, const std::string& file)
{
    YAML::Node node;
    try {
        node = YAML::Load(text);
    } catch (const YAML::Exception& it) {
        throw YamlError(file, it.mark.line + 1, it.mark.column + 1, "", "is not valid YAML: " + it.msg);
    }
    YamlReader reader(node, file, "");
    std::set<std::string> keys;
    for (const auto& it : reader.m_node) {
        if (!keys.insert(it.first.Scalar()).second)
            reader.failAt(it.first, it.first.Scalar(), "stands twice");
    }
    return reader;
}

bool YamlReader::has(const char* key) const
{
    const YAML::Node& node = m_node;
    return bool(node[key]);
}

YAML::Node YamlReader::member(const char* key)
{
    m_readKeys.insert(key);
    const YAML::Node& node = m_node;
    const YAML::Node it = node[key];
    if (!it)
        failAt(m_node, pathOf(key), "is missing");
    return it;
}

std::string YamlReader::text(const char* key)
{
    const YAML::Node it = member(key);
    if (!it.IsScalar())
        failAt(it, pathOf(key), "must be a text");
    return it.Scalar();
}

std::string YamlReader::textOr(const char* key, const std::string& fallback)
{
    m_readKeys.insert(key);
    return has(key) ? text(key) : fallback;
}

std::string YamlReader::name(const char* key)
{
    std::string it = text(key);
    if (it.empty() || it.size() > maxNameLength || !std::all_of(it.begin(), it.end(), isNameChar))
        failAt(member(key), pathOf(key), "must be a name of 1 to 64 letters, digits, '-', '_' or '.'");
    return it;
}

std::int64_t YamlReader::integer(const char* key, std::int64_t min, std::int64_t max)
{
    const YAML::Node it = member(key);
    std::int64_t n = 0;
    if (!it.IsScalar() || !YAML::convert<std::int64_t>::decode(it, n) || n < min || n > max)
        failAt(it, pathOf(key), rangeMessage(min, max));
    return n;
}

std::int64_t YamlReader::integerOr(const char* key, std::int64_t min, std::int64_t max, std::int64_t fallback)
{
    m_readKeys.insert(key);
    return has(key) ? integer(key, min, max) : fallback;
}

double YamlReader::numberOr(const char* key, double min, double max, double fallback)
{
    m_readKeys.insert(key);
    if (!has(key))
        return fallback;
    const YAML::Node it = member(key);
    double value = 0;
    if (!it.IsScalar() || !YAML::convert<double>::decode(it, value) || !(value >= min && value <= max))
        failAt(it, pathOf(key), "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
    return value;
}

bool YamlReader::flagOr(const char* key, bool fallback)
{
    m_readKeys.insert(key);
    if (!has(key))
        return fallback;
    const YAML::Node it = member(key);
    bool value = false;
    if (!it.IsScalar() || !YAML::convert<bool>::decode(it, value))
        failAt(it, pathOf(key), "must be true or false");
    return value;
}

YamlReader YamlReader::object(const char* key)
{
    return YamlReader(member(key), m_file, pathOf(key));
}

YamlReader YamlReader::objectOr(const char* key)
{
    m_readKeys.insert(key);
    if (has(key))
        return object(key);
    return YamlReader(YAML::Node(YAML::NodeType::Map), m_file, pathOf(key));
}

std::vector<YamlReader> YamlReader::objects(const char* key)
{
    m_readKeys.insert(key);
    std::vector<YamlReader> all;
    if (!has(key))
        return all;
    const YAML::Node list = member(key);
    if (!list.IsSequence())
        failAt(list, pathOf(key), "must be a list");
    for (std::size_t n = 0; n < list.size(); ++n)
        all.push_back(YamlReader(list[n], m_file, pathOf(key) + "[" + std::to_string(n) + "]"));
    return all;
}

std::vector<std::string> YamlReader::texts(const char* key)
{
    m_readKeys.insert(key);
    std::vector<std::string> all;
    if (!has(key))
        return all;
    const YAML::Node list = member(key);
    if (!list.IsSequence())
        failAt(list, pathOf(key), "must be a list of texts");
    for (const YAML::Node& it : list) {
        if (!it.IsScalar())
            failAt(it, pathOf(key), "must be a list of texts");
        all.push_back(it.Scalar());
    }
    return all;
}

std::vector<std::string> YamlReader::entryNames()
{
    std::vector<std::string> names;
    for (const auto& it : m_node) {
        names.push_back(it.first.Scalar());
        m_readKeys.insert(names.back());
    }
    return names;
}

void YamlReader::finish() const
{
    for (const auto& it : m_node) {
        const std::string key = it.first.Scalar();
        if (m_readKeys.contains(key))
            continue;
        std::string knownKeys;
        for (const std::string& knownKey : m_readKeys)
            knownKeys += (knownKeys.empty() ? "" : ", ") + knownKey;
        failAt(it.first, pathOf(key), "is not a known key; known here: " + knownKeys);
    }
}

void YamlReader::fail(const std::string& key, const std::string& message) const
{
    const YAML::Node& node = m_node;
    const YAML::Node it = node[key];
    failAt(it ? it : m_node, pathOf(key), message);
}

std::string YamlReader::pathOf(const std::string& key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

void YamlReader::failAt(const YAML::Node& node, const std::string& path, const std::string& message) const
{
    const YAML::Mark mark = node.Mark();
    throw YamlError(m_file, std::max(mark.line, 0) + 1, std::max(mark.column, 0) + 1, path, message);
}

} // namespace sardinerun::codec

#include "codec/json.h"

#include <algorithm>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>
#include <sstream>

namespace sardinerun::codec {

namespace {

constexpr int maxDepth = 32;

const Json::Value& nullValue()
{
    static const Json::Value it;
    return it;
}

Json::CharReaderBuilder strictReader()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = maxDepth;
    builder["strictRoot"] = false;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["allowSpecialFloats"] = false;
    return builder;
}

Json::StreamWriterBuilder compactWriter()
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return builder;
}

//! Returns an upper limit for the number of values in a text. Each value but the first follows a comma or an opening
//! bracket, also within strings, where neither begins a value.
std::size_t maxValuesIn(std::string_view text)
{
    return 1
        + std::size_t(std::count_if(text.begin(), text.end(), [](char c) { return c == ',' || c == '[' || c == '{'; }));
}

} // namespace

Json::Value parseJson(std::string_view text, std::size_t maxValues)
{
    // A value takes at least two bytes of text and up to 200 of memory.
    if (text.size() / 2 >= maxValues && maxValuesIn(text) > maxValues)
        throw DecodeError("", "has more than " + std::to_string(maxValues) + " values");
    // Creating a reader evaluates all of its settings, which takes longer than parsing a short message.
    thread_local const std::unique_ptr<Json::CharReader> reader(strictReader().newCharReader());
    Json::Value value;
    std::string problem;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &problem))
            return value;
    } catch (const Json::Exception& it) {
        problem = it.what();
    }
    throw DecodeError("", "not valid JSON: " + problem);
}

std::string writeJson(const Json::Value& value)
{
    thread_local const std::unique_ptr<Json::StreamWriter> writer(compactWriter().newStreamWriter());
    std::ostringstream buf;
    writer->write(value, &buf);
    return std::move(buf).str();
}

ObjectReader::ObjectReader(const Json::Value& value, std::string path)
    : m_value(&value)
    , m_path(std::move(path))
{
    if (!value.isObject())
        throw DecodeError(m_path, "must be an object");
}

bool ObjectReader::has(const char* name) const
{
    return m_value->isMember(name);
}

std::string ObjectReader::text(const char* name, std::size_t maxLength)
{
    const Json::Value& it = member(name);
    if (!it.isString())
        fail(name, "must be a string");
    std::string text = it.asString();
    if (text.size() > maxLength)
        fail(name, "must have at most " + std::to_string(maxLength) + " bytes");
    return text;
}

std::string ObjectReader::textOr(const char* name, std::size_t maxLength, std::string fallback)
{
    return has(name) ? text(name, maxLength) : std::move(fallback);
}

std::int64_t ObjectReader::integer(const char* name, std::int64_t min, std::int64_t max)
{
    const Json::Value& it = member(name);
    if (it.type() == Json::realValue || !it.isInt64())
        fail(name, "must be a whole number");
    const std::int64_t n = it.asInt64();
    if (n < min || n > max)
        fail(name, "must be from " + std::to_string(min) + " to " + std::to_string(max));
    return n;
}

std::int64_t ObjectReader::integerOr(const char* name, std::int64_t min, std::int64_t max, std::int64_t fallback)
{
    return has(name) ? integer(name, min, max) : fallback;
}

bool ObjectReader::flagOr(const char* name, bool fallback)
{
    if (!has(name))
        return fallback;
    const Json::Value& it = member(name);
    if (!it.isBool())
        fail(name, "must be true or false");
    return it.asBool();
}

ObjectReader ObjectReader::object(const char* name)
{
    return ObjectReader(member(name), pathOf(name));
}

std::vector<ObjectReader> ObjectReader::objects(const char* name, std::size_t maxCount)
{
    std::vector<ObjectReader> all;
    if (!has(name))
        return all;
    const Json::Value& list = member(name);
    if (!list.isArray())
        fail(name, "must be a list");
    if (list.size() > maxCount)
        fail(name, "must have at most " + std::to_string(maxCount) + " entries");
    for (Json::ArrayIndex n = 0; n < list.size(); ++n)
        all.emplace_back(list[n], pathOf(name) + "[" + std::to_string(n) + "]");
    return all;
}

std::vector<std::string> ObjectReader::texts(const char* name, std::size_t maxCount, std::size_t maxLength)
{
    std::vector<std::string> all;
    if (!has(name))
        return all;
    const Json::Value& list = member(name);
    if (!list.isArray() || list.size() > maxCount)
        fail(name, "must be a list of at most " + std::to_string(maxCount) + " strings");
    for (const Json::Value& it : list) {
        if (!it.isString() || it.asString().size() > maxLength)
            fail(name, "must hold strings of at most " + std::to_string(maxLength) + " bytes");
        all.push_back(it.asString());
    }
    return all;
}

const Json::Value& ObjectReader::raw(const char* name)
{
    m_readNames.insert(name);
    return has(name) ? (*m_value)[name] : nullValue();
}

void ObjectReader::finish() const
{
    for (const std::string& name : m_value->getMemberNames()) {
        if (!m_readNames.contains(name))
            throw DecodeError(pathOf(name), "is not a known field");
    }
}

void ObjectReader::fail(const char* name, const std::string& message) const
{
    throw DecodeError(pathOf(name), message);
}

const Json::Value& ObjectReader::member(const char* name)
{
    m_readNames.insert(name);
    if (!has(name))
        fail(name, "is missing");
    return (*m_value)[name];
}

std::string ObjectReader::pathOf(const std::string& name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

} // namespace sardinerun::codec

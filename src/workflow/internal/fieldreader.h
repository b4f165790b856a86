//! Reading and writing of the members of persisted objects; members with their default value are left out.

#pragma once

#include "codec/json.h"
#include "workflow/workflowlimits.h"

#include <string>

namespace sardinerun::workflow {

inline Json::Value number(std::int64_t it)
{
    return Json::Int64(it);
}

//! Reads members that were written by this module. A missing member yields its default; one of the wrong type throws.
class FieldReader {
public:
    explicit FieldReader(const Json::Value& value)
        : m_value(value)
    {
        if (!value.isObject())
            throw codec::DecodeError("", "must be an object");
    }
    std::int64_t integer(const char* name) const
    {
        const Json::Value& it = m_value[name];
        if (it.isNull())
            return 0;
        if (!it.isInt64())
            throw codec::DecodeError(name, "must be a whole number");
        return it.asInt64();
    }
    std::uint32_t count(const char* name, std::int64_t max) const
    {
        return static_cast<std::uint32_t>(integerUpTo(name, max));
    }
    std::string text(const char* name) const
    {
        const Json::Value& it = m_value[name];
        if (it.isNull())
            return "";
        if (!it.isString())
            throw codec::DecodeError(name, "must be a text");
        return it.asString();
    }
    bool flag(const char* name) const { return integer(name) != 0; }
    std::int64_t integerUpTo(const char* name, std::int64_t max) const
    {
        const std::int64_t it = integer(name);
        if (it < 0 || it > max)
            throw codec::DecodeError(name, "out of range");
        return it;
    }
    core::Duration readMs(const char* name) const
    {
        return std::chrono::milliseconds(integerUpTo(name, limits::maxDurationMs));
    }
    core::Duration readUs(const char* name) const { return core::Duration(integerUpTo(name, limits::maxDurationUs)); }
    const Json::Value& list(const char* name) const
    {
        const Json::Value& it = m_value[name];
        if (!it.isNull() && !it.isArray())
            throw codec::DecodeError(name, "must be a list");
        return it;
    }
    const Json::Value& raw(const char* name) const { return m_value[name]; }

private:
    const Json::Value& m_value;
};

inline void put(Json::Value& to, const char* name, std::int64_t value)
{
    if (value != 0)
        to[name] = number(value);
}

inline void put(Json::Value& to, const char* name, const std::string& value)
{
    if (!value.empty())
        to[name] = value;
}

} // namespace sardinerun::workflow

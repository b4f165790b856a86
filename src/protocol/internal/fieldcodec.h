#pragma once

#include "jobs/jobcodec.h"
#include "once/claimcodec.h"
#include "protocol/internal/describe.h"
#include "services/servicescodec.h"

#include <type_traits>

namespace sardinerun::protocol {

constexpr std::size_t maxFieldText = 4096;
constexpr std::size_t maxListLength = 100'000;
constexpr std::int64_t maxWireCount = std::int64_t(1) << 53;

//! Writes the fields of a message into a JSON object.
class FieldEncoder {
public:
    template <class Field> void operator()(const char* name, Field& field) { m_value[name] = encode(field); }

    template <class Described> static Json::Value encode(Described& it)
    {
        FieldEncoder encoder;
        describe(encoder, it);
        return std::move(encoder.m_value);
    }
    template <class Tag> static Json::Value encode(core::Strong<Tag, std::string>& it) { return it.value(); }
    template <class Tag> static Json::Value encode(core::Strong<Tag, std::uint32_t>& it) { return it.value(); }
    template <class Tag> static Json::Value encode(core::Strong<Tag, std::uint64_t>& it)
    {
        return Json::UInt64(it.value());
    }
    template <class Element> static Json::Value encode(std::vector<Element>& list)
    {
        Json::Value value(Json::arrayValue);
        for (Element& it : list)
            value.append(encode(it));
        return value;
    }
    template <class Value> static Json::Value encode(std::optional<Value>& it)
    {
        return it ? encode(*it) : Json::Value();
    }
    template <class Enum>
    requires std::is_enum_v<Enum>
    static Json::Value encode(Enum& it) { return static_cast<int>(it); }
    static Json::Value encode(std::string& it) { return it; }
    static Json::Value encode(bool& it) { return it; }
    static Json::Value encode(std::uint32_t& it) { return it; }
    //! Encoded as decimal text, since not every JSON implementation preserves all 64 bits of a number.
    static Json::Value encode(std::uint64_t& it) { return std::to_string(it); }
    static Json::Value encode(core::Duration& it) { return Json::Int64(it.count()); }
    static Json::Value encode(core::Resources& it) { return services::encodeResources(it); }
    static Json::Value encode(core::AttemptId& it) { return services::encodeAttemptId(it); }
    static Json::Value encode(jobs::JobSpec& it) { return jobs::encodeSpec(it); }
    static Json::Value encode(jobs::JobStatus& it) { return jobs::encodeStatus(it); }
    static Json::Value encode(once::StoredAnswer& it) { return once::encodeAnswer(it); }

private:
    Json::Value m_value { Json::objectValue };
};

//! Number of values of each enumeration, to validate decoded values.
template <class Enum> constexpr int enumCount = 0;
template <> inline constexpr int enumCount<SubmitOutcome> = 4;
template <> inline constexpr int enumCount<PlaceMode> = 3;
template <> inline constexpr int enumCount<services::AttemptState> = 5;
template <> inline constexpr int enumCount<admission::RefusalReason> = 8;
template <> inline constexpr int enumCount<once::ClaimResult> = 6;

//! Reads the fields of a message from a JSON object; throws codec::DecodeError.
class FieldDecoder {
public:
    explicit FieldDecoder(codec::ObjectReader& reader)
        : m_reader(reader)
    {
    }

    template <class Field> void operator()(const char* name, Field& field) { decode(name, field); }

private:
    template <class Described> void decode(const char* name, Described& it)
    {
        codec::ObjectReader inner = m_reader.object(name);
        FieldDecoder decoder(inner);
        describe(decoder, it);
        inner.finish();
    }
    template <class Tag> void decode(const char* name, core::Strong<Tag, std::string>& it)
    {
        it = core::Strong<Tag, std::string>(m_reader.text(name, maxFieldText));
    }
    template <class Tag> void decode(const char* name, core::Strong<Tag, std::uint32_t>& it)
    {
        it = core::Strong<Tag, std::uint32_t>(static_cast<std::uint32_t>(m_reader.integer(name, 0, UINT32_MAX)));
    }
    template <class Tag> void decode(const char* name, core::Strong<Tag, std::uint64_t>& it)
    {
        it = core::Strong<Tag, std::uint64_t>(static_cast<std::uint64_t>(m_reader.integer(name, 0, maxWireCount)));
    }
    template <class Enum>
    requires std::is_enum_v<Enum>
    void decode(const char* name, Enum& it) { it = static_cast<Enum>(m_reader.integer(name, 0, enumCount<Enum> - 1)); }
    void decode(const char* name, std::string& it) { it = m_reader.text(name, maxFieldText); }
    void decode(const char* name, bool& it) { it = m_reader.flagOr(name, false); }
    void decode(const char* name, std::uint32_t& it)
    {
        it = static_cast<std::uint32_t>(m_reader.integer(name, 0, UINT32_MAX));
    }
    void decode(const char* name, std::uint64_t& it)
    {
        const std::string text = m_reader.text(name, 20);
        if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos)
            m_reader.fail(name, "must be a decimal number");
        it = std::strtoull(text.c_str(), nullptr, 10);
    }
    void decode(const char* name, core::Duration& it) { it = core::Duration(m_reader.integer(name, 0, maxWireCount)); }
    void decode(const char* name, std::optional<core::Duration>& it)
    {
        if (m_reader.raw(name).isNull())
            return;
        it = core::Duration(m_reader.integer(name, 0, maxWireCount));
    }
    void decode(const char* name, core::Resources& it) { it = services::decodeResources(m_reader.object(name)); }
    void decode(const char* name, core::AttemptId& it)
    {
        codec::ObjectReader inner = m_reader.object(name);
        it = services::decodeAttemptId(inner);
    }
    void decode(const char* name, jobs::JobSpec& it) { it = jobs::decodeSpec(m_reader.object(name)); }
    void decode(const char* name, once::StoredAnswer& it) { it = once::decodeAnswer(m_reader.object(name)); }
    void decode(const char* name, std::vector<core::JobId>& list)
    {
        for (std::string& it : m_reader.texts(name, maxListLength, maxFieldText))
            list.emplace_back(std::move(it));
    }
    void decode(const char* name, std::vector<core::AttemptId>& list)
    {
        for (codec::ObjectReader& it : m_reader.objects(name, maxListLength))
            list.push_back(services::decodeAttemptId(it));
    }
    void decode(const char* name, std::vector<jobs::JobStatus>& list)
    {
        for (codec::ObjectReader& it : m_reader.objects(name, maxListLength))
            list.push_back(jobs::decodeStatus(it));
    }
    void decode(const char* name, std::vector<TaskAttempt>& list)
    {
        for (codec::ObjectReader& it : m_reader.objects(name, maxListLength)) {
            FieldDecoder decoder(it);
            describe(decoder, list.emplace_back());
            it.finish();
        }
    }

    codec::ObjectReader& m_reader;
};

} // namespace sardinerun::protocol

#include "telemetry/trace.h"

#include "core/hashing.h"
#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::telemetry {

namespace {

constexpr std::size_t headerLength = 55;
constexpr std::size_t traceIdLength = 32;
constexpr std::size_t spanIdLength = 16;

bool isHex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

} // namespace

std::optional<TraceContext> TraceContext::parse(std::string_view traceparent)
{
    if (traceparent.size() != headerLength || !traceparent.starts_with("00-") || traceparent[35] != '-'
        || traceparent[52] != '-')
        return std::nullopt;
    const std::string_view traceId = traceparent.substr(3, traceIdLength);
    const std::string_view spanId = traceparent.substr(36, spanIdLength);
    const std::string_view flags = traceparent.substr(53);
    if (!isHex(traceId) || !isHex(spanId) || !isHex(flags) || isZero(traceId) || isZero(spanId))
        return std::nullopt;
    constexpr std::string_view oddDigits = "13579bdf"; // hexadecimal digits whose lowest bit is set: the "sampled" flag
    return TraceContext { std::string(traceId), std::string(spanId), oddDigits.find(flags.back()) != oddDigits.npos };
}

TraceContext TraceContext::start(bool isSampled)
{
    return { core::randomId(), core::randomId().substr(0, spanIdLength), isSampled };
}

TraceContext TraceContext::child() const
{
    return { traceId, core::randomId().substr(0, spanIdLength), isSampled };
}

std::string TraceContext::header() const
{
    return "00-" + traceId + "-" + spanId + (isSampled ? "-01" : "-00");
}

void writeSpan(const Span& span)
{
    if (!span.context.isSampled)
        return;
    LogLine(Severity::Info, "span")
        .with("name", span.name)
        .with("trace", span.context.traceId)
        .with("span", span.context.spanId)
        .with("parent", span.parentSpanId)
        .with("micros", span.duration.count())
        .with("detail", span.detail);
}

} // namespace sardinerun::telemetry

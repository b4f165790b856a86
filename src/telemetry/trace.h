#pragma once

#include "core/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace sardinerun::telemetry {

//! Identifies one span of a trace, as in the W3C header `traceparent`.
struct TraceContext {
    std::string traceId; //!< 32 hexadecimal digits
    std::string spanId; //!< 16 hexadecimal digits
    bool isSampled = false;

    //! Parses a `traceparent` header; returns nothing if it is invalid.
    static std::optional<TraceContext> parse(std::string_view traceparent);
    //! Starts a new trace with random ids.
    static TraceContext start(bool isSampled);

    //! Returns a new span of the same trace.
    TraceContext child() const;
    //! Returns the value of the `traceparent` header.
    std::string header() const;
};

//! A span that has ended.
struct Span {
    TraceContext context;
    std::string parentSpanId;
    const char* name = "";
    core::Duration duration {};
    std::string detail;
};

//! Logs the span if its trace is sampled.
void writeSpan(const Span& span);

} // namespace sardinerun::telemetry

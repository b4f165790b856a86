#pragma once

#include "core/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace sardinerun::telemetry {

//! Place of one hop in a trace, as in the W3C header `traceparent`.
struct TraceContext {
    std::string traceId; //!< 32 digits of hex
    std::string spanId; //!< 16 digits of hex
    bool isSampled = false;

    //! Reads a header; nothing when it is not valid.
    static std::optional<TraceContext> parse(std::string_view traceparent);
    static TraceContext start(bool isSampled);

    //! The next hop of the same trace.
    TraceContext child() const;
    std::string header() const;
};

//! One hop that has ended. Written as a log line when its trace is sampled.
struct Span {
    TraceContext context;
    std::string parentSpanId;
    const char* name = "";
    core::Duration took {};
    std::string detail;
};

void writeSpan(const Span& span);

} // namespace sardinerun::telemetry

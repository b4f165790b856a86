#pragma once

#include <json/value.h>
#include <string>

//! Telemetry: logs as JSON lines, metrics for Prometheus, and spans of traces.
namespace sardinerun::telemetry {

enum class Severity { Info, Warning, Error };

//! Sends all log lines to standard error as JSON, through glog. Call once, before threads start.
void startLogging(const std::string& program);

//! One log line; written when it goes out of scope.
class LogLine {
public:
    LogLine(Severity severity, const char* event);
    ~LogLine();
    LogLine(const LogLine&) = delete;
    LogLine& operator=(const LogLine&) = delete;

    LogLine& with(const char* name, const std::string& value);
    LogLine& with(const char* name, std::int64_t value);

private:
    Severity m_severity;
    Json::Value m_fields { Json::objectValue };
};

} // namespace sardinerun::telemetry

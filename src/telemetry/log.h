#pragma once

#include <cstdint>
#include <string>

//! Telemetry: logs as JSON lines, metrics for Prometheus, and spans of traces.
namespace sardinerun::telemetry {

enum class Severity { Info, Warning, Error };

//! Sends all log lines to standard output as JSON, also what libraries write through glog. Call once, before threads
//! start. Until then lines are dropped.
void startLogging(const std::string& program);

//! Writes out what is buffered; call it from time to time. Never blocks.
void flushLog();
//! Lines that found no room.
std::uint64_t droppedLogLines();

//! One log line; written when it goes out of scope.
class LogLine {
public:
    LogLine(Severity severity, const char* event);
    ~LogLine();
    LogLine(const LogLine&) = delete;
    LogLine& operator=(const LogLine&) = delete;

    LogLine& with(const char* name, const std::string& value);
    LogLine& with(const char* name, const char* value);
    LogLine& with(const char* name, std::int64_t value);

private:
    Severity m_severity;
    std::string m_text;
};

} // namespace sardinerun::telemetry

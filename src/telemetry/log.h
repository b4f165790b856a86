#pragma once

#include <cstdint>
#include <string>

//! Logs as JSON lines, metrics in the Prometheus format, and trace spans.
namespace sardinerun::telemetry {

enum class Severity { Info, Warning, Error };

//! Starts writing log lines to standard output as JSON, including messages that libraries log through glog. Must be
//! called once, before threads start. Lines logged before this call are dropped.
void startLogging(const std::string& program);

//! Writes buffered lines to standard output without blocking. Must be called periodically.
void flushLog();
//! Returns the number of lines dropped because the buffer was full.
std::uint64_t droppedLogLines();

//! Builds one log line, which is appended to the buffer by the destructor.
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

#include "telemetry/log.h"

#include "telemetry/crashreport.h"
#include "telemetry/logbuffer.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <glog/logging.h>
#include <memory>
#include <string_view>
#include <sys/time.h>
#include <unistd.h>

namespace sardinerun::telemetry {

namespace {

std::unique_ptr<LogBuffer>& buffer()
{
    static std::unique_ptr<LogBuffer> it;
    return it;
}

const char* nameOf(Severity it)
{
    static constexpr std::array<const char*, 3> names { "INFO", "WARNING", "ERROR" };
    return names[static_cast<std::size_t>(it)];
}

void appendQuoted(std::string& to, std::string_view text)
{
    to += '"';
    for (const char c : text) {
        const auto it = static_cast<unsigned char>(c);
        if (it >= 0x20 && c != '"' && c != '\\') {
            to += c;
            continue;
        }
        std::array<char, 8> buf {};
        std::snprintf(buf.data(), buf.size(), "\\u%04x", it);
        to += buf.data();
    }
    to += '"';
}

//! Appends date and time in UTC. The text up to the seconds is cached for each thread, since most lines share it.
void appendTime(std::string& to)
{
    thread_local time_t lastSecond = 0;
    thread_local std::array<char, 32> text {};
    timeval now {};
    gettimeofday(&now, nullptr);
    if (now.tv_sec != lastSecond) {
        lastSecond = now.tv_sec;
        tm parts {};
        gmtime_r(&now.tv_sec, &parts);
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    }
    std::array<char, 16> fraction {};
    std::snprintf(fraction.data(), fraction.size(), ".%06ldZ", static_cast<long>(now.tv_usec % 1'000'000));
    to += text.data();
    to += fraction.data();
}

//! Receives the messages that libraries log through glog.
class LibrarySink : public google::LogSink {
public:
    void send(google::LogSeverity severity, const char*, const char*, int, const google::LogMessageTime&,
        const char* message, std::size_t length) override
    {
        LogLine(severity >= google::GLOG_WARNING ? Severity::Warning : Severity::Info, "library")
            .with("text", std::string(message, length));
    }
};

} // namespace

void startLogging(const std::string& program)
{
    // glog stores the pointer, so the name must have static storage duration.
    static std::string name;
    static LibrarySink sink;
    name = program;
    buffer() = std::make_unique<LogBuffer>(STDOUT_FILENO);
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, ""); // no log files: the VMs have no disks
    google::SetStderrLogging(google::NUM_SEVERITIES);
    google::AddLogSink(&sink);
    google::InitGoogleLogging(name.c_str());
    installCrashReport();
}

void flushLog()
{
    if (buffer())
        buffer()->flush();
}

std::uint64_t droppedLogLines()
{
    return buffer() ? buffer()->dropped() : 0;
}

LogLine::LogLine(Severity severity, const char* event)
    : m_severity(severity)
    , m_text("{\"event\":")
{
    appendQuoted(m_text, event);
}

LogLine& LogLine::with(const char* name, const std::string& value)
{
    m_text += ',';
    appendQuoted(m_text, name);
    m_text += ':';
    appendQuoted(m_text, value);
    return *this;
}

LogLine& LogLine::with(const char* name, const char* value)
{
    return with(name, std::string(value));
}

LogLine& LogLine::with(const char* name, std::int64_t value)
{
    m_text += ',';
    appendQuoted(m_text, name);
    m_text += ':';
    m_text += std::to_string(value);
    return *this;
}

LogLine::~LogLine()
{
    if (!buffer())
        return;
    m_text += ",\"time\":\"";
    appendTime(m_text);
    m_text += "\",\"severity\":\"";
    m_text += nameOf(m_severity);
    m_text += "\"}\n";
    buffer()->append(m_text);
    if (m_severity != Severity::Info)
        buffer()->flush();
}

} // namespace sardinerun::telemetry

#include "telemetry/log.h"

#include "codec/json.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <glog/logging.h>

namespace sardinerun::telemetry {

namespace {

//! Writes what glog passes on as one JSON line each.
class JsonSink : public google::LogSink {
public:
    void send(google::LogSeverity severity, const char*, const char* file, int line, const google::LogMessageTime& time,
        const char* message, std::size_t length) override
    {
        const std::string text(message, length);
        Json::Value fields(Json::objectValue);
        if (text.starts_with('{'))
            fields = codec::parseJson(text);
        else
            fields["event"] = text;
        std::array<char, 96> buf {};
        const tm& at = time.tm();
        std::snprintf(buf.data(), buf.size(), "%04d-%02d-%02dT%02d:%02d:%02d.%06d%+03ld:00", at.tm_year + 1900,
            at.tm_mon + 1, at.tm_mday, at.tm_hour, at.tm_min, at.tm_sec, time.usec(), at.tm_gmtoff / 3600);
        fields["time"] = buf.data();
        fields["severity"] = google::GetLogSeverityName(severity);
        if (severity >= google::GLOG_WARNING)
            fields["source"] = std::string(file) + ":" + std::to_string(line);
        const std::string out = codec::writeJson(fields) + "\n";
        std::fwrite(out.data(), 1, out.size(), stderr);
    }
};

JsonSink& sink()
{
    static JsonSink it;
    return it;
}

} // namespace

void startLogging(const std::string& program)
{
    // glog keeps the pointer, so the name must outlive it.
    static std::string name;
    name = program;
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, ""); // no files: the VMs have no disks
    google::SetStderrLogging(google::NUM_SEVERITIES);
    FLAGS_timestamp_in_logfile_name = false;
    google::AddLogSink(&sink());
    google::InitGoogleLogging(name.c_str());
}

LogLine::LogLine(Severity severity, const char* event)
    : m_severity(severity)
{
    m_fields["event"] = event;
}

LogLine& LogLine::with(const char* name, const std::string& value)
{
    m_fields[name] = value;
    return *this;
}

LogLine& LogLine::with(const char* name, std::int64_t value)
{
    m_fields[name] = Json::Int64(value);
    return *this;
}

LogLine::~LogLine()
{
    const std::string text = codec::writeJson(m_fields);
    if (m_severity == Severity::Info)
        LOG(INFO) << text;
    else if (m_severity == Severity::Warning)
        LOG(WARNING) << text;
    else
        LOG(ERROR) << text;
}

} // namespace sardinerun::telemetry

#include "app/internal/connectionreport.h"

#include "telemetry/log.h"

namespace sardinerun::app {

using telemetry::LogLine;
using telemetry::Metric;
using telemetry::Severity;

void ConnectionReport::report(const http::ConnectionUsage& usage, std::uint64_t refusedCalls)
{
    const telemetry::Labels labels { { "listeners", m_listeners } };
    m_metrics->set(Metric::HttpConnections, labels, double(usage.connections));
    m_metrics->set(Metric::HttpUnfinishedBytes, labels, double(usage.unfinishedBytes));
    m_metrics->set(Metric::HttpServedBytes, labels, double(usage.servedBytes));
    const auto log = [&](const char* event, const char* reason, std::uint64_t count) {
        LogLine(Severity::Warning, event)
            .with("listeners", m_listeners)
            .with("reason", reason)
            .with("count", std::int64_t(count))
            .with("connections", std::int64_t(usage.connections))
            .with("unfinishedBytes", std::int64_t(usage.unfinishedBytes))
            .with("servedBytes", std::int64_t(usage.servedBytes));
    };
    const auto logRefused = [&](const char* reason, std::uint64_t count) {
        if (count == 0)
            return;
        m_metrics->add(Metric::HttpRefused, labels, double(count));
        log("requests-refused", reason, count);
    };
    logRefused("served-bytes", usage.refused - m_last.refused);
    logRefused("call-bytes", refusedCalls - m_lastRefusedCalls);
    for (std::size_t n = 0; n < http::closeReasons; ++n) {
        const std::uint64_t count = usage.closed.at(n) - m_last.closed.at(n);
        if (count == 0)
            continue;
        const char* reason = http::nameOf(http::CloseReason(n));
        m_metrics->add(Metric::HttpClosed, { { "listeners", m_listeners }, { "reason", reason } }, double(count));
        log("connections-closed", reason, count);
    }
    m_last = usage;
    m_lastRefusedCalls = refusedCalls;
}

} // namespace sardinerun::app

#pragma once

#include "http/connectionlimits.h"
#include "telemetry/metrics.h"

namespace sardinerun::app {

//! Reports the connections of one loop: metrics, and for each kind of event since the last report one log line with the
//! count.
class ConnectionReport {
public:
    //! `listeners` names the listeners in labels and log lines.
    ConnectionReport(telemetry::MetricsPtr metrics, std::string listeners)
        : m_metrics(std::move(metrics))
        , m_listeners(std::move(listeners))
    {
    }

    //! Must be called at most once a second. `refusedCalls`: requests that were read and then refused for lack of
    //! memory, since the start.
    void report(const http::ConnectionUsage& usage, std::uint64_t refusedCalls = 0);

private:
    telemetry::MetricsPtr m_metrics;
    std::string m_listeners;
    http::ConnectionUsage m_last;
    std::uint64_t m_lastRefusedCalls = 0;
};

} // namespace sardinerun::app

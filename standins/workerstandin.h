#pragma once

#include "standins/control.h"

#include <memory>

namespace sardinerun::standins {

struct WorkersOptions {
    core::HostPort platform;
    int count = 8;
    std::uint16_t firstPort = 0;
    core::Resources capacity;
    int perRack = 8;
    std::vector<std::string> failureDomains;
    core::Duration lease = std::chrono::seconds(10);
    int usedPercent = 0;
    std::string prefix = "worker";
};

//! Runs workers, each on its own port, and counts violations: tasks that run twice, and workers over their capacity.
class WorkersStandin;
std::shared_ptr<WorkersStandin> startWorkers(
    const runtime::EventLoopPtr& loop, const http::IHttpClientPtr& client, const WorkersOptions& options);

} // namespace sardinerun::standins

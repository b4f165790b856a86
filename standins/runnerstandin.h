#pragma once

#include "standins/control.h"

#include <memory>

namespace sardinerun::standins {

struct RunnersOptions {
    core::HostPort platform;
    int count = 4;
    std::uint16_t firstPort = 0;
    core::ServiceId service;
    core::Slots slots { 8 };
    core::Duration work = std::chrono::milliseconds(10);
    std::vector<std::string> failureDomains;
};

//! Runs the runners of one service, each on its own port, and counts violations: requests beyond the slots, and
//! repeated executions of one idempotency key.
class RunnersStandin;
std::shared_ptr<RunnersStandin> startRunners(
    const runtime::EventLoopPtr& loop, const http::IHttpClientPtr& client, const RunnersOptions& options);

} // namespace sardinerun::standins

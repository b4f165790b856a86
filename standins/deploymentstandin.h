#pragma once

#include "standins/control.h"

#include <memory>

namespace sardinerun::standins {

//! Options of a simulated deployment (store, advice service and workers) for processes of `sardinerun dispatch`.
struct DeploymentOptions {
    std::uint16_t firstPort = 0; //!< port of the store; the advice service and the workers use the ports after it
    int workers = 6;
    core::Resources capacity;
    int perRack = 3;
    core::ServiceId service;
};

class DeploymentStandin;

std::shared_ptr<DeploymentStandin> startDeployment(const runtime::EventLoopPtr& loop, const DeploymentOptions& options);

} // namespace sardinerun::standins

#pragma once

#include "telemetry/metrics.h"

namespace sardinerun::app {

//! Sets the metrics of the CPU time, memory and descriptors of this process.
void reportProcess(telemetry::Metrics& metrics);

} // namespace sardinerun::app

#pragma once

#include "telemetry/metrics.h"

namespace sardinerun::app {

//! Sets the metrics of this process's processor time and memory.
void reportProcess(telemetry::Metrics& metrics);

} // namespace sardinerun::app

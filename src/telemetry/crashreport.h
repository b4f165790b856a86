#pragma once

namespace sardinerun::telemetry {

//! Makes a process that crashes write the signal, the address of the fault and its stack to standard error, before it
//! ends as it would have without that.
void installCrashReport();

} // namespace sardinerun::telemetry

#pragma once

#include "standins/control.h"

#include <memory>

namespace sardinerun::standins {

//! Serves the table service and the VM list that docs/PLATFORM.md describes.
class PlatformStandin;
std::shared_ptr<PlatformStandin> startPlatform(const runtime::EventLoopPtr& loop, std::uint16_t port);

} // namespace sardinerun::standins

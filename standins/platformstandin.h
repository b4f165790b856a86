#pragma once

#include "standins/control.h"

#include <memory>

namespace sardinerun::standins {

//! Table service and VM list, as docs/PLATFORM.md describes them.
class PlatformStandin;
std::shared_ptr<PlatformStandin> startPlatform(const runtime::EventLoopPtr& loop, std::uint16_t port);

} // namespace sardinerun::standins

#pragma once

#include "core/types.h"

#include <algorithm>

namespace sardinerun::core {

//! Returns the largest fraction that a part has of one of the resources of the whole. Resources that the whole lacks
//! don't count.
inline double dominantShare(const Resources& part, const Resources& whole)
{
    const auto fraction = [](std::int64_t a, std::int64_t b) { return b > 0 ? double(a) / double(b) : 0.0; };
    return std::max(
        { fraction(part.cpu.value(), whole.cpu.value()), fraction(part.memory.value(), whole.memory.value()),
            fraction(part.accelerators.value(), whole.accelerators.value()) });
}

} // namespace sardinerun::core

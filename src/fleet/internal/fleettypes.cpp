#include "fleet/fleettypes.h"

#include <array>

namespace sardinerun::fleet {

const char* nameOf(OrderFailure::Code it)
{
    static constexpr std::array<const char*, 11> names { "not-sent", "unknown", "fenced", "outdated", "late", "no-room",
        "bad-ticket", "unhealthy", "other-life", "new-connection", "refused" };
    return names[static_cast<std::size_t>(it)];
}

const char* nameOf(EndKind it)
{
    static constexpr std::array<const char*, 6> names { "done", "failed", "stopped", "lease-lapsed", "member-ended",
        "members-missing" };
    return names[static_cast<std::size_t>(it)];
}

std::string textOf(const TaskId& it)
{
    return it.job.value() + "." + std::to_string(it.occurrence) + "." + std::to_string(it.step) + "."
        + std::to_string(it.index);
}

} // namespace sardinerun::fleet

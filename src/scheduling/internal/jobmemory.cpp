#include "scheduling/jobmemory.h"

namespace sardinerun::scheduling {

namespace {

constexpr std::size_t expectationBytes = 64; //!< of a step
constexpr std::size_t stageBytes = 448; //!< a step of one occurrence, without its tasks
constexpr std::size_t taskBytes = 320; //!< its progress and its failed runs

} // namespace

std::size_t jobBytesOf(const workflow::JobSpec& spec)
{
    std::size_t bytes = endedJobBytes + spec.payload.size();
    for (const workflow::StepSpec& it : spec.steps)
        bytes += workflow::bytesOf(it) + expectationBytes;
    return bytes + workflow::stageCount(spec) * stageBytes + workflow::taskCount(spec) * taskBytes;
}

} // namespace sardinerun::scheduling

#include "scheduling/jobmemory.h"

namespace sardinerun::scheduling {

namespace {

constexpr std::size_t stepBytes = 256; //!< its specification and what is expected of it
constexpr std::size_t stageBytes = 448; //!< a step of one occurrence, without its tasks
constexpr std::size_t taskBytes = 320; //!< its progress and its failed runs

std::size_t bytesOf(const workflow::StepSpec& it)
{
    return stepBytes + it.after.size() * sizeof(it.after[0]) + it.requiredLabel.size() + it.dataRack.size()
        + it.image.size();
}

} // namespace

std::size_t jobBytesOf(const workflow::JobSpec& spec)
{
    std::size_t bytes = endedJobBytes + spec.payload.size();
    for (const workflow::StepSpec& it : spec.steps)
        bytes += bytesOf(it);
    return bytes + workflow::stageCount(spec) * stageBytes + workflow::taskCount(spec) * taskBytes;
}

} // namespace sardinerun::scheduling

#include "workflow/workflowtypes.h"

#include <algorithm>
#include <array>

namespace sardinerun::workflow {

bool QueuePolicy::matches(const std::string& calledHost, const std::string& path) const
{
    return host == calledHost && path.starts_with(pathPrefix);
}

const QueuePolicy* QueueConfig::find(const std::string& host, const std::string& path) const
{
    const QueuePolicy* best = nullptr;
    for (const QueuePolicy& it : queues) {
        if (it.matches(host, path) && (!best || it.pathPrefix.size() > best->pathPrefix.size()))
            best = &it;
    }
    return best;
}

const QueuePolicy* QueueConfig::findByName(const std::string& name) const
{
    const auto it
        = std::find_if(queues.begin(), queues.end(), [&name](const auto& entry) { return entry.name == name; });
    return it == queues.end() ? nullptr : &*it;
}

const teams::Team* QueueConfig::findTeam(const core::TeamId& id) const
{
    const auto it
        = std::find_if(teams.begin(), teams.end(), [&id](const teams::Team& entry) { return entry.id == id; });
    return it == teams.end() ? nullptr : &*it;
}

const char* nameOf(JobState it)
{
    static constexpr std::array<const char*, 5> names { "pending", "running", "completed", "failed", "cancelled" };
    return names[static_cast<std::size_t>(it)];
}

const char* nameOf(WorkflowOutcome it)
{
    static constexpr std::array<const char*, 11> names { "accepted", "refused", "no-queue", "no-job", "found",
        "cancelled", "counted", "not-now", "uncertain", "no-key", "other-team" };
    return names[static_cast<std::size_t>(it)];
}

WorkflowResult answerOf(WorkflowOutcome outcome, std::string reason)
{
    WorkflowResult it;
    it.outcome = outcome;
    it.reason = std::move(reason);
    return it;
}

bool FailedRuns::insert(std::int64_t run)
{
    const bool isForgotten = m_older > 0 && !m_recorded.empty() && run < *m_recorded.begin();
    if (isForgotten || !m_recorded.insert(run).second)
        return false;
    if (m_recorded.size() > maxRecorded) {
        m_recorded.erase(m_recorded.begin());
        ++m_older;
    }
    return true;
}

std::size_t bytesOf(const StepSpec& it)
{
    const std::size_t texts = it.requiredLabel.size() + it.dataRack.size() + it.image.size();
    return sizeof it + it.after.size() * sizeof(it.after[0]) + texts;
}

StageProgress initialProgress(std::size_t tasks)
{
    StageProgress it;
    it.done.resize(tasks, false);
    it.failedRuns.resize(tasks);
    return it;
}

std::size_t stageCount(const JobSpec& spec)
{
    return spec.steps.size() * std::max<std::uint32_t>(1, spec.occurrences);
}

std::size_t taskCount(const JobSpec& spec)
{
    std::size_t n = 0;
    for (const StepSpec& it : spec.steps)
        n += it.count;
    return n * std::max<std::uint32_t>(1, spec.occurrences);
}

core::Duration criticalPath(const JobSpec& spec)
{
    std::vector<core::Duration> lengths;
    lengths.reserve(spec.steps.size());
    for (const StepSpec& it : spec.steps)
        lengths.push_back(it.estimate);
    return criticalPath(spec, lengths);
}

core::Duration criticalPath(const JobSpec& spec, const std::vector<core::Duration>& lengths)
{
    std::vector<core::Duration> ends;
    core::Duration longest {};
    for (const StepSpec& step : spec.steps) {
        core::Duration begin {};
        for (const std::uint32_t n : step.after)
            begin = std::max(begin, n < ends.size() ? ends[n] : core::Duration());
        ends.push_back(begin + lengths[ends.size()]);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace sardinerun::workflow

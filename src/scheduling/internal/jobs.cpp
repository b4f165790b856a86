#include "scheduling/internal/jobs.h"

#include "core/numbers.h"
#include "scheduling/jobmemory.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

//! Tolerance for inaccurate estimates: a job counts as late this long after the last start time that meets its
//! objective.
constexpr core::Duration estimateSlack = std::chrono::milliseconds(500);

//! A result is of use to callers until this multiple of the objective has passed since the job was accepted.
constexpr int usefulObjectives = 3;

} // namespace

bool isOutOfUse(const Job& job, core::TimePoint startBy, core::TimePoint now)
{
    // Nobody waits for the end of a service, and each occurrence of a scheduled job has its own users.
    const workflow::JobSpec& spec = job.record.spec;
    const bool isService
        = std::any_of(spec.steps.begin(), spec.steps.end(), [](const auto& it) { return it.isLongRunning; });
    if (isService || spec.occurrences > 0)
        return false;
    return now > startBy + (job.objectiveAt - job.acceptedAt) * (usefulObjectives - 1) + estimateSlack;
}

bool isTooLate(core::TimePoint startBy, core::TimePoint objectiveAt, core::TimePoint now)
{
    return now > std::min(startBy + estimateSlack, objectiveAt);
}

bool Stage::isGangRun(fleet::RunNumber run) const
{
    return std::all_of(tasks.begin(), tasks.end(),
        [run](const TaskProgress& it) { return it.state != TaskProgress::State::Live || it.run == run; });
}

std::size_t Stage::startable() const
{
    return static_cast<std::size_t>(
        std::count_if(tasks.begin(), tasks.end(), [](const TaskProgress& it) { return it.mayStart(); }));
}

Stage* Job::find(const fleet::TaskId& task)
{
    const std::size_t steps = record.spec.steps.size();
    const std::size_t n = task.occurrence * steps + task.step;
    if (task.step >= steps || n >= stages.size() || task.index >= stages[n].tasks.size())
        return nullptr;
    return &stages[n];
}

void Job::setStarted()
{
    hasStarted = true;
    if (visibleState == workflow::JobState::Pending)
        visibleState = workflow::JobState::Running;
}

//! Swaps, since clearing a container keeps its memory.
void Job::releaseDetails()
{
    std::string().swap(record.spec.payload);
    decltype(record.spec.steps)().swap(record.spec.steps);
    decltype(record.stages)().swap(record.stages);
    decltype(stages)().swap(stages);
    decltype(expected)().swap(expected);
}

void Job::skipDoneStages()
{
    while (firstUndone < stages.size() && stages[firstUndone].isDone())
        ++firstUndone;
}

PendingWork Job::pendingWork() const
{
    PendingWork sum;
    const std::size_t steps = record.spec.steps.size();
    const bool isScheduled = record.spec.occurrences > 0;
    const std::size_t end = isScheduled ? (openedEnd + steps - 1) / steps * steps : stages.size();
    for (std::size_t n = firstUndone; n < end; ++n) {
        const Stage& it = stages[n];
        const workflow::StepSpec& step = stepOf(it);
        if (step.isLongRunning)
            continue;
        const double cores = double(roomOf(step).cpu.value()) / 1000;
        const double coreSecondsPerTask = cores * std::chrono::duration<double>(expectationOf(it).mean).count();
        sum.tasks += double(it.pending);
        (step.isGang ? sum.gangCoreSeconds : sum.coreSeconds) += coreSecondsPerTask * double(it.pending);
    }
    return sum;
}

double Job::expectedCoreSeconds() const
{
    double sum = 0;
    for (std::size_t n = 0; n < expected.size(); ++n) {
        const workflow::StepSpec& step = record.spec.steps[n];
        sum += step.count * double(step.need.cpu.value()) / 1000
            * std::chrono::duration<double>(expected[n].mean).count();
    }
    return sum;
}

core::Duration Job::expectedChain() const
{
    std::vector<core::Duration> lengths;
    lengths.reserve(expected.size());
    for (const StepExpectation& it : expected)
        lengths.push_back(it.longest);
    return workflow::criticalPath(record.spec, lengths);
}

core::Duration Job::remainingChain() const
{
    std::vector<core::Duration> ends;
    core::Duration longest {};
    const std::size_t steps = record.spec.steps.size();
    for (std::size_t n = 0; n < stages.size() && n < steps; ++n) {
        const workflow::StepSpec& step = record.spec.steps[n];
        core::Duration begin {};
        for (const std::uint32_t it : step.after)
            begin = std::max(begin, it < ends.size() ? ends[it] : core::Duration());
        const bool hasPending = stages[n].pending > 0;
        const core::Duration length = expected[n].longest;
        ends.push_back(stages[n].isDone() ? core::Duration() : begin + (hasPending ? length : length / 2));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

Job makeJob(workflow::JobRecord record)
{
    Job job;
    job.bytes = jobBytesOf(record.spec);
    job.record = std::move(record);
    const std::size_t steps = job.record.spec.steps.size();
    for (const workflow::StepSpec& it : job.record.spec.steps)
        job.expected.push_back({ it.estimate, it.estimate, it.estimate });
    job.stages.reserve(job.record.stages.size()); // a job may have 20,000 stages
    for (std::size_t n = 0; n < job.record.stages.size(); ++n) {
        const workflow::StageProgress& progress = job.record.stages[n];
        Stage stage;
        stage.occurrence = static_cast<std::uint32_t>(n / steps);
        stage.step = static_cast<std::uint32_t>(n % steps);
        stage.tasks.resize(progress.done.size());
        for (std::size_t k = 0; k < progress.done.size(); ++k) {
            if (progress.done[k])
                stage.tasks[k].state = TaskProgress::State::Done;
            stage.done += progress.done[k] ? 1 : 0;
        }
        stage.pending = stage.tasks.size() - stage.done;
        job.tasks += stage.tasks.size();
        job.stages.push_back(std::move(stage));
    }
    return job;
}

store::RowKey jobKey(const core::JobId& id)
{
    return { "jobs", "", id.value() };
}

store::RowKey progressKey(const core::JobId& id)
{
    return { "progress", "", id.value() };
}

store::RowKey failuresKey(const core::JobId& id, workflow::FailureBlock block)
{
    return { "failures", "", id.value() + "/" + std::to_string(block.value()) };
}

std::optional<FailuresKeyParts> parseFailuresKey(const store::RowKey& key)
{
    const std::size_t slash = key.key.rfind('/');
    if (slash == std::string::npos)
        return std::nullopt;
    const auto block = core::parseUnsigned(std::string_view(key.key).substr(slash + 1), INT32_MAX);
    if (!block)
        return std::nullopt;
    return FailuresKeyParts { core::JobId(key.key.substr(0, slash)), workflow::FailureBlock(std::int64_t(*block)) };
}

double coresOf(const workflow::StepSpec& step)
{
    return double(step.count) * double(roomOf(step).cpu.value()) / 1000;
}

workflow::Occupation occupationOf(const workflow::StepSpec& step)
{
    const core::Resources room = roomOf(step);
    return { room, (step.need - room).cpu };
}

core::Resources roomOf(const workflow::StepSpec& step)
{
    core::Resources room = step.need;
    if (step.usesSpareCpu)
        room.cpu = {};
    return room;
}

} // namespace sardinerun::scheduling

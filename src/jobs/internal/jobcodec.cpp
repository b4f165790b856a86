#include "jobs/jobcodec.h"

#include "services/servicescodec.h"

namespace sardinerun::jobs {

namespace {

constexpr std::size_t maxNameLength = 256;
constexpr std::int64_t maxTasks = 10'000;
constexpr std::int64_t maxRunMs = std::int64_t(30) * 86'400'000;
constexpr std::int64_t maxWallTimeMs = std::int64_t(1) << 53;

//! Letter of each TaskState, in order. A task is encoded as one letter, since jobs may have thousands of tasks.
constexpr std::array<char, 7> stateLetters { 'w', 'p', 'r', 's', 'f', 'c', 'u' };

std::string encodeEnded(const std::vector<TaskState>& ended)
{
    std::string buf;
    for (const TaskState it : ended)
        buf += stateLetters[static_cast<std::size_t>(it)];
    return buf;
}

std::vector<TaskState> decodeEnded(const codec::ObjectReader& reader, const std::string& letters)
{
    std::vector<TaskState> ended;
    for (const char letter : letters) {
        const auto it = std::find(stateLetters.begin(), stateLetters.end(), letter);
        if (it == stateLetters.end())
            reader.fail("ended", "holds an unknown letter");
        ended.push_back(static_cast<TaskState>(it - stateLetters.begin()));
    }
    return ended;
}

template <class Value>
Value decodeNamed(codec::ObjectReader& reader, const char* name, std::optional<Value> (*valueOf)(std::string_view))
{
    const auto value = valueOf(reader.text(name, maxNameLength));
    if (!value)
        reader.fail(name, "is not a known value");
    return *value;
}

std::uint32_t decodeCount(codec::ObjectReader& reader, const char* name)
{
    return static_cast<std::uint32_t>(reader.integer(name, 0, maxTasks));
}

std::optional<JobState> jobStateOf(std::string_view name)
{
    for (const JobState it : { JobState::Waiting, JobState::Running, JobState::Succeeded, JobState::Failed,
             JobState::Cancelled, JobState::Unknown }) {
        if (name == nameOf(it))
            return it;
    }
    return std::nullopt;
}

} // namespace

Json::Value encodeSpec(const JobSpec& it)
{
    Json::Value value(Json::objectValue);
    value["id"] = it.id.value();
    value["team"] = it.team.value();
    value["workload"] = it.workload;
    value["kind"] = nameOf(it.kind);
    value["urgency"] = nameOf(it.urgency);
    value["tasks"] = it.taskCount;
    value["each"] = services::encodeResources(it.taskResources);
    value["runMs"] = Json::Int64(it.runTime / std::chrono::milliseconds(1));
    if (it.deadline)
        value["deadlineAt"] = Json::Int64(it.deadline->value());
    value["maxAttempts"] = it.maxAttempts;
    value["repeatable"] = it.isRepeatable;
    return value;
}

JobSpec decodeSpec(codec::ObjectReader reader)
{
    JobSpec it;
    it.id = core::JobId(reader.text("id", maxNameLength));
    it.team = core::TeamId(reader.text("team", maxNameLength));
    it.workload = reader.text("workload", maxNameLength);
    it.kind = decodeNamed<JobKind>(reader, "kind", jobKindOf);
    it.urgency = decodeNamed<Urgency>(reader, "urgency", urgencyOf);
    it.taskCount = static_cast<std::uint32_t>(reader.integer("tasks", 1, maxTasks));
    it.taskResources = services::decodeResources(reader.object("each"));
    it.runTime = std::chrono::milliseconds(reader.integer("runMs", 0, maxRunMs));
    if (reader.has("deadlineAt"))
        it.deadline = core::WallTime(reader.integer("deadlineAt", 0, maxWallTimeMs));
    it.maxAttempts = static_cast<std::uint32_t>(reader.integer("maxAttempts", 1, 50));
    it.isRepeatable = reader.flagOr("repeatable", false);
    reader.finish();
    return it;
}

Json::Value encodeSnapshot(const JobSnapshot& it)
{
    Json::Value value(Json::objectValue);
    value["spec"] = encodeSpec(it.spec);
    value["acceptedAt"] = Json::Int64(it.acceptedAt.value());
    value["cancelled"] = it.isCancelled;
    value["ended"] = encodeEnded(it.ended);
    return value;
}

JobSnapshot decodeSnapshot(codec::ObjectReader reader)
{
    JobSnapshot it;
    it.spec = decodeSpec(reader.object("spec"));
    it.acceptedAt = core::WallTime(reader.integer("acceptedAt", 0, maxWallTimeMs));
    it.isCancelled = reader.flagOr("cancelled", false);
    it.ended = decodeEnded(reader, reader.text("ended", maxTasks));
    if (it.ended.size() != it.spec.taskCount)
        reader.fail("ended", "must have one letter for each task");
    return it;
}

Json::Value encodeStatus(const JobStatus& it)
{
    Json::Value value(Json::objectValue);
    value["spec"] = encodeSpec(it.spec);
    value["state"] = nameOf(it.state);
    value["acceptedAt"] = Json::Int64(it.acceptedAt.value());
    value["waiting"] = it.waiting;
    value["running"] = it.running;
    value["succeeded"] = it.succeeded;
    value["failed"] = it.failed;
    value["cancelled"] = it.cancelled;
    value["unknown"] = it.unknown;
    return value;
}

JobStatus decodeStatus(codec::ObjectReader reader)
{
    JobStatus it;
    it.spec = decodeSpec(reader.object("spec"));
    it.state = decodeNamed<JobState>(reader, "state", jobStateOf);
    it.acceptedAt = core::WallTime(reader.integer("acceptedAt", 0, maxWallTimeMs));
    it.waiting = decodeCount(reader, "waiting");
    it.running = decodeCount(reader, "running");
    it.succeeded = decodeCount(reader, "succeeded");
    it.failed = decodeCount(reader, "failed");
    it.cancelled = decodeCount(reader, "cancelled");
    it.unknown = decodeCount(reader, "unknown");
    return it;
}

} // namespace sardinerun::jobs

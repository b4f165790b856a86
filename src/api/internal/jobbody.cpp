#include "api/internal/jobbody.h"

#include "codec/json.h"
#include "configuration/configuration.h"
#include "core/hashing.h"
#include "jobs/jobcodec.h"
#include "services/servicescodec.h"

namespace sardinerun::api {

namespace {

constexpr std::size_t maxWorkloadLength = 64;
constexpr std::int64_t maxTasks = 10'000;
constexpr std::int64_t maxRunMs = std::int64_t(30) * 86'400'000;
constexpr std::size_t idDigits = 24;

template <class Value>
Value readNamed(codec::ObjectReader& reader, const char* name, std::optional<Value> (*valueOf)(std::string_view),
    Value fallback, const char* allowed)
{
    if (!reader.has(name))
        return fallback;
    const auto value = valueOf(reader.text(name, maxWorkloadLength));
    if (!value)
        reader.fail(name, std::string("must be one of ") + allowed);
    return *value;
}

} // namespace

jobs::JobSpec readSubmission(const std::string& body, core::WallTime now)
{
    const Json::Value value = codec::parseJson(body, codec::maxCallerValues);
    codec::ObjectReader reader(value);
    jobs::JobSpec it;
    it.workload = reader.text("workload", maxWorkloadLength);
    if (it.workload.empty())
        reader.fail("workload", "must not be empty");
    it.kind = readNamed(reader, "kind", jobs::jobKindOf, jobs::JobKind::Batch, "batch, service, allAtOnce");
    it.urgency = readNamed(reader, "urgency", jobs::urgencyOf, jobs::Urgency::Normal, "urgent, normal, low");
    it.taskCount = static_cast<std::uint32_t>(reader.integerOr("tasks", 1, maxTasks, 1));
    it.taskResources = services::decodeResources(reader.object("each"));
    if (it.taskResources.cpu.value() == 0 || it.taskResources.memory.value() == 0)
        reader.fail("each", "needs cpuMilli and memoryMib above 0");
    it.runTime = std::chrono::milliseconds(reader.integerOr("runMs", 1, maxRunMs, 60'000));
    if (reader.has("deadlineMs"))
        it.deadline = now + core::WallTime(reader.integer("deadlineMs", 1, maxRunMs));
    it.maxAttempts = static_cast<std::uint32_t>(reader.integerOr("maxAttempts", 1, 50, 3));
    it.isRepeatable = reader.flagOr("repeatable", true);
    reader.finish();
    return it;
}

core::JobId jobIdOf(const core::TeamId& team, const std::optional<std::string>& key)
{
    if (!key)
        return core::JobId("j-" + core::randomId().substr(0, idDigits));
    return core::JobId("j-" + core::sha256Hex(team.value() + "\n" + *key).substr(0, idDigits));
}

Json::Value writeJob(const jobs::JobStatus& status)
{
    Json::Value it(Json::objectValue);
    it["id"] = status.spec.id.value();
    it["team"] = status.spec.team.value();
    it["workload"] = status.spec.workload;
    it["kind"] = jobs::nameOf(status.spec.kind);
    it["urgency"] = jobs::nameOf(status.spec.urgency);
    it["state"] = jobs::nameOf(status.state);
    it["each"] = services::encodeResources(status.spec.taskResources);
    it["acceptedAtMs"] = Json::Int64(status.acceptedAt.value());
    if (status.spec.deadline)
        it["deadlineAtMs"] = Json::Int64(status.spec.deadline->value());
    Json::Value& tasks = it["tasks"];
    tasks["all"] = status.spec.taskCount;
    tasks["waiting"] = status.waiting;
    tasks["running"] = status.running;
    tasks["succeeded"] = status.succeeded;
    tasks["failed"] = status.failed;
    tasks["cancelled"] = status.cancelled;
    tasks["unknown"] = status.unknown;
    return it;
}

} // namespace sardinerun::api

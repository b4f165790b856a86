//! Encoding of the constant part of jobs.

#include "workflow/workflowcodec.h"

#include "codec/json.h"
#include "workflow/internal/fieldreader.h"
#include "workflow/workflowlimits.h"

namespace sardinerun::workflow {

namespace {

using codec::DecodeError;

std::int64_t toMicros(core::Duration it)
{
    return it.count();
}

Json::Value encodeStep(const StepSpec& it)
{
    Json::Value to(Json::objectValue);
    put(to, "count", it.count);
    put(to, "cpu", it.need.cpu.value());
    put(to, "memory", it.need.memory.value());
    put(to, "accelerators", it.need.accelerators.value());
    put(to, "estimateMs", core::toMs(it.estimate));
    for (const std::uint32_t n : it.after)
        to["after"].append(n);
    put(to, "gang", std::int64_t(it.isGang));
    put(to, "shareRack", std::int64_t(it.mustShareRack));
    put(to, "label", it.requiredLabel);
    put(to, "dataRack", it.dataRack);
    put(to, "maxPerWorker", it.maxPerWorker);
    put(to, "checkpoints", std::int64_t(it.savesCheckpoints));
    put(to, "mayRunTwice", std::int64_t(it.mayRunTwice));
    put(to, "longRunning", std::int64_t(it.isLongRunning));
    put(to, "image", it.image);
    put(to, "latencyTargetMs", core::toMs(it.latencyTarget));
    put(to, "leftOverCpu", std::int64_t(it.usesSpareCpu));
    put(to, "maxUnavailable", it.maxUnavailable);
    return to;
}

StepSpec decodeStep(const Json::Value& from)
{
    const FieldReader reader(from);
    StepSpec it;
    it.count = reader.count("count", limits::maxTasksOfStep);
    it.need.cpu = core::MilliCpu(reader.integer("cpu"));
    it.need.memory = core::MebiBytes(reader.integer("memory"));
    it.need.accelerators = core::Accelerators(reader.integer("accelerators"));
    it.estimate = reader.readMs("estimateMs");
    for (const Json::Value& n : reader.list("after"))
        it.after.push_back(n.asUInt());
    it.isGang = reader.flag("gang");
    it.mustShareRack = reader.flag("shareRack");
    it.requiredLabel = reader.text("label");
    it.dataRack = reader.text("dataRack");
    it.maxPerWorker = reader.count("maxPerWorker", limits::maxTasksOfStep);
    it.savesCheckpoints = reader.flag("checkpoints");
    it.mayRunTwice = reader.flag("mayRunTwice");
    it.isLongRunning = reader.flag("longRunning");
    it.image = reader.text("image");
    it.latencyTarget = reader.readMs("latencyTargetMs");
    it.usesSpareCpu = reader.flag("leftOverCpu");
    it.maxUnavailable = reader.count("maxUnavailable", limits::maxTasksOfStep);
    return it;
}

Json::Value encodeQueue(const QueuePolicy& it)
{
    Json::Value to(Json::objectValue);
    put(to, "name", it.name);
    put(to, "host", it.host);
    put(to, "prefix", it.pathPrefix);
    put(to, "service", it.service.value());
    put(to, "priority", it.priority);
    put(to, "maxAttempts", it.maxAttempts);
    put(to, "stretchThousandths", std::int64_t(it.stretch * 1000));
    put(to, "latencyTargetMs", core::toMs(it.latencyTarget));
    if (it.advice) {
        put(to, "advised", 1); // the times may all be 0
        put(to, "adviceUs", toMicros(it.advice->perRequest));
        put(to, "advicePerWorkerUs", toMicros(it.advice->perWorker));
        put(to, "adviceValidUs", toMicros(it.advice->validity));
    }
    return to;
}

QueuePolicy decodeQueue(const Json::Value& from)
{
    const FieldReader reader(from);
    QueuePolicy it;
    it.name = reader.text("name");
    it.host = reader.text("host");
    it.pathPrefix = reader.text("prefix");
    it.service = core::ServiceId(reader.text("service"));
    it.priority = static_cast<int>(reader.integerUpTo("priority", limits::maxPriority));
    it.maxAttempts = reader.count("maxAttempts", limits::maxAttempts);
    it.stretch = double(reader.integer("stretchThousandths")) / 1000;
    it.latencyTarget = reader.readMs("latencyTargetMs");
    if (reader.flag("advised") || reader.integer("adviceValidUs") > 0)
        it.advice = AdvicePolicy { reader.readUs("adviceUs"), reader.readUs("advicePerWorkerUs"),
            reader.readUs("adviceValidUs") };
    return it;
}

} // namespace

Json::Value encodeSpec(const JobSpec& it)
{
    Json::Value to(Json::objectValue);
    put(to, "id", it.id.value());
    put(to, "payload", it.payload);
    for (const StepSpec& step : it.steps)
        to["steps"].append(encodeStep(step));
    put(to, "occurrences", it.occurrences);
    put(to, "firstDueAt", it.firstDueAt.value());
    put(to, "intervalMs", core::toMs(it.interval));
    return to;
}

JobSpec decodeSpec(const Json::Value& from)
{
    const FieldReader reader(from);
    JobSpec it;
    it.id = core::JobId(reader.text("id"));
    it.payload = reader.text("payload");
    for (const Json::Value& step : reader.list("steps"))
        it.steps.push_back(decodeStep(step));
    it.occurrences = reader.count("occurrences", limits::maxOccurrences);
    it.firstDueAt = core::WallTime(reader.integer("firstDueAt"));
    it.interval = reader.readMs("intervalMs");
    if (taskCount(it) > limits::maxTasksOfJob)
        throw DecodeError("steps", "too many tasks");
    return it;
}

std::string encodeJob(const JobRecord& it)
{
    Json::Value to(Json::objectValue);
    to["spec"] = encodeSpec(it.spec);
    to["queue"] = encodeQueue(it.queue);
    put(to, "team", it.team.value());
    put(to, "capCpu", it.cap.cpu.value());
    put(to, "capMemory", it.cap.memory.value());
    put(to, "capAccelerators", it.cap.accelerators.value());
    put(to, "excess", std::int64_t(it.isExcess));
    to["acceptedAt"] = number(it.acceptedAt.value());
    return codec::writeJson(to);
}

namespace {

JobRecord recordOf(const Json::Value& value)
{
    const FieldReader reader(value);
    JobRecord it;
    it.spec = decodeSpec(reader.raw("spec"));
    it.queue = decodeQueue(reader.raw("queue"));
    it.team = core::TeamId(reader.text("team"));
    it.cap = { core::MilliCpu(reader.integer("capCpu")), core::MebiBytes(reader.integer("capMemory")),
        core::Accelerators(reader.integer("capAccelerators")) };
    it.isExcess = reader.flag("excess");
    it.acceptedAt = core::WallTime(reader.integer("acceptedAt"));
    it.stages.reserve(stageCount(it.spec));
    for (std::size_t n = 0; n < stageCount(it.spec); ++n) {
        const std::uint32_t count = it.spec.steps[n % it.spec.steps.size()].count;
        it.stages.push_back(initialProgress(count));
    }
    return it;
}

} // namespace

JobRecord decodeJob(std::string_view text)
{
    return codec::decodeJson(text, recordOf);
}

} // namespace sardinerun::workflow

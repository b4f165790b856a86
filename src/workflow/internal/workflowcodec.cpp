#include "workflow/workflowcodec.h"

#include "codec/json.h"

namespace sardinerun::workflow {

namespace {

using codec::DecodeError;

constexpr std::int64_t maxMs = std::int64_t(1) << 50;
constexpr std::uint32_t maxTasks = 1'000'000; //!< of one job; limits the memory that a damaged record can request

std::int64_t toMicros(core::Duration it)
{
    return it.count();
}

Json::Value number(std::int64_t it)
{
    return Json::Int64(it);
}

//! Reads members that were written by this module. A missing member yields its default; one of the wrong type throws.
class FieldReader {
public:
    explicit FieldReader(const Json::Value& value)
        : m_value(value)
    {
        if (!value.isObject())
            throw DecodeError("", "must be an object");
    }
    std::int64_t integer(const char* name) const
    {
        const Json::Value& it = m_value[name];
        if (it.isNull())
            return 0;
        if (!it.isInt64())
            throw DecodeError(name, "must be a whole number");
        return it.asInt64();
    }
    std::uint32_t count(const char* name) const
    {
        const std::int64_t it = integer(name);
        if (it < 0 || it > std::int64_t(maxTasks))
            throw DecodeError(name, "out of range");
        return static_cast<std::uint32_t>(it);
    }
    std::string text(const char* name) const
    {
        const Json::Value& it = m_value[name];
        if (it.isNull())
            return "";
        if (!it.isString())
            throw DecodeError(name, "must be a text");
        return it.asString();
    }
    bool flag(const char* name) const { return integer(name) != 0; }
    std::int64_t integerUpTo(const char* name, std::int64_t max) const
    {
        const std::int64_t it = integer(name);
        if (it < 0 || it > max)
            throw DecodeError(name, "out of range");
        return it;
    }
    core::Duration readMs(const char* name) const { return std::chrono::milliseconds(integerUpTo(name, maxMs)); }
    core::Duration readUs(const char* name) const { return core::Duration(integerUpTo(name, maxMs * 1000)); }
    const Json::Value& list(const char* name) const
    {
        const Json::Value& it = m_value[name];
        if (!it.isNull() && !it.isArray())
            throw DecodeError(name, "must be a list");
        return it;
    }
    const Json::Value& raw(const char* name) const { return m_value[name]; }

private:
    const Json::Value& m_value;
};

void put(Json::Value& to, const char* name, std::int64_t value)
{
    if (value != 0)
        to[name] = number(value);
}

void put(Json::Value& to, const char* name, const std::string& value)
{
    if (!value.empty())
        to[name] = value;
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
    it.count = reader.count("count");
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
    it.maxPerWorker = reader.count("maxPerWorker");
    it.savesCheckpoints = reader.flag("checkpoints");
    it.mayRunTwice = reader.flag("mayRunTwice");
    it.isLongRunning = reader.flag("longRunning");
    it.image = reader.text("image");
    it.latencyTarget = reader.readMs("latencyTargetMs");
    it.usesSpareCpu = reader.flag("leftOverCpu");
    it.maxUnavailable = reader.count("maxUnavailable");
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
    it.priority = static_cast<int>(reader.integer("priority"));
    it.maxAttempts = reader.count("maxAttempts");
    it.stretch = double(reader.integer("stretchThousandths")) / 1000;
    it.latencyTarget = reader.readMs("latencyTargetMs");
    if (reader.integer("adviceValidUs") > 0)
        it.advice = AdvicePolicy { reader.readUs("adviceUs"), reader.readUs("advicePerWorkerUs"),
            reader.readUs("adviceValidUs") };
    return it;
}

//! Encodes one character per task: 'd' if it is done, else '.'.
std::string encodeStage(const StageProgress& it)
{
    std::string text;
    for (const bool isDone : it.done)
        text += isDone ? 'd' : '.';
    return text;
}

StageProgress decodeStage(const std::string& text)
{
    StageProgress it;
    for (const char c : text) {
        if (c != 'd' && c != '.')
            throw DecodeError("stages", "unknown task state, must be 'd' or '.'");
        it.done.push_back(c == 'd');
        it.failedRuns.emplace_back();
    }
    return it;
}

Json::Value encodeFailedRun(std::size_t stage, std::size_t task, std::int64_t run)
{
    Json::Value to(Json::arrayValue);
    to.append(Json::UInt64(stage));
    to.append(Json::UInt64(task));
    to.append(number(run));
    return to;
}

void decodeFailedRun(const Json::Value& from, std::vector<StageProgress>& stages)
{
    if (!from.isArray() || from.size() != 3)
        throw DecodeError("failed", "must be a stage, a task and a run");
    const std::size_t stage = from[0].asUInt();
    const std::size_t task = from[1].asUInt();
    if (stage >= stages.size() || task >= stages[stage].failedRuns.size())
        throw DecodeError("failed", "refers to a task that the job does not have");
    stages[stage].failedRuns[task].insert(from[2].asInt64());
}

template <class Enum> Enum decodeEnum(const FieldReader& reader, const char* name, Enum last)
{
    const std::int64_t it = reader.integer(name);
    if (it < 0 || it > std::int64_t(last))
        throw DecodeError(name, "out of range");
    return static_cast<Enum>(it);
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
    it.occurrences = reader.count("occurrences");
    it.firstDueAt = core::WallTime(reader.integer("firstDueAt"));
    it.interval = reader.readMs("intervalMs");
    if (taskCount(it) > maxTasks)
        throw DecodeError("steps", "too many tasks");
    return it;
}

std::string encodeJob(const JobRecord& it)
{
    Json::Value to(Json::objectValue);
    to["spec"] = encodeSpec(it.spec);
    to["queue"] = encodeQueue(it.queue);
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
    it.acceptedAt = core::WallTime(reader.integer("acceptedAt"));
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

std::string encodeProgress(const JobRecord& it)
{
    Json::Value to(Json::objectValue);
    put(to, "state", std::int64_t(it.state));
    if (isFinal(it.state)) {
        // The constant part is deleted when the job ends, so the members needed for later calls are stored here.
        put(to, "queue", it.queue.name);
        put(to, "endedAt", it.acceptedAt.value());
        return codec::writeJson(to);
    }
    for (std::size_t n = 0; n < it.stages.size(); ++n) {
        to["stages"].append(encodeStage(it.stages[n]));
        for (std::size_t k = 0; k < it.stages[n].failedRuns.size(); ++k) {
            for (const std::int64_t run : it.stages[n].failedRuns[k])
                to["failed"].append(encodeFailedRun(n, k, run));
        }
    }
    return codec::writeJson(to);
}

namespace {

void applyProgress(const Json::Value& value, JobRecord& record)
{
    const FieldReader reader(value);
    record.state = decodeEnum(reader, "state", JobState::Cancelled);
    if (isFinal(record.state)) {
        record.queue.name = reader.text("queue");
        record.acceptedAt = core::WallTime(reader.integer("endedAt"));
        return;
    }
    const Json::Value& stages = reader.list("stages");
    if (stages.size() != record.stages.size())
        throw DecodeError("stages", "the number of stages does not match the job's steps");
    for (Json::ArrayIndex n = 0; n < stages.size(); ++n) {
        StageProgress stage = decodeStage(stages[n].asString());
        if (stage.done.size() != record.stages[n].done.size())
            throw DecodeError("stages", "the number of tasks of a stage does not match its step");
        record.stages[n] = std::move(stage);
    }
    for (const Json::Value& it : reader.list("failed"))
        decodeFailedRun(it, record.stages);
}

} // namespace

void decodeProgress(std::string_view text, JobRecord& record)
{
    codec::decodeJson(text, [&record](const Json::Value& it) { applyProgress(it, record); });
}

} // namespace sardinerun::workflow

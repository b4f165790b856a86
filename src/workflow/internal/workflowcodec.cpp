#include "workflow/workflowcodec.h"

#include "codec/json.h"
#include "workflow/workflowlimits.h"

#include <algorithm>
#include <utility>

namespace sardinerun::workflow {

namespace {

using codec::DecodeError;

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
    std::uint32_t count(const char* name, std::int64_t max) const
    {
        return static_cast<std::uint32_t>(integerUpTo(name, max));
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
    core::Duration readMs(const char* name) const
    {
        return std::chrono::milliseconds(integerUpTo(name, limits::maxDurationMs));
    }
    core::Duration readUs(const char* name) const { return core::Duration(integerUpTo(name, limits::maxDurationUs)); }
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

//! Maximum bytes of the list of stages with a character for each task. Longer lists are replaced by a bitmap.
constexpr std::size_t maxStagesBytes = 16'000;
constexpr std::size_t bytesPerStage = 3; //!< quotes and a comma
constexpr std::size_t tasksPerDigit = 4; //!< of the bitmap in hexadecimal digits
//! Maximum bytes of failures in the row of the progress, so that the row fits into the store beside the stages.
constexpr std::size_t maxFailuresBytes = 24'000;
constexpr std::size_t bytesPerFailure = 40; //!< at most: three numbers, the last one of up to 19 digits
//! Tasks in one block: their failures always fit into a row.
constexpr std::size_t tasksPerFailureBlock = 64;

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

//! Encodes the tasks of all stages in hexadecimal digits; the lowest bit of a digit is its first task.
std::string encodeBitmap(const std::vector<StageProgress>& stages)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    std::size_t n = 0;
    unsigned digit = 0;
    for (const StageProgress& stage : stages) {
        for (const bool isDone : stage.done) {
            digit |= unsigned(isDone) << (n % tasksPerDigit);
            if (++n % tasksPerDigit == 0)
                text += digits[std::exchange(digit, 0)];
        }
    }
    if (n % tasksPerDigit != 0)
        text += digits[digit];
    return text;
}

unsigned digitOf(char c)
{
    if (c >= '0' && c <= '9')
        return unsigned(c - '0');
    if (c >= 'a' && c <= 'f')
        return unsigned(c - 'a') + 10;
    throw DecodeError("done", "must consist of hexadecimal digits");
}

void decodeBitmap(const std::string& text, std::vector<StageProgress>& stages)
{
    std::size_t n = 0;
    for (StageProgress& stage : stages) {
        for (std::size_t k = 0; k < stage.done.size(); ++k, ++n) {
            if (n / tasksPerDigit >= text.size())
                throw DecodeError("done", "has fewer tasks than the job's steps");
            stage.done[k] = (digitOf(text[n / tasksPerDigit]) >> (n % tasksPerDigit) & 1) != 0;
        }
    }
    if (text.size() != (n + tasksPerDigit - 1) / tasksPerDigit)
        throw DecodeError("done", "has more tasks than the job's steps");
}

std::size_t taskCountOf(const std::vector<StageProgress>& stages)
{
    std::size_t n = 0;
    for (const StageProgress& it : stages)
        n += it.done.size();
    return n;
}

//! Appends the failed runs of a task as lists of stage, task and run. A fourth number counts older failures.
void appendFailedRuns(Json::Value& to, std::size_t stage, std::size_t task, const FailedRuns& failed)
{
    for (const std::int64_t run : failed.recorded()) {
        Json::Value entry(Json::arrayValue);
        entry.append(Json::UInt64(stage));
        entry.append(Json::UInt64(task));
        entry.append(number(run));
        if (failed.older() > 0 && run == *failed.recorded().begin())
            entry.append(Json::UInt64(failed.older()));
        to.append(entry);
    }
}

void decodeFailedRun(const Json::Value& from, std::vector<StageProgress>& stages)
{
    if (!from.isArray() || (from.size() != 3 && from.size() != 4))
        throw DecodeError("failed", "must be a stage, a task and a run");
    const std::size_t stage = from[0].asUInt();
    const std::size_t task = from[1].asUInt();
    if (stage >= stages.size() || task >= stages[stage].failedRuns.size())
        throw DecodeError("failed", "refers to a task that the job does not have");
    FailedRuns& failed = stages[stage].failedRuns[task];
    failed.insert(from[2].asInt64());
    if (from.size() == 4)
        failed.setOlder(from[3].asUInt());
}

void decodeFailedRuns(const FieldReader& reader, std::vector<StageProgress>& stages)
{
    for (const Json::Value& it : reader.list("failed"))
        decodeFailedRun(it, stages);
}

//! Calls `visit` for each task whose failures count: those of a task that is done or has no limit are not needed.
template <class Visit> void forEachFailedTask(const JobRecord& it, Visit visit)
{
    std::size_t first = 0; // index of the stage's first task among all tasks of the job
    for (std::size_t n = 0; n < it.stages.size(); ++n) {
        const StageProgress& stage = it.stages[n];
        const bool isLimited = it.spec.steps.empty() || !it.spec.steps[n % it.spec.steps.size()].isLongRunning;
        for (std::size_t k = 0; k < stage.failedRuns.size() && isLimited; ++k) {
            if (!stage.done[k] && stage.failedRuns[k].size() > 0)
                visit(n, k, FailureBlock(std::int64_t((first + k) / tasksPerFailureBlock)));
        }
        first += stage.done.size();
    }
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
        put(to, "team", it.team.value());
        put(to, "endedAt", it.acceptedAt.value());
        put(to, "leftCpu", it.left.room.cpu.value());
        put(to, "leftSpareCpu", it.left.spareCpu.value());
        put(to, "leftMemory", it.left.room.memory.value());
        put(to, "leftAccelerators", it.left.room.accelerators.value());
        return codec::writeJson(to);
    }
    if (taskCountOf(it.stages) + it.stages.size() * bytesPerStage > maxStagesBytes) {
        to["done"] = encodeBitmap(it.stages);
    } else {
        for (const StageProgress& stage : it.stages)
            to["stages"].append(encodeStage(stage));
    }
    if (!storesFailuresSeparately(it)) {
        forEachFailedTask(it, [&](std::size_t stage, std::size_t task, FailureBlock) {
            appendFailedRuns(to["failed"], stage, task, it.stages[stage].failedRuns[task]);
        });
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
        record.team = core::TeamId(reader.text("team"));
        record.acceptedAt = core::WallTime(reader.integer("endedAt"));
        record.left.room = { core::MilliCpu(reader.integer("leftCpu")), core::MebiBytes(reader.integer("leftMemory")),
            core::Accelerators(reader.integer("leftAccelerators")) };
        record.left.spareCpu = core::MilliCpu(reader.integer("leftSpareCpu"));
        return;
    }
    if (const std::string bitmap = reader.text("done"); !bitmap.empty()) {
        decodeBitmap(bitmap, record.stages);
        decodeFailedRuns(reader, record.stages);
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
    decodeFailedRuns(reader, record.stages);
}

} // namespace

void decodeProgress(std::string_view text, JobRecord& record)
{
    codec::decodeJson(text, [&record](const Json::Value& it) { applyProgress(it, record); });
}

bool storesFailuresSeparately(const JobRecord& it)
{
    const std::size_t runsPerTask = std::min<std::size_t>(it.queue.maxAttempts, FailedRuns::maxRecorded);
    return taskCountOf(it.stages) * runsPerTask * bytesPerFailure > maxFailuresBytes;
}

FailureBlock failureBlockOf(const JobRecord& it, std::size_t stage, std::size_t task)
{
    std::size_t n = task;
    for (std::size_t k = 0; k < stage; ++k)
        n += it.stages[k].done.size();
    return FailureBlock(std::int64_t(n / tasksPerFailureBlock));
}

std::vector<FailureBlock> failureBlocks(const JobRecord& it)
{
    std::vector<FailureBlock> blocks; // in ascending order
    forEachFailedTask(it, [&](std::size_t, std::size_t, FailureBlock block) {
        if (blocks.empty() || blocks.back() != block)
            blocks.push_back(block);
    });
    return blocks;
}

std::string encodeFailures(const JobRecord& it, FailureBlock block)
{
    Json::Value to(Json::objectValue);
    forEachFailedTask(it, [&](std::size_t stage, std::size_t task, FailureBlock blockOfTask) {
        if (blockOfTask == block)
            appendFailedRuns(to["failed"], stage, task, it.stages[stage].failedRuns[task]);
    });
    return codec::writeJson(to);
}

void decodeFailures(std::string_view text, JobRecord& record)
{
    codec::decodeJson(text, [&record](const Json::Value& it) { decodeFailedRuns(FieldReader(it), record.stages); });
}

} // namespace sardinerun::workflow

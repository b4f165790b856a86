//! Encoding of the progress of jobs and of their failed runs.

#include "workflow/workflowcodec.h"

#include "codec/json.h"
#include "workflow/internal/fieldreader.h"

#include <algorithm>
#include <utility>

namespace sardinerun::workflow {

namespace {

using codec::DecodeError;

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

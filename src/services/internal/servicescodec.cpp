#include "services/servicescodec.h"

#include "codec/listtexts.h"

#include <array>

namespace sardinerun::services {

namespace {

constexpr std::size_t maxName = 256;
constexpr std::size_t maxRows = 100'000;
constexpr std::size_t maxAttempts = 100'000;
constexpr std::size_t maxValue = std::size_t(4) << 20;
constexpr std::int64_t maxCount = std::int64_t(1) << 53;

struct AttemptStateName {
    AttemptState state;
    const char* name;
};

constexpr std::array<AttemptStateName, 5> attemptStateNames { {
    { AttemptState::Running, "running" },
    { AttemptState::Succeeded, "succeeded" },
    { AttemptState::Failed, "failed" },
    { AttemptState::Stopped, "stopped" },
    { AttemptState::NotStarted, "notStarted" },
} };

const char* nameOf(AttemptState state)
{
    for (const AttemptStateName& it : attemptStateNames) {
        if (it.state == state)
            return it.name;
    }
    return "failed";
}

AttemptState decodeAttemptState(codec::ObjectReader& reader)
{
    const std::string name = reader.text("state", maxName);
    for (const AttemptStateName& it : attemptStateNames) {
        if (name == it.name)
            return it.state;
    }
    reader.fail("state", "is not a known state");
}

template <class Strong> Strong decodeName(codec::ObjectReader& reader, const char* name)
{
    return Strong(reader.text(name, maxName));
}

std::uint64_t decodeCount(codec::ObjectReader& reader, const char* name)
{
    return static_cast<std::uint64_t>(reader.integer(name, 0, maxCount));
}

Json::Value encodeAttemptIds(const std::vector<core::AttemptId>& ids)
{
    Json::Value list(Json::arrayValue);
    for (const core::AttemptId& it : ids)
        list.append(encodeAttemptId(it));
    return list;
}

std::vector<core::AttemptId> decodeAttemptIds(codec::ObjectReader& reader, const char* name)
{
    std::vector<core::AttemptId> ids;
    for (codec::ObjectReader& it : reader.objects(name, maxAttempts))
        ids.push_back(decodeAttemptId(it));
    return ids;
}

Json::Value encodeStart(const StartOrder& it)
{
    Json::Value value = encodeAttemptId(it.id);
    value["resources"] = encodeResources(it.resources);
    value["runMs"] = Json::Int64(it.runTime / std::chrono::milliseconds(1));
    value["workload"] = it.workload;
    value["label"] = it.label;
    return value;
}

StartOrder decodeStart(codec::ObjectReader& reader)
{
    StartOrder it;
    it.id = decodeAttemptId(reader);
    it.resources = decodeResources(reader.object("resources"));
    it.runTime = std::chrono::milliseconds(reader.integer("runMs", 0, maxCount / 1000));
    it.workload = reader.text("workload", maxName);
    it.label = reader.text("label", maxName);
    return it;
}

Json::Value encodeAttempt(const AttemptReport& it)
{
    Json::Value value = encodeAttemptId(it.id);
    value["state"] = nameOf(it.state);
    value["resources"] = encodeResources(it.resources);
    value["used"] = encodeResources(it.used);
    value["workload"] = it.workload;
    value["label"] = it.label;
    return value;
}

AttemptReport decodeAttempt(codec::ObjectReader& reader)
{
    AttemptReport it;
    it.id = decodeAttemptId(reader);
    it.state = decodeAttemptState(reader);
    it.resources = decodeResources(reader.object("resources"));
    it.used = decodeResources(reader.object("used"));
    it.workload = reader.text("workload", maxName);
    it.label = reader.text("label", maxName);
    return it;
}

Json::Value encodeVm(const VmInfo& it)
{
    Json::Value value(Json::objectValue);
    value["id"] = it.id.value();
    value["role"] = it.role == VmRole::Worker ? "worker" : "runner";
    value["state"] = it.state == VmState::Live ? "live" : "leaving";
    value["rack"] = it.rack.value();
    value["failureDomain"] = it.failureDomain.value();
    value["host"] = it.address.host;
    value["port"] = it.address.port;
    value["capacity"] = encodeResources(it.capacity);
    value["service"] = it.service.value();
    value["slots"] = Json::Int64(it.slots.value());
    return value;
}

VmInfo decodeVm(const Json::Value& value)
{
    codec::ObjectReader reader(value);
    VmInfo it;
    it.id = decodeName<core::VmId>(reader, "id");
    const std::string role = reader.text("role", maxName);
    if (role != "worker" && role != "runner")
        reader.fail("role", "must be worker or runner");
    it.role = role == "worker" ? VmRole::Worker : VmRole::Runner;
    // A VM in a state added by a later platform release must not receive new work, so it is treated as leaving.
    it.state = reader.text("state", maxName) == "live" ? VmState::Live : VmState::Leaving;
    it.rack = decodeName<core::RackId>(reader, "rack");
    it.failureDomain = decodeName<core::FailureDomainId>(reader, "failureDomain");
    it.address.host = reader.text("host", maxName);
    it.address.port = static_cast<std::uint16_t>(reader.integer("port", 1, 65535));
    it.capacity = decodeResources(reader.object("capacity"));
    it.service = core::ServiceId(reader.textOr("service", maxName, ""));
    it.slots = core::Slots(reader.integerOr("slots", 0, 100'000, 0));
    return it;
}

} // namespace

Json::Value encodeResources(const core::Resources& it)
{
    Json::Value value(Json::objectValue);
    value["cpuMilli"] = Json::Int64(it.cpu.value());
    value["memoryMib"] = Json::Int64(it.memory.value());
    value["accelerators"] = Json::Int64(it.accelerators.value());
    return value;
}

core::Resources decodeResources(codec::ObjectReader reader)
{
    core::Resources it;
    it.cpu = core::MilliCpu(reader.integer("cpuMilli", 0, 10'000'000));
    it.memory = core::MebiBytes(reader.integer("memoryMib", 0, 1'000'000'000));
    it.accelerators = core::Accelerators(reader.integerOr("accelerators", 0, 10'000, 0));
    reader.finish();
    return it;
}

Json::Value encodeAttemptId(const core::AttemptId& it)
{
    Json::Value value(Json::objectValue);
    value["job"] = it.job.value();
    value["task"] = it.task.value();
    value["attempt"] = Json::UInt64(it.attempt.value());
    return value;
}

core::AttemptId decodeAttemptId(codec::ObjectReader& reader)
{
    core::AttemptId it;
    it.job = decodeName<core::JobId>(reader, "job");
    it.task = core::TaskIndex(static_cast<std::uint32_t>(reader.integer("task", 0, UINT32_MAX)));
    it.attempt = core::AttemptNumber(decodeCount(reader, "attempt"));
    return it;
}

std::string encodeTransaction(const Transaction& it)
{
    Json::Value value(Json::objectValue);
    value["writeId"] = it.id.value();
    value["checks"] = Json::Value(Json::arrayValue);
    for (const RowCheck& check : it.checks) {
        Json::Value row(Json::objectValue);
        row["key"] = check.key;
        row["expect"] = Json::UInt64(check.expect.value());
        value["checks"].append(row);
    }
    value["writes"] = Json::Value(Json::arrayValue);
    for (const RowWrite& write : it.writes) {
        Json::Value row(Json::objectValue);
        row["key"] = write.key;
        row["expect"] = Json::UInt64(write.expect.value());
        if (write.value)
            row["value"] = *write.value;
        value["writes"].append(row);
    }
    return codec::writeJson(value);
}

Transaction decodeTransaction(std::string_view text)
{
    const Json::Value value = codec::parseJson(text);
    codec::ObjectReader reader(value);
    Transaction it;
    it.id = decodeName<core::WriteId>(reader, "writeId");
    for (codec::ObjectReader& row : reader.objects("checks", maxRows))
        it.checks.push_back({ row.text("key", maxName), core::RowVersion(decodeCount(row, "expect")) });
    for (codec::ObjectReader& row : reader.objects("writes", maxRows)) {
        RowWrite write { row.text("key", maxName), core::RowVersion(decodeCount(row, "expect")), std::nullopt };
        if (row.has("value"))
            write.value = row.text("value", maxValue);
        it.writes.push_back(std::move(write));
    }
    return it;
}

std::string encodeRows(const std::vector<Row>& rows)
{
    Json::Value value(Json::objectValue);
    value["rows"] = Json::Value(Json::arrayValue);
    for (const Row& it : rows) {
        Json::Value row(Json::objectValue);
        row["key"] = it.key;
        row["version"] = Json::UInt64(it.version.value());
        row["value"] = it.value;
        row["writeId"] = it.writeId.value();
        value["rows"].append(row);
    }
    return codec::writeJson(value);
}

std::vector<Row> decodeRows(std::string_view text)
{
    const Json::Value value = codec::parseJson(text);
    codec::ObjectReader reader(value);
    std::vector<Row> rows;
    for (codec::ObjectReader& it : reader.objects("rows", maxRows)) {
        Row row;
        row.key = it.text("key", maxName);
        row.version = core::RowVersion(decodeCount(it, "version"));
        row.value = it.text("value", maxValue);
        row.writeId = decodeName<core::WriteId>(it, "writeId");
        rows.push_back(std::move(row));
    }
    return rows;
}

std::string encodeVms(const std::vector<VmInfo>& vms)
{
    Json::Value value(Json::objectValue);
    value["vms"] = Json::Value(Json::arrayValue);
    for (const VmInfo& it : vms)
        value["vms"].append(encodeVm(it));
    return codec::writeJson(value);
}

DecodedVms decodeVms(std::string_view text)
{
    const codec::ListTexts list = codec::splitList(text);
    const Json::Value envelope = codec::parseJson(list.envelope);
    if (!codec::ObjectReader(envelope).raw("vms").isArray())
        throw codec::DecodeError("vms", "must be a list");
    if (list.elements.size() > maxRows)
        throw codec::DecodeError("vms", "has too many elements");
    DecodedVms decoded;
    for (const std::string_view it : list.elements) {
        try {
            decoded.vms.push_back(codec::decodeJson(it, decodeVm));
        } catch (const codec::DecodeError& error) {
            decoded.unreadable.emplace_back(error.what());
        }
    }
    return decoded;
}

std::string encodeSync(const WorkerSync& it)
{
    Json::Value value(Json::objectValue);
    value["epoch"] = Json::UInt64(it.order.epoch.value());
    value["sequence"] = Json::UInt64(it.order.sequence);
    value["session"] = it.session;
    value["renewFrom"] = Json::UInt64(it.renewFrom);
    value["starts"] = Json::Value(Json::arrayValue);
    for (const StartOrder& start : it.starts)
        value["starts"].append(encodeStart(start));
    value["stops"] = encodeAttemptIds(it.stops);
    value["acknowledged"] = encodeAttemptIds(it.acknowledged);
    return codec::writeJson(value);
}

WorkerSync decodeSync(std::string_view text)
{
    const Json::Value value = codec::parseJson(text);
    codec::ObjectReader reader(value);
    WorkerSync it;
    it.order.epoch = core::Epoch(decodeCount(reader, "epoch"));
    it.order.sequence = decodeCount(reader, "sequence");
    it.session = reader.text("session", maxName);
    it.renewFrom = decodeCount(reader, "renewFrom");
    for (codec::ObjectReader& start : reader.objects("starts", maxAttempts))
        it.starts.push_back(decodeStart(start));
    it.stops = decodeAttemptIds(reader, "stops");
    it.acknowledged = decodeAttemptIds(reader, "acknowledged");
    return it;
}

std::string encodeReport(const WorkerReport& it)
{
    Json::Value value(Json::objectValue);
    value["session"] = it.session;
    value["time"] = Json::UInt64(it.time);
    value["capacity"] = encodeResources(it.capacity);
    value["leaseMs"] = Json::Int64(it.lease / std::chrono::milliseconds(1));
    value["attempts"] = Json::Value(Json::arrayValue);
    for (const AttemptReport& attempt : it.attempts)
        value["attempts"].append(encodeAttempt(attempt));
    return codec::writeJson(value);
}

WorkerReport decodeReport(std::string_view text)
{
    const Json::Value value = codec::parseJson(text);
    codec::ObjectReader reader(value);
    WorkerReport it;
    it.session = reader.text("session", maxName);
    it.time = decodeCount(reader, "time");
    it.capacity = decodeResources(reader.object("capacity"));
    it.lease = std::chrono::milliseconds(reader.integer("leaseMs", 1, 86'400'000));
    for (codec::ObjectReader& attempt : reader.objects("attempts", maxAttempts))
        it.attempts.push_back(decodeAttempt(attempt));
    return it;
}

} // namespace sardinerun::services

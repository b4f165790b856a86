#include "protocol/workcodec.h"

#include "codec/json.h"
#include "workflow/workflowcodec.h"

namespace sardinerun::protocol {

const char* const workflowCallPath = "/inner/work";
const char* const advicePollPath = "/inner/lend";
const char* const configQueryPath = "/inner/config";
const char* const leaderQueryPath = "/inner/leading";

namespace {

using workflow::WorkflowCall;
using workflow::WorkflowResult;

constexpr std::size_t maxName = 4096;
constexpr std::size_t maxWorkers = 1000;
constexpr std::int64_t maxVmCpu = 1'024'000; // thousandths of a core
constexpr std::size_t maxDocumentBytes = std::size_t(4) << 20;
constexpr std::int64_t maxAgeMs = 86'400'000;

std::uint64_t readUnsigned(codec::ObjectReader& reader, const char* name)
{
    return static_cast<std::uint64_t>(reader.integerOr(name, 0, INT64_MAX, 0));
}

Json::Value encodeAddress(const core::HostPort& it)
{
    Json::Value json(Json::objectValue);
    json["host"] = it.host;
    json["port"] = it.port;
    return json;
}

core::HostPort readAddress(codec::ObjectReader reader)
{
    return { reader.text("host", maxName), static_cast<std::uint16_t>(reader.integer("port", 1, 65535)) };
}

//! Decodes a request. It may come from anyone who reaches the address for nodes, unlike an answer.
template <class Decode> auto decodeRequest(std::string_view text, Decode decode)
{
    return codec::decodeJson(text, std::move(decode), codec::maxCallerValues);
}

template <class Enum> Enum readEnum(codec::ObjectReader& reader, const char* name, Enum last)
{
    return static_cast<Enum>(reader.integer(name, 0, std::int64_t(last)));
}

} // namespace

std::string encodeCall(const WorkflowCall& it)
{
    Json::Value json(Json::objectValue);
    json["kind"] = Json::Int64(it.kind);
    json["host"] = it.host;
    json["path"] = it.path;
    json["spec"] = workflow::encodeSpec(it.spec);
    json["patienceMs"] = Json::Int64(core::toMs(it.timeout));
    if (!it.team.value().empty())
        json["team"] = it.team.value();
    if (!it.key.value().empty())
        json["key"] = it.key.value();
    json["seen"] = Json::UInt64(it.knownConfig.value());
    return codec::writeJson(json);
}

WorkflowCall decodeCall(std::string_view text)
{
    return decodeRequest(text, [](const Json::Value& value) {
        codec::ObjectReader reader(value);
        WorkflowCall it;
        it.kind = readEnum(reader, "kind", workflow::CallKind::CountPending);
        it.host = reader.text("host", maxName);
        it.path = reader.text("path", maxName);
        it.spec = workflow::decodeSpec(reader.raw("spec"));
        it.timeout = std::chrono::milliseconds(reader.integerOr("patienceMs", 0, 86'400'000, 0));
        it.team = core::TeamId(reader.textOr("team", maxName, ""));
        it.key = teams::KeyDigest(reader.textOr("key", maxName, ""));
        it.knownConfig = core::ConfigVersion(readUnsigned(reader, "seen"));
        return it;
    });
}

std::string encodeResult(const WorkflowResult& it)
{
    Json::Value json(Json::objectValue);
    json["outcome"] = Json::Int64(it.outcome);
    json["state"] = Json::Int64(it.state);
    json["pending"] = Json::UInt64(it.pending);
    json["retryAfterMs"] = Json::Int64(core::toMs(it.retryAfter));
    json["reason"] = it.reason;
    return codec::writeJson(json);
}

WorkflowResult decodeResult(std::string_view text)
{
    return codec::decodeJson(text, [](const Json::Value& value) {
        codec::ObjectReader reader(value);
        WorkflowResult it;
        it.outcome = readEnum(reader, "outcome", workflow::WorkflowOutcome::OtherTeam);
        it.state = readEnum(reader, "state", workflow::JobState::Cancelled);
        it.pending = readUnsigned(reader, "pending");
        it.retryAfter = std::chrono::milliseconds(reader.integerOr("retryAfterMs", 0, 86'400'000, 0));
        it.reason = reader.textOr("reason", maxName, "");
        return it;
    });
}

std::string encodeAdvicePoll(const AdvicePoll& it)
{
    Json::Value json(Json::objectValue);
    json["node"] = it.node.value();
    json["address"] = encodeAddress(it.address);
    json["term"] = Json::UInt64(it.term.value());
    json["question"] = Json::UInt64(it.requestId);
    if (it.vmCpu.value() > 0)
        json["vmCpu"] = Json::Int64(it.vmCpu.value());
    if (it.result && *it.result) {
        json["allowed"] = Json::Value(Json::arrayValue);
        for (const fleet::Ticket& ticket : it.result->value().allowed) {
            Json::Value row(Json::arrayValue);
            row.append(ticket.worker.value());
            row.append(ticket.text);
            json["allowed"].append(row);
        }
    }
    return codec::writeJson(json);
}

AdvicePoll decodeAdvicePoll(std::string_view text)
{
    return decodeRequest(text, [](const Json::Value& value) {
        codec::ObjectReader reader(value);
        AdvicePoll it;
        it.node = core::NodeId(reader.text("node", maxName));
        it.address = readAddress(reader.object("address"));
        it.term = core::Epoch(readUnsigned(reader, "term"));
        it.requestId = readUnsigned(reader, "question");
        it.vmCpu = core::MilliCpu(reader.integerOr("vmCpu", 0, maxVmCpu, 0));
        if (it.requestId == 0)
            return it;
        if (!reader.has("allowed")) {
            it.result = fleet::AdviceResult(core::Failure { fleet::AdviceFailure::Unreachable });
            return it;
        }
        fleet::Advice advice;
        for (const Json::Value& row : reader.raw("allowed")) {
            if (!row.isArray() || row.size() != 2 || !row[0].isString() || !row[1].isString())
                reader.fail("allowed", "must be pairs of a worker and a ticket");
            advice.allowed.push_back({ core::VmId(row[0].asString()), row[1].asString() });
        }
        it.result = fleet::AdviceResult(std::move(advice));
        return it;
    });
}

std::string encodeAdviceAssignment(const AdviceAssignment& it)
{
    Json::Value json(Json::objectValue);
    json["question"] = Json::UInt64(it.requestId);
    for (const core::HostPort& node : it.nodes)
        json["nodes"].append(encodeAddress(node));
    if (it.largestVmCpu.value() > 0)
        json["largestVmCpu"] = Json::Int64(it.largestVmCpu.value());
    if (it.requestId == 0)
        return codec::writeJson(json);
    json["job"] = it.request.job.value();
    json["occurrence"] = it.request.occurrence;
    json["step"] = it.request.step;
    json["workers"] = Json::Value(Json::arrayValue);
    for (const core::VmId& worker : it.request.workers)
        json["workers"].append(worker.value());
    return codec::writeJson(json);
}

AdviceAssignment decodeAdviceAssignment(std::string_view text)
{
    return codec::decodeJson(text, [](const Json::Value& value) {
        codec::ObjectReader reader(value);
        AdviceAssignment it;
        it.requestId = readUnsigned(reader, "question");
        if (reader.has("nodes")) {
            for (const codec::ObjectReader& node : reader.objects("nodes", maxWorkers))
                it.nodes.push_back(readAddress(node));
        }
        it.largestVmCpu = core::MilliCpu(reader.integerOr("largestVmCpu", 0, maxVmCpu, 0));
        if (it.requestId == 0)
            return it;
        it.request.job = core::JobId(reader.text("job", maxName));
        it.request.occurrence = static_cast<std::uint32_t>(reader.integerOr("occurrence", 0, UINT32_MAX, 0));
        it.request.step = static_cast<std::uint32_t>(reader.integerOr("step", 0, UINT32_MAX, 0));
        for (const std::string& worker : reader.texts("workers", maxWorkers, maxName))
            it.request.workers.emplace_back(worker);
        return it;
    });
}

std::string encodeConfigQuery(const ConfigQuery& it)
{
    Json::Value json(Json::objectValue);
    json["known"] = Json::UInt64(it.knownVersion.value());
    return codec::writeJson(json);
}

ConfigQuery decodeConfigQuery(std::string_view text)
{
    return decodeRequest(text, [](const Json::Value& value) {
        codec::ObjectReader reader(value);
        return ConfigQuery { core::ConfigVersion(readUnsigned(reader, "known")) };
    });
}

std::string encodeConfigAnswer(const ConfigAnswer& it)
{
    Json::Value json(Json::objectValue);
    json["version"] = Json::UInt64(it.version.value());
    if (!it.document.empty())
        json["document"] = it.document;
    // An older confirmation is worth nothing, and would make the whole answer unreadable.
    if (it.confirmedAge && core::toMs(*it.confirmedAge) <= maxAgeMs)
        json["confirmedMs"] = Json::Int64(core::toMs(*it.confirmedAge));
    return codec::writeJson(json);
}

ConfigAnswer decodeConfigAnswer(std::string_view text)
{
    return codec::decodeJson(text, [](const Json::Value& value) {
        codec::ObjectReader reader(value);
        ConfigAnswer it;
        it.version = core::ConfigVersion(readUnsigned(reader, "version"));
        it.document = reader.textOr("document", maxDocumentBytes, "");
        if (reader.has("confirmedMs"))
            it.confirmedAge = std::chrono::milliseconds(reader.integer("confirmedMs", 0, maxAgeMs));
        return it;
    });
}

std::string encodeLeaderHint(const LeaderHint& it)
{
    Json::Value json(Json::objectValue);
    json["leading"] = it.isLeading;
    json["turnedAway"] = it.isRejectedByStore;
    if (it.leader)
        json["leader"] = lead::encodeLeaderRow(*it.leader);
    return codec::writeJson(json);
}

LeaderHint decodeLeaderHint(std::string_view text)
{
    return decodeRequest(text, [](const Json::Value& value) {
        codec::ObjectReader reader(value);
        LeaderHint it;
        it.isLeading = reader.flagOr("leading", false);
        it.isRejectedByStore = reader.flagOr("turnedAway", false);
        it.leader = lead::decodeLeaderRow(reader.textOr("leader", maxName, ""));
        return it;
    });
}

} // namespace sardinerun::protocol

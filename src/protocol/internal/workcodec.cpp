#include "protocol/workcodec.h"

#include "codec/json.h"
#include "workflow/workflowcodec.h"

namespace sardinerun::protocol {

const char* const workflowCallPath = "/inner/work";
const char* const advicePollPath = "/inner/lend";
const char* const leaderQueryPath = "/inner/leading";

namespace {

using workflow::WorkflowCall;
using workflow::WorkflowResult;

constexpr std::size_t maxName = 4096;
constexpr std::size_t maxWorkers = 1000;

std::uint64_t unsignedOf(codec::ObjectReader& reader, const char* name)
{
    return static_cast<std::uint64_t>(reader.integerOr(name, 0, INT64_MAX, 0));
}

Json::Value addressJson(const core::HostPort& it)
{
    Json::Value to(Json::objectValue);
    to["host"] = it.host;
    to["port"] = it.port;
    return to;
}

core::HostPort addressOf(codec::ObjectReader reader)
{
    return { reader.text("host", maxName), static_cast<std::uint16_t>(reader.integer("port", 1, 65535)) };
}

template <class Enum> Enum enumOf(codec::ObjectReader& reader, const char* name, Enum last)
{
    return static_cast<Enum>(reader.integer(name, 0, std::int64_t(last)));
}

} // namespace

std::string encodeCall(const WorkflowCall& it)
{
    Json::Value to(Json::objectValue);
    to["kind"] = Json::Int64(it.kind);
    to["host"] = it.host;
    to["path"] = it.path;
    to["spec"] = workflow::encodeSpec(it.spec);
    to["patienceMs"] = Json::Int64(core::toMs(it.timeout));
    to["seen"] = Json::UInt64(it.knownConfig.value());
    return codec::writeJson(to);
}

WorkflowCall decodeCall(std::string_view text)
{
    const Json::Value value = codec::parseJson(text);
    codec::ObjectReader reader(value);
    WorkflowCall it;
    it.kind = enumOf(reader, "kind", workflow::CallKind::CountPending);
    it.host = reader.text("host", maxName);
    it.path = reader.text("path", maxName);
    it.spec = workflow::decodeSpec(reader.raw("spec"));
    it.timeout = std::chrono::milliseconds(reader.integerOr("patienceMs", 0, 86'400'000, 0));
    it.knownConfig = core::ConfigVersion(unsignedOf(reader, "seen"));
    return it;
}

std::string encodeAnswer(const WorkflowResult& it)
{
    Json::Value to(Json::objectValue);
    to["outcome"] = Json::Int64(it.outcome);
    to["state"] = Json::Int64(it.state);
    to["pending"] = Json::UInt64(it.pending);
    to["retryAfterMs"] = Json::Int64(core::toMs(it.retryAfter));
    to["reason"] = it.reason;
    return codec::writeJson(to);
}

WorkflowResult decodeAnswer(std::string_view text)
{
    const Json::Value value = codec::parseJson(text);
    codec::ObjectReader reader(value);
    WorkflowResult it;
    it.outcome = enumOf(reader, "outcome", workflow::WorkflowOutcome::Uncertain);
    it.state = enumOf(reader, "state", workflow::JobState::Cancelled);
    it.pending = unsignedOf(reader, "pending");
    it.retryAfter = std::chrono::milliseconds(reader.integerOr("retryAfterMs", 0, 86'400'000, 0));
    it.reason = reader.textOr("reason", maxName, "");
    return it;
}

std::string encodeAdvicePoll(const AdvicePoll& it)
{
    Json::Value to(Json::objectValue);
    to["node"] = it.node.value();
    to["address"] = addressJson(it.address);
    to["term"] = Json::UInt64(it.term.value());
    to["question"] = Json::UInt64(it.question);
    if (it.result && *it.result) {
        to["allowed"] = Json::Value(Json::arrayValue);
        for (const fleet::Ticket& ticket : it.result->value().allowed) {
            Json::Value row(Json::arrayValue);
            row.append(ticket.worker.value());
            row.append(ticket.text);
            to["allowed"].append(row);
        }
    }
    return codec::writeJson(to);
}

AdvicePoll decodeAdvicePoll(std::string_view text)
{
    const Json::Value value = codec::parseJson(text);
    codec::ObjectReader reader(value);
    AdvicePoll it;
    it.node = core::NodeId(reader.text("node", maxName));
    it.address = addressOf(reader.object("address"));
    it.term = core::Epoch(unsignedOf(reader, "term"));
    it.question = unsignedOf(reader, "question");
    if (it.question == 0)
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
}

std::string encodeAdviceAssignment(const AdviceAssignment& it)
{
    Json::Value to(Json::objectValue);
    to["question"] = Json::UInt64(it.question);
    for (const core::HostPort& node : it.nodes)
        to["nodes"].append(addressJson(node));
    if (it.question == 0)
        return codec::writeJson(to);
    to["job"] = it.asked.job.value();
    to["occurrence"] = it.asked.occurrence;
    to["step"] = it.asked.step;
    to["workers"] = Json::Value(Json::arrayValue);
    for (const core::VmId& worker : it.asked.workers)
        to["workers"].append(worker.value());
    return codec::writeJson(to);
}

AdviceAssignment decodeAdviceAssignment(std::string_view text)
{
    const Json::Value value = codec::parseJson(text);
    codec::ObjectReader reader(value);
    AdviceAssignment it;
    it.question = unsignedOf(reader, "question");
    if (reader.has("nodes")) {
        for (const codec::ObjectReader& node : reader.objects("nodes", maxWorkers))
            it.nodes.push_back(addressOf(node));
    }
    if (it.question == 0)
        return it;
    it.asked.job = core::JobId(reader.text("job", maxName));
    it.asked.occurrence = static_cast<std::uint32_t>(reader.integerOr("occurrence", 0, UINT32_MAX, 0));
    it.asked.step = static_cast<std::uint32_t>(reader.integerOr("step", 0, UINT32_MAX, 0));
    for (const std::string& worker : reader.texts("workers", maxWorkers, maxName))
        it.asked.workers.emplace_back(worker);
    return it;
}

std::string encodeLeaderHint(const LeaderHint& it)
{
    Json::Value to(Json::objectValue);
    to["leading"] = it.isLeading;
    to["turnedAway"] = it.isRejectedByStore;
    if (it.leader)
        to["leader"] = lead::encodeLeaderRow(*it.leader);
    return codec::writeJson(to);
}

LeaderHint decodeLeaderHint(std::string_view text)
{
    const Json::Value value = codec::parseJson(text);
    codec::ObjectReader reader(value);
    LeaderHint it;
    it.isLeading = reader.flagOr("leading", false);
    it.isRejectedByStore = reader.flagOr("turnedAway", false);
    it.leader = lead::decodeLeaderRow(reader.textOr("leader", maxName, ""));
    return it;
}

} // namespace sardinerun::protocol

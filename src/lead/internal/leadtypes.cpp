#include "lead/leadtypes.h"

#include "codec/json.h"

namespace sardinerun::lead {

const char* const leaderTable = "leader";

std::string encodeLeaderRow(const LeaderRow& it)
{
    Json::Value to(Json::objectValue);
    to["node"] = it.node.value();
    to["host"] = it.address.host;
    to["port"] = it.address.port;
    to["term"] = Json::UInt64(it.term.value());
    to["beat"] = Json::UInt64(it.heartbeat);
    to["released"] = it.isReleased;
    to["overloaded"] = it.wasOverloaded;
    to["settled"] = it.isSettled;
    return codec::writeJson(to);
}

std::optional<LeaderRow> decodeLeaderRow(std::string_view text)
{
    try {
        const Json::Value value = codec::parseJson(text);
        codec::ObjectReader reader(value);
        LeaderRow it;
        it.node = core::NodeId(reader.text("node", 200));
        it.address.host = reader.text("host", 64);
        it.address.port = static_cast<std::uint16_t>(reader.integer("port", 1, 65535));
        it.term = core::Epoch(static_cast<std::uint64_t>(reader.integer("term", 1, INT64_MAX)));
        it.heartbeat = static_cast<std::uint64_t>(reader.integer("beat", 0, INT64_MAX));
        it.isReleased = reader.flagOr("released", false);
        it.wasOverloaded = reader.flagOr("overloaded", false);
        it.isSettled = reader.flagOr("settled", false);
        return it;
    } catch (const codec::DecodeError&) {
        return std::nullopt; // callers treat the row as naming no leader; LeaderLog reports it as the reason
    }
}

store::RowKey leaderKey()
{
    return { leaderTable, "", "leader" };
}

store::RowKey headKey()
{
    return { "leaderhead", "", "head" };
}

} // namespace sardinerun::lead

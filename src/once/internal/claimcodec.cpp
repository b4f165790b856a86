#include "once/claimcodec.h"

#include "core/numbers.h"

namespace sardinerun::once {

namespace {

constexpr std::size_t maxNameBytes = 256;
constexpr std::size_t maxBodyBytes = std::size_t(4) << 20;
constexpr std::int64_t maxWallMs = std::int64_t(1) << 53;

std::uint64_t decodeFingerprint(codec::ObjectReader& reader)
{
    const std::string text = reader.text("fingerprint", 16);
    const auto number = core::parseUnsigned(text, UINT64_MAX, 16);
    if (!number)
        reader.fail("fingerprint", "must be a number in hex");
    return *number;
}

std::string hex(std::uint64_t value)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016lx", value);
    return buf;
}

} // namespace

Json::Value encodeAnswer(const StoredAnswer& it)
{
    Json::Value value(Json::objectValue);
    value["status"] = it.status;
    value["contentType"] = it.contentType;
    value["body"] = it.body;
    value["bodyKept"] = it.isBodyStored;
    return value;
}

StoredAnswer decodeAnswer(codec::ObjectReader reader)
{
    StoredAnswer it;
    it.status = static_cast<int>(reader.integer("status", 0, 999));
    it.contentType = reader.text("contentType", maxNameBytes);
    it.body = reader.text("body", maxBodyBytes);
    it.isBodyStored = reader.flagOr("bodyKept", false);
    return it;
}

Json::Value encodeSnapshot(const ClaimSnapshot& it)
{
    Json::Value value(Json::objectValue);
    value["team"] = it.key.team.value();
    value["key"] = it.key.key.value();
    value["fingerprint"] = hex(it.fingerprint);
    value["claim"] = it.claim.value();
    value["claimedAt"] = Json::Int64(it.claimedAt.value());
    value["state"] = static_cast<int>(it.state);
    value["answer"] = encodeAnswer(it.answer);
    return value;
}

ClaimSnapshot decodeSnapshot(codec::ObjectReader reader)
{
    ClaimSnapshot it;
    it.key.team = core::TeamId(reader.text("team", maxNameBytes));
    it.key.key = core::IdempotencyKey(reader.text("key", maxNameBytes));
    it.fingerprint = decodeFingerprint(reader);
    it.claim = ClaimId(reader.text("claim", maxNameBytes));
    it.claimedAt = core::WallTime(reader.integer("claimedAt", 0, maxWallMs));
    it.state = static_cast<ClaimState>(reader.integer("state", 0, 2));
    it.answer = decodeAnswer(reader.object("answer"));
    return it;
}

} // namespace sardinerun::once

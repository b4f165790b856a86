#include "protocol/messagecodec.h"

#include "protocol/internal/fieldcodec.h"

namespace sardinerun::protocol {

namespace {

//! One message type: its method name and the codec of its parameters.
struct MessageKind {
    const char* method;
    Json::Value (*encode)(const Message& message);
    Message (*decode)(codec::ObjectReader& reader);
};

template <class Alternative> Json::Value encodeAs(const Message& message)
{
    // describe() is shared with decoding, so it needs a mutable object.
    auto copy = std::get<Alternative>(message);
    return FieldEncoder::encode(copy);
}

template <class Alternative> Message decodeAs(codec::ObjectReader& reader)
{
    Alternative it;
    FieldDecoder decoder(reader);
    describe(decoder, it);
    return it;
}

template <class Alternative> constexpr MessageKind kind(const char* method)
{
    return { method, encodeAs<Alternative>, decodeAs<Alternative> };
}

//! In the order of the Message variant.
constexpr std::array<MessageKind, std::variant_size_v<Message>> kinds {
    kind<SubmitJob>("submitJob"),
    kind<SubmitAnswer>("submitAnswer"),
    kind<CancelJobs>("cancelJobs"),
    kind<CancelAnswer>("cancelAnswer"),
    kind<ReadJobs>("readJobs"),
    kind<JobsAnswer>("jobsAnswer"),
    kind<PlaceTasks>("placeTasks"),
    kind<PlaceAnswer>("placeAnswer"),
    kind<CommitReservation>("commitHeld"),
    kind<CommitAnswer>("commitAnswer"),
    kind<ReleaseReservation>("releaseHeld"),
    kind<AttemptEnded>("attemptEnded"),
    kind<EndsPersisted>("endsKept"),
    kind<StopJobs>("stopJobs"),
    kind<RequestInventory>("askInventory"),
    kind<Inventory>("inventory"),
    kind<RoomHint>("roomHint"),
    kind<ClaimOnce>("claimOnce"),
    kind<ClaimAnswer>("claimAnswer"),
    kind<FinishOnce>("finishOnce"),
    kind<FinishAnswer>("finishAnswer"),
    kind<RefreshNow>("lookNow"),
};

Destination decodeDestination(codec::ObjectReader& reader)
{
    if (reader.has("toNode"))
        return core::NodeId(reader.text("toNode", maxFieldText));
    return core::PartitionId(static_cast<std::uint32_t>(reader.integer("toPartition", 0, UINT32_MAX)));
}

} // namespace

const char* methodOf(const Message& message)
{
    return kinds[message.index()].method;
}

const std::vector<const char*>& allMethods()
{
    static const std::vector<const char*> methods = [] {
        std::vector<const char*> it;
        it.reserve(kinds.size());
        for (const MessageKind& kind : kinds)
            it.push_back(kind.method);
        return it;
    }();
    return methods;
}

Json::Value encodeParams(const Envelope& envelope)
{
    Json::Value params = kinds[envelope.message.index()].encode(envelope.message);
    if (const auto* node = std::get_if<core::NodeId>(&envelope.to))
        params["toNode"] = node->value();
    else
        params["toPartition"] = std::get<core::PartitionId>(envelope.to).value();
    return params;
}

Envelope decodeParams(const std::string& method, const Json::Value& params)
{
    for (const MessageKind& it : kinds) {
        if (method != it.method)
            continue;
        codec::ObjectReader reader(params);
        Envelope envelope { decodeDestination(reader), it.decode(reader) };
        reader.finish();
        return envelope;
    }
    throw codec::DecodeError("method", "is not a known message");
}

} // namespace sardinerun::protocol

#include "membership/cellcodec.h"

#include "codec/json.h"
#include "core/numbers.h"

#include <array>
#include <cstdio>

namespace sardinerun::membership {

namespace {

constexpr std::size_t maxNameBytes = 256;
constexpr std::size_t maxDocumentBytes = std::size_t(1) << 20;
constexpr std::int64_t maxNumber = std::int64_t(1) << 53;
constexpr const char* memberPrefix = "cell/member/";
constexpr const char* partitionPrefix = "cell/partition/";
constexpr const char* slotsPrefix = "cell/slots/";

std::string keyWithNumber(const char* prefix, core::PartitionId partition)
{
    std::array<char, 16> buf {};
    std::snprintf(buf.data(), buf.size(), "%05u", partition.value());
    return std::string(prefix) + buf.data();
}

core::PartitionId partitionOfKey(const std::string& key)
{
    const auto number = core::parseUnsigned(std::string_view(key).substr(key.rfind('/') + 1), UINT32_MAX);
    if (!number)
        throw codec::DecodeError(key, "must end with the number of a partition");
    return core::PartitionId(static_cast<std::uint32_t>(*number));
}

Json::Value encodeIncarnation(const NodeIncarnation& it)
{
    Json::Value value(Json::objectValue);
    value["node"] = it.node.value();
    value["incarnation"] = it.incarnation.value();
    return value;
}

NodeIncarnation decodeIncarnation(codec::ObjectReader reader)
{
    return { core::NodeId(reader.text("node", maxNameBytes)),
        core::Incarnation(reader.text("incarnation", maxNameBytes)) };
}

std::uint64_t decodeNumber(codec::ObjectReader& reader, const char* name)
{
    return static_cast<std::uint64_t>(reader.integer(name, 0, maxNumber));
}

constexpr std::size_t maxFormerOwners = 64;

void encodeAddress(Json::Value& value, const core::HostPort& address)
{
    value["host"] = address.host;
    value["port"] = address.port;
}

core::HostPort decodeAddress(codec::ObjectReader& reader)
{
    core::HostPort address;
    address.host = reader.text("host", maxNameBytes);
    address.port = static_cast<std::uint16_t>(reader.integer("port", 0, 65535));
    return address;
}

void decodeShape(CellView& view, const services::Row&, codec::ObjectReader& reader)
{
    view.partitionCount = static_cast<std::uint32_t>(reader.integer("partitions", 1, 99'999));
}

void decodeMember(CellView& view, const services::Row& row, codec::ObjectReader& reader)
{
    Member it;
    it.identity = decodeIncarnation(reader.object("run"));
    it.address = decodeAddress(reader);
    it.failureDomain = core::FailureDomainId(reader.text("failureDomain", maxNameBytes));
    it.confirmed = core::ConfigVersion(decodeNumber(reader, "confirmed"));
    it.isLeaving = reader.flagOr("leaving", false);
    it.row = row.version;
    it.writeId = row.writeId;
    view.members.push_back(std::move(it));
}

void decodePartition(CellView& view, const services::Row& row, codec::ObjectReader& reader)
{
    PartitionRow it;
    it.owner = decodeIncarnation(reader.object("owner"));
    it.epoch = core::Epoch(decodeNumber(reader, "epoch"));
    for (codec::ObjectReader& former : reader.objects("formers", maxFormerOwners))
        it.formerOwners.push_back(decodeIncarnation(former));
    it.row = row.version;
    view.partitions[partitionOfKey(row.key)] = std::move(it);
}

void decodeSlots(CellView& view, const services::Row& row, codec::ObjectReader& reader)
{
    const NodeIncarnation holder = decodeIncarnation(reader.object("holder"));
    view.slots[partitionOfKey(row.key)] = { holder, decodeAddress(reader), row.version };
}

void decodeConfig(CellView& view, const services::Row& row, codec::ObjectReader& reader)
{
    view.config.version = core::ConfigVersion(decodeNumber(reader, "version"));
    view.config.preset = core::PresetName(reader.text("preset", maxNameBytes));
    view.config.document = reader.text("document", maxDocumentBytes);
    view.config.row = row.version;
    view.config.writeId = row.writeId;
}

void decodeActive(CellView& view, const services::Row& row, codec::ObjectReader& reader)
{
    view.active = { core::ConfigVersion(decodeNumber(reader, "version")), row.version };
}

struct RowKind {
    const char* prefix;
    void (*decode)(CellView& view, const services::Row& row, codec::ObjectReader& reader);
};

constexpr std::array<RowKind, 6> rowKinds { {
    { shapeKey, decodeShape },
    { memberPrefix, decodeMember },
    { partitionPrefix, decodePartition },
    { slotsPrefix, decodeSlots },
    { configKey, decodeConfig },
    { activeKey, decodeActive },
} };

} // namespace

const Member* CellView::find(const NodeIncarnation& identity) const
{
    for (const Member& it : members) {
        if (it.identity == identity)
            return &it;
    }
    return nullptr;
}

const Member* CellView::find(const core::NodeId& node) const
{
    for (const Member& it : members) {
        if (it.identity.node == node)
            return &it;
    }
    return nullptr;
}

std::map<core::PartitionId, core::Epoch> CellView::epochs() const
{
    std::map<core::PartitionId, core::Epoch> all;
    for (const auto& [id, it] : partitions)
        all[id] = it.epoch;
    return all;
}

std::string memberKey(const core::NodeId& node)
{
    return memberPrefix + node.value();
}

std::string partitionKey(core::PartitionId partition)
{
    return keyWithNumber(partitionPrefix, partition);
}

std::string slotsKey(core::PartitionId partition)
{
    return keyWithNumber(slotsPrefix, partition);
}

std::string encodeShape(std::uint32_t partitionCount)
{
    Json::Value value(Json::objectValue);
    value["partitions"] = partitionCount;
    return codec::writeJson(value);
}

std::string encodeMember(const Member& it)
{
    Json::Value value(Json::objectValue);
    value["run"] = encodeIncarnation(it.identity);
    encodeAddress(value, it.address);
    value["failureDomain"] = it.failureDomain.value();
    value["confirmed"] = Json::UInt64(it.confirmed.value());
    value["leaving"] = it.isLeaving;
    return codec::writeJson(value);
}

std::string encodePartition(const PartitionRow& it)
{
    Json::Value value(Json::objectValue);
    value["owner"] = encodeIncarnation(it.owner);
    value["epoch"] = Json::UInt64(it.epoch.value());
    value["formers"] = Json::Value(Json::arrayValue);
    for (const NodeIncarnation& former : it.formerOwners)
        value["formers"].append(encodeIncarnation(former));
    return codec::writeJson(value);
}

std::string encodeSlots(const SlotsRow& it)
{
    Json::Value value(Json::objectValue);
    value["holder"] = encodeIncarnation(it.holder);
    encodeAddress(value, it.address);
    return codec::writeJson(value);
}

std::string encodeConfig(const ConfigRow& it)
{
    Json::Value value(Json::objectValue);
    value["version"] = Json::UInt64(it.version.value());
    value["preset"] = it.preset.value();
    value["document"] = it.document;
    return codec::writeJson(value);
}

std::string encodeActive(const ActiveRow& it)
{
    Json::Value value(Json::objectValue);
    value["version"] = Json::UInt64(it.version.value());
    return codec::writeJson(value);
}

CellView decodeCell(const std::vector<services::Row>& rows)
{
    CellView view;
    for (const services::Row& row : rows) {
        const Json::Value value = codec::parseJson(row.value);
        codec::ObjectReader reader(value, row.key);
        for (const RowKind& it : rowKinds) {
            if (row.key.starts_with(it.prefix))
                it.decode(view, row, reader);
        }
    }
    return view;
}

} // namespace sardinerun::membership

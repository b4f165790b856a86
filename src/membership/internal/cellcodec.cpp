#include "membership/cellcodec.h"

#include "codec/json.h"

#include <array>
#include <cstdio>

namespace sardinerun::membership {

namespace {

constexpr std::size_t maxName = 256;
constexpr std::size_t maxDocument = std::size_t(1) << 20;
constexpr std::int64_t maxCount = std::int64_t(1) << 53;
constexpr const char* memberPrefix = "cell/member/";
constexpr const char* partitionPrefix = "cell/partition/";
constexpr const char* slotsPrefix = "cell/slots/";

std::string numbered(const char* prefix, core::PartitionId partition)
{
    std::array<char, 16> buf {};
    std::snprintf(buf.data(), buf.size(), "%05u", partition.value());
    return std::string(prefix) + buf.data();
}

core::PartitionId numberOf(const std::string& key)
{
    return core::PartitionId(static_cast<std::uint32_t>(std::stoul(key.substr(key.rfind('/') + 1))));
}

Json::Value encodeRun(const NodeIncarnation& it)
{
    Json::Value value(Json::objectValue);
    value["node"] = it.node.value();
    value["incarnation"] = it.incarnation.value();
    return value;
}

NodeIncarnation decodeRun(codec::ObjectReader reader)
{
    return { core::NodeId(reader.text("node", maxName)), core::Incarnation(reader.text("incarnation", maxName)) };
}

std::uint64_t decodeNumber(codec::ObjectReader& reader, const char* name)
{
    return static_cast<std::uint64_t>(reader.integer(name, 0, maxCount));
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
    address.host = reader.text("host", maxName);
    address.port = static_cast<std::uint16_t>(reader.integer("port", 0, 65535));
    return address;
}

void takeShape(CellView& view, const services::Row&, codec::ObjectReader& reader)
{
    view.partitionCount = static_cast<std::uint32_t>(reader.integer("partitions", 1, 99'999));
}

void takeMember(CellView& view, const services::Row& row, codec::ObjectReader& reader)
{
    Member it;
    it.run = decodeRun(reader.object("run"));
    it.address = decodeAddress(reader);
    it.failureDomain = core::FailureDomainId(reader.text("failureDomain", maxName));
    it.confirmed = core::ConfigVersion(decodeNumber(reader, "confirmed"));
    it.isLeaving = reader.flagOr("leaving", false);
    it.row = row.version;
    it.writeId = row.writeId;
    view.members.push_back(std::move(it));
}

void takePartition(CellView& view, const services::Row& row, codec::ObjectReader& reader)
{
    PartitionRow it;
    it.owner = decodeRun(reader.object("owner"));
    it.epoch = core::Epoch(decodeNumber(reader, "epoch"));
    for (codec::ObjectReader& former : reader.objects("formers", maxFormerOwners))
        it.formerOwners.push_back(decodeRun(former));
    it.row = row.version;
    view.partitions[numberOf(row.key)] = std::move(it);
}

void takeSlots(CellView& view, const services::Row& row, codec::ObjectReader& reader)
{
    const NodeIncarnation holder = decodeRun(reader.object("holder"));
    view.slots[numberOf(row.key)] = { holder, decodeAddress(reader), row.version };
}

void takeConfig(CellView& view, const services::Row& row, codec::ObjectReader& reader)
{
    view.config.version = core::ConfigVersion(decodeNumber(reader, "version"));
    view.config.preset = core::PresetName(reader.text("preset", maxName));
    view.config.document = reader.text("document", maxDocument);
    view.config.row = row.version;
    view.config.writeId = row.writeId;
}

void takeActive(CellView& view, const services::Row& row, codec::ObjectReader& reader)
{
    view.active = { core::ConfigVersion(decodeNumber(reader, "version")), row.version };
}

struct RowKind {
    const char* prefix;
    void (*take)(CellView& view, const services::Row& row, codec::ObjectReader& reader);
};

constexpr std::array<RowKind, 6> rowKinds { {
    { shapeKey, takeShape },
    { memberPrefix, takeMember },
    { partitionPrefix, takePartition },
    { slotsPrefix, takeSlots },
    { configKey, takeConfig },
    { activeKey, takeActive },
} };

} // namespace

const Member* CellView::find(const NodeIncarnation& run) const
{
    for (const Member& it : members) {
        if (it.run == run)
            return &it;
    }
    return nullptr;
}

const Member* CellView::find(const core::NodeId& node) const
{
    for (const Member& it : members) {
        if (it.run.node == node)
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
    return numbered(partitionPrefix, partition);
}

std::string slotsKey(core::PartitionId partition)
{
    return numbered(slotsPrefix, partition);
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
    value["run"] = encodeRun(it.run);
    encodeAddress(value, it.address);
    value["failureDomain"] = it.failureDomain.value();
    value["confirmed"] = Json::UInt64(it.confirmed.value());
    value["leaving"] = it.isLeaving;
    return codec::writeJson(value);
}

std::string encodePartition(const PartitionRow& it)
{
    Json::Value value(Json::objectValue);
    value["owner"] = encodeRun(it.owner);
    value["epoch"] = Json::UInt64(it.epoch.value());
    value["formers"] = Json::Value(Json::arrayValue);
    for (const NodeIncarnation& former : it.formerOwners)
        value["formers"].append(encodeRun(former));
    return codec::writeJson(value);
}

std::string encodeSlots(const SlotsRow& it)
{
    Json::Value value(Json::objectValue);
    value["holder"] = encodeRun(it.holder);
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
                it.take(view, row, reader);
        }
    }
    return view;
}

} // namespace sardinerun::membership

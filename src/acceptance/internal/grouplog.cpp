#include "acceptance/grouplog.h"

#include "codec/json.h"
#include "core/hashing.h"
#include "core/numbers.h"

#include <array>
#include <cstdio>

namespace sardinerun::acceptance {

namespace {

constexpr std::size_t maxRecordBytes = std::size_t(4) << 20;
constexpr std::size_t maxRecordsPerRow = 100'000;
//! Old rows that one group rewrites; the limit keeps the transaction small.
constexpr std::size_t maxCompactedRowsPerGroup = 2;

std::string encodeRecords(const std::vector<std::pair<ItemId, const std::string*>>& records)
{
    Json::Value value(Json::objectValue);
    value["records"] = Json::Value(Json::arrayValue);
    for (const auto& [item, record] : records) {
        Json::Value entry(Json::objectValue);
        entry["item"] = item.value();
        entry["record"] = *record;
        value["records"].append(entry);
    }
    return codec::writeJson(value);
}

std::vector<std::pair<ItemId, std::string>> decodeRecords(const std::string& text)
{
    const Json::Value value = codec::parseJson(text);
    codec::ObjectReader reader(value);
    std::vector<std::pair<ItemId, std::string>> records;
    for (codec::ObjectReader& it : reader.objects("records", maxRecordsPerRow))
        records.emplace_back(ItemId(it.text("item", 1024)), it.text("record", maxRecordBytes));
    return records;
}

core::LogSequence sequenceOf(const std::string& key)
{
    const auto number = core::parseUnsigned(std::string_view(key).substr(key.rfind('/') + 1), UINT64_MAX, 16);
    if (!number)
        throw codec::DecodeError(key, "must end with the number of a group in hex");
    return core::LogSequence(*number);
}

} // namespace

GroupLog::GroupLog(core::PartitionId partition, services::RowCheck fence, LogOptions options)
    : m_partition(partition)
    , m_fence(std::move(fence))
    , m_options(options)
{
}

std::string GroupLog::prefixOf(core::PartitionId partition)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "log/%05u/", partition.value());
    return buf.data();
}

std::string GroupLog::keyOf(core::LogSequence sequence) const
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%016lx", sequence.value());
    return prefixOf(m_partition) + buf.data();
}

std::map<ItemId, std::string> GroupLog::recover(const std::vector<services::Row>& rows)
{
    for (const services::Row& row : rows) {
        const core::LogSequence sequence = sequenceOf(row.key);
        StoredRow& stored = m_rows[sequence];
        stored.version = row.version;
        for (auto& [item, record] : decodeRecords(row.value)) {
            stored.items.push_back(item);
            m_latest[item] = { sequence, std::move(record), Revision(0) };
        }
        m_lastSequence = std::max(m_lastSequence, sequence);
    }
    std::map<ItemId, std::string> newest;
    for (const auto& [item, latest] : m_latest)
        newest.emplace(item, latest.record);
    return newest;
}

Revision GroupLog::append(const ItemId& item, std::string record, bool mayBeDropped)
{
    PendingRecord& pending = m_pending[item];
    // A later record of the same item does not become refusable if the one that it replaces must be persisted.
    const bool isNew = pending.record.empty();
    pending.mayBeDropped = mayBeDropped && (isNew || pending.mayBeDropped);
    pending.record = std::move(record);
    m_lastRevision = Revision(m_lastRevision.value() + 1);
    pending.revision = m_lastRevision;
    return m_lastRevision;
}

void GroupLog::remove(const ItemId& item)
{
    m_pending.erase(item);
    m_latest.erase(item);
    if (m_group && m_group->items.contains(item))
        m_group->removed.insert(item);
}

GroupLog::Action GroupLog::next(core::TimePoint now)
{
    if (m_isOwnershipLost || m_isInFlight || now < m_notBefore)
        return {};
    if (m_mustRead) {
        m_isInFlight = true;
        return { std::nullopt, m_group->key };
    }
    // While the log is unhealthy its owner appends no new records, so a group without records tests whether the store
    // accepts writes again.
    if (!m_group && m_pending.empty() && m_isHealthy)
        return {};
    if (!m_group)
        buildGroup();
    m_isInFlight = true;
    m_notBefore = now + m_options.groupInterval;
    return { m_group->transaction, std::nullopt };
}

void GroupLog::buildGroup()
{
    Group group;
    group.sequence = core::LogSequence(m_lastSequence.value() + 1);
    group.key = keyOf(group.sequence);
    addCompaction(group);
    while (!m_pending.empty() && group.items.size() < m_options.maxGroupRecords) {
        auto node = m_pending.extract(m_pending.begin());
        group.items.insert_or_assign(node.key(), std::move(node.mapped()));
    }
    std::vector<std::pair<ItemId, const std::string*>> records;
    for (const auto& [item, pending] : group.items)
        records.emplace_back(item, &pending.record);
    group.transaction.id = core::WriteId(core::randomId());
    group.transaction.checks.push_back(m_fence);
    group.transaction.writes.insert(
        group.transaction.writes.begin(), { group.key, core::RowVersion(0), encodeRecords(records) });
    m_group = std::move(group);
}

void GroupLog::addCompaction(Group& group)
{
    // The oldest rows are removed first, and their records that are still the latest move to the new row. A record
    // is thus dropped only after all older records of the same item, so that recovery never finds an outdated one.
    auto row = m_rows.begin();
    for (std::size_t n = 0; n < maxCompactedRowsPerGroup && m_rows.size() > m_options.compactAboveRows + n;
         ++n, ++row) {
        for (const ItemId& item : row->second.items) {
            const auto it = m_latest.find(item);
            if (it != m_latest.end() && it->second.row == row->first)
                group.items.emplace(item, PendingRecord { it->second.record, false, it->second.revision });
        }
        group.compacted.push_back(row->first);
        group.transaction.writes.push_back({ keyOf(row->first), row->second.version, std::nullopt });
    }
}

LogEvents GroupLog::onCommitted(const core::RetVal<core::RowVersion, services::StoreError>& result, core::TimePoint now)
{
    LogEvents events;
    m_isInFlight = false;
    if (result) {
        finishGroup(result.value(), events);
        return events;
    }
    using Code = services::StoreError::Code;
    const Code code = result.error().code;
    if (code == Code::Conflict) {
        // Either another owner has the partition, or an earlier attempt of this group took effect: the write id of the
        // group's row decides.
        m_mustRead = true;
        return events;
    }
    m_isHealthy = false;
    m_notBefore = now + m_options.retryInterval;
    if (code != Code::Unavailable)
        m_group->mayHaveTakenEffect = true;
    if (!m_group->mayHaveTakenEffect)
        refuseGroup(events);
    return events;
}

LogEvents GroupLog::onRead(
    const core::RetVal<std::vector<services::Row>, services::StoreError>& result, core::TimePoint now)
{
    LogEvents events;
    m_isInFlight = false;
    if (!result) {
        m_isHealthy = false;
        m_notBefore = now + m_options.retryInterval;
        return events;
    }
    m_mustRead = false;
    for (const services::Row& row : result.value()) {
        if (row.writeId == m_group->transaction.id) {
            finishGroup(row.version, events);
            return events;
        }
    }
    m_isOwnershipLost = true;
    events.isOwnershipLost = true;
    return events;
}

void GroupLog::finishGroup(core::RowVersion version, LogEvents& events)
{
    m_isHealthy = true;
    ++m_groupsCommitted;
    m_lastSequence = m_group->sequence;
    StoredRow& row = m_rows[m_group->sequence];
    row.version = version;
    for (auto& [item, pending] : m_group->items) {
        row.items.push_back(item);
        if (!m_group->removed.contains(item))
            m_latest[item] = { m_group->sequence, std::move(pending.record), pending.revision };
        events.persisted.push_back({ item, pending.revision });
    }
    for (const core::LogSequence it : m_group->compacted)
        m_rows.erase(it);
    m_group.reset();
}

void GroupLog::refuseGroup(LogEvents& events)
{
    for (auto& [item, pending] : m_group->items) {
        if (pending.mayBeDropped) {
            events.notPersisted.push_back(item);
            continue;
        }
        const auto it = m_latest.find(item);
        const bool isCompactionCopy = it != m_latest.end() && it->second.record == pending.record;
        if (!isCompactionCopy)
            m_pending.try_emplace(item, std::move(pending)); // does not replace a newer record of the item
    }
    m_group.reset();
}

} // namespace sardinerun::acceptance

#include "membership/cellcodec.h"
#include "membership/membership.h"

#include "core/hashing.h"

#include <algorithm>

//! The part of a membership that decides what to write.
namespace sardinerun::membership {

services::Transaction Membership::begin() const
{
    services::Transaction it;
    it.id = core::WriteId(core::randomId());
    return it;
}

services::Transaction Membership::beginAsMember() const
{
    services::Transaction it = begin();
    it.checks.push_back({ memberKey(m_self.node), m_ownRow });
    return it;
}

std::string Membership::writeOwnRow()
{
    m_written.run = m_self;
    m_written.address = m_options.address;
    m_written.failureDomain = m_options.failureDomain;
    m_written.confirmed = m_confirmed;
    m_written.isLeaving = m_isLeaving;
    return encodeMember(m_written);
}

std::optional<services::Transaction> Membership::join(core::TimePoint now)
{
    if (m_isMember || m_isLeaving)
        return std::nullopt;
    services::Transaction it = begin();
    if (m_view.partitionCount == 0)
        it.writes.push_back({ shapeKey, core::RowVersion(0), encodeShape(m_options.partitionCount) });
    // It joins as one that confirms the newest configuration, so it never acts under an older one. The check
    // makes sure that this is the newest at the moment of joining.
    m_confirmed = m_view.config.version;
    it.checks.push_back({ configKey, m_view.config.row });
    const Member* former = m_view.find(m_self.node);
    it.writes.push_back({ memberKey(m_self.node), former ? former->row : core::RowVersion(0), writeOwnRow() });
    m_renewAt = now + m_options.times.renew;
    return it;
}

std::optional<services::Transaction> Membership::renew(core::TimePoint now)
{
    if (!m_isMember)
        return std::nullopt;
    const core::ConfigVersion newest = m_view.config.version;
    const bool mustConfirm = newest > m_confirmed && m_stopped >= newest;
    const Member* own = m_view.find(m_self);
    const bool mustSayLeaving = own && own->isLeaving != m_isLeaving;
    if (now < m_renewAt && !mustConfirm && !mustSayLeaving)
        return std::nullopt;
    if (mustConfirm)
        m_confirmed = newest;
    if (mustConfirm || mustSayLeaving)
        m_lookAt = now;
    m_renewAt = now + m_options.times.renew;
    services::Transaction it = begin();
    it.writes.push_back({ memberKey(m_self.node), m_ownRow, writeOwnRow() });
    return it;
}

std::optional<services::Transaction> Membership::removeLapsed(core::TimePoint now)
{
    if (!m_isMember)
        return std::nullopt;
    for (const Member& it : m_view.members) {
        const auto sighting = m_sightings.find(it.run.node);
        if (it.run == m_self || sighting == m_sightings.end())
            continue;
        if (now - sighting->second.firstSeen <= m_options.times.lease + m_options.times.margin)
            continue;
        services::Transaction transaction = beginAsMember();
        transaction.writes.push_back({ memberKey(it.run.node), it.row, std::nullopt });
        return transaction;
    }
    return std::nullopt;
}

std::optional<services::Transaction> Membership::activate(core::TimePoint)
{
    const core::ConfigVersion newest = m_view.config.version;
    if (!m_isMember || newest <= m_view.active.version || m_confirmed < newest)
        return std::nullopt;
    // No check on the members' rows is needed: a confirmation is never taken back, a lapsed member was removed
    // before, and whoever joins later confirms this configuration or a newer one.
    for (const Member& it : m_view.members) {
        if (it.confirmed < newest)
            return std::nullopt;
    }
    services::Transaction it = begin();
    it.checks.push_back({ configKey, m_view.config.row });
    it.writes.push_back({ activeKey, m_view.active.row, encodeActive({ newest, {} }) });
    return it;
}

std::optional<services::Transaction> Membership::takePartitions(core::TimePoint)
{
    if (!m_isMember || m_isLeaving)
        return std::nullopt;
    services::Transaction it = beginAsMember();
    for (const auto& [id, owner] : m_assignment) {
        if (owner != m_self.node)
            continue;
        const auto known = m_view.partitions.find(id);
        const PartitionRow row = known == m_view.partitions.end() ? PartitionRow {} : known->second;
        if (!row.owner.isNone() && isLive(row.owner))
            continue;
        PartitionRow mine { m_self, core::Epoch(row.epoch.value() + 1), remainingFormerOwners(row), {} };
        if (!row.owner.isNone() && row.owner != m_self && !m_goneSince.contains(row.owner))
            mine.formerOwners.push_back(row.owner);
        it.writes.push_back({ partitionKey(id), row.row, encodePartition(mine) });
        m_quiescent.erase(id);
    }
    if (it.writes.empty())
        return std::nullopt;
    return it;
}

std::optional<services::Transaction> Membership::handOver(core::TimePoint)
{
    if (!m_isMember)
        return std::nullopt;
    services::Transaction it = beginAsMember();
    for (const core::PartitionId id : handingOver()) {
        const auto atRest = m_quiescent.find(id);
        if (atRest == m_quiescent.end())
            continue;
        const PartitionRow& row = m_view.partitions.at(id);
        const std::vector<NodeIncarnation> formerOwners
            = atRest->second ? std::vector<NodeIncarnation> {} : remainingFormerOwners(row);
        it.writes.push_back({ partitionKey(id), row.row, encodePartition({ {}, row.epoch, formerOwners, {} }) });
        // From here on the next owner may act at any moment. The answer may be lost and the effect come late, so this
        // run never acts under that epoch again, whatever the rows show meanwhile.
        m_givenUp[id] = row.epoch;
    }
    if (it.writes.empty())
        return std::nullopt;
    return it;
}

bool Membership::maySlotsMove(const SlotsRow& slots, core::TimePoint now) const
{
    if (slots.holder.isNone())
        return true;
    if (isLive(slots.holder))
        return false;
    const MembershipTimes& times = m_options.times;
    const auto gone = m_goneSince.find(slots.holder);
    if (gone != m_goneSince.end() && now - gone->second > times.longestRequest)
        return true;
    const auto missing = m_missingSince.find(slots.holder);
    return missing != m_missingSince.end()
        && now - missing->second > times.slotsLease + times.longestRequest + times.margin;
}

std::optional<services::Transaction> Membership::moveSlots(core::TimePoint now)
{
    if (!m_isMember)
        return std::nullopt;
    services::Transaction it = beginAsMember();
    const std::set<core::PartitionId> leaving = releasing();
    for (const core::PartitionId id : leaving) {
        if (!m_idleSlots.contains(id))
            continue;
        it.writes.push_back({ slotsKey(id), m_view.slots.at(id).row, encodeSlots({}) });
        m_releasedSlots.insert(id);
    }
    for (const auto& [id, owner] : m_assignment) {
        const auto known = m_view.slots.find(id);
        const SlotsRow row = known == m_view.slots.end() ? SlotsRow {} : known->second;
        if (owner != m_self.node || row.holder == m_self || !maySlotsMove(row, now))
            continue;
        m_idleSlots.erase(id);
        it.writes.push_back({ slotsKey(id), row.row, encodeSlots({ m_self, m_options.address, {} }) });
    }
    if (it.writes.empty())
        return std::nullopt;
    return it;
}

std::optional<services::Transaction> Membership::depart(core::TimePoint)
{
    if (!m_isLeaving || !m_isMember) {
        m_hasLeft = m_isLeaving && !m_isMember;
        return std::nullopt;
    }
    const auto isOwned = [this](const auto& it) { return it.second.owner == m_self; };
    const auto isHeld = [this](const auto& it) { return it.second.holder == m_self; };
    if (std::any_of(m_view.partitions.begin(), m_view.partitions.end(), isOwned)
        || std::any_of(m_view.slots.begin(), m_view.slots.end(), isHeld))
        return std::nullopt;
    m_isDeparting = true; // once the row is gone a newer configuration may be in force
    services::Transaction it = begin();
    it.writes.push_back({ memberKey(m_self.node), m_ownRow, std::nullopt });
    return it;
}

} // namespace sardinerun::membership

#include "membership/cellcodec.h"
#include "membership/membership.h"

#include "core/hashing.h"

#include <algorithm>

//! The decisions of `Membership` about writes to the store.
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

std::string Membership::encodeOwnRow()
{
    m_sentMember.identity = m_self;
    m_sentMember.address = m_options.address;
    m_sentMember.failureDomain = m_options.failureDomain;
    m_sentMember.confirmed = m_confirmedConfig;
    m_sentMember.isLeaving = m_isLeaving;
    return encodeMember(m_sentMember);
}

std::optional<services::Transaction> Membership::join(core::TimePoint now)
{
    if (m_isMember || m_isLeaving)
        return std::nullopt;
    services::Transaction it = begin();
    if (m_view.partitionCount == 0)
        it.writes.push_back({ shapeKey, core::RowVersion(0), encodeShape(m_options.partitionCount) });
    // The new member confirms the newest configuration right away, so that it never acts under an older one. The check
    // ensures that this configuration is still the newest when the node joins.
    m_confirmedConfig = m_view.config.version;
    it.checks.push_back({ configKey, m_view.config.row });
    const Member* former = m_view.find(m_self.node);
    it.writes.push_back({ memberKey(m_self.node), former ? former->row : core::RowVersion(0), encodeOwnRow() });
    m_renewAt = now + m_options.times.renewInterval;
    return it;
}

std::optional<services::Transaction> Membership::renew(core::TimePoint now)
{
    if (!m_isMember)
        return std::nullopt;
    const core::ConfigVersion newest = m_view.config.version;
    const bool mustConfirm = newest > m_confirmedConfig && m_drainedConfig >= newest;
    const Member* own = m_view.find(m_self);
    const bool mustAnnounceLeaving = own && own->isLeaving != m_isLeaving;
    if (now < m_renewAt && !mustConfirm && !mustAnnounceLeaving)
        return std::nullopt;
    if (mustConfirm)
        m_confirmedConfig = newest;
    if (mustConfirm || mustAnnounceLeaving)
        m_refreshAt = now;
    m_renewAt = now + m_options.times.renewInterval;
    services::Transaction it = begin();
    it.writes.push_back({ memberKey(m_self.node), m_ownRow, encodeOwnRow() });
    return it;
}

std::optional<services::Transaction> Membership::removeExpired(core::TimePoint now)
{
    if (!m_isMember)
        return std::nullopt;
    for (const Member& it : m_view.members) {
        const auto observation = m_observations.find(it.identity.node);
        if (it.identity == m_self || observation == m_observations.end())
            continue;
        if (now - observation->second.firstSeen <= m_options.times.lease + m_options.times.margin)
            continue;
        services::Transaction transaction = beginAsMember();
        transaction.writes.push_back({ memberKey(it.identity.node), it.row, std::nullopt });
        return transaction;
    }
    return std::nullopt;
}

std::optional<services::Transaction> Membership::activate(core::TimePoint)
{
    const core::ConfigVersion newest = m_view.config.version;
    if (!m_isMember || newest <= m_view.active.version || m_confirmedConfig < newest)
        return std::nullopt;
    // No check on the members' rows is needed: a confirmation is never withdrawn, an expired member was removed
    // before, and a node that joins later confirms this configuration or a newer one.
    for (const Member& it : m_view.members) {
        if (it.confirmed < newest)
            return std::nullopt;
    }
    services::Transaction it = begin();
    it.checks.push_back({ configKey, m_view.config.row });
    it.writes.push_back({ activeKey, m_view.active.row, encodeActive({ newest, {} }) });
    return it;
}

std::optional<services::Transaction> Membership::acquirePartitions(core::TimePoint)
{
    if (!m_isMember || m_isLeaving)
        return std::nullopt;
    services::Transaction it = beginAsMember();
    for (const auto& [id, owner] : m_assignment) {
        if (owner != m_self.node)
            continue;
        const auto found = m_view.partitions.find(id);
        const PartitionRow row = found == m_view.partitions.end() ? PartitionRow {} : found->second;
        if (!row.owner.isNone() && isLive(row.owner))
            continue;
        PartitionRow acquired { m_self, core::Epoch(row.epoch.value() + 1), remainingFormerOwners(row), {} };
        if (!row.owner.isNone() && row.owner != m_self && !m_goneSince.contains(row.owner))
            acquired.formerOwners.push_back(row.owner);
        it.writes.push_back({ partitionKey(id), row.row, encodePartition(acquired) });
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
        const auto quiescent = m_quiescent.find(id);
        if (quiescent == m_quiescent.end())
            continue;
        const PartitionRow& row = m_view.partitions.at(id);
        const std::vector<NodeIncarnation> formerOwners
            = quiescent->second ? std::vector<NodeIncarnation> {} : remainingFormerOwners(row);
        it.writes.push_back({ partitionKey(id), row.row, encodePartition({ {}, row.epoch, formerOwners, {} }) });
        // From now on the next owner may act at any time. The answer may be lost and the write may take effect late, so
        // this incarnation never acts under that epoch again, whatever the rows show in the meantime.
        m_handedOver[id] = row.epoch;
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
    if (gone != m_goneSince.end() && now - gone->second > times.maxRequestTime)
        return true;
    const auto missing = m_missingSince.find(slots.holder);
    return missing != m_missingSince.end()
        && now - missing->second > times.slotsLease + times.maxRequestTime + times.margin;
}

std::optional<services::Transaction> Membership::moveSlots(core::TimePoint now)
{
    if (!m_isMember)
        return std::nullopt;
    services::Transaction it = beginAsMember();
    const std::set<core::PartitionId> toRelease = releasing();
    for (const core::PartitionId id : toRelease) {
        if (!m_idleSlots.contains(id))
            continue;
        it.writes.push_back({ slotsKey(id), m_view.slots.at(id).row, encodeSlots({}) });
        m_releasedSlots.insert(id);
    }
    for (const auto& [id, owner] : m_assignment) {
        const auto found = m_view.slots.find(id);
        const SlotsRow row = found == m_view.slots.end() ? SlotsRow {} : found->second;
        if (owner != m_self.node || row.holder == m_self || !maySlotsMove(row, now))
            continue;
        m_idleSlots.erase(id);
        it.writes.push_back({ slotsKey(id), row.row, encodeSlots({ m_self, m_options.address, {} }) });
    }
    if (it.writes.empty())
        return std::nullopt;
    return it;
}

std::optional<services::Transaction> Membership::removeOwnRow(core::TimePoint)
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
    m_isRemovingOwnRow = true; // a newer configuration may come into force as soon as the row is removed
    services::Transaction it = begin();
    it.writes.push_back({ memberKey(m_self.node), m_ownRow, std::nullopt });
    return it;
}

} // namespace sardinerun::membership

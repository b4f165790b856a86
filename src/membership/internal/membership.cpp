#include "membership/membership.h"

#include "codec/json.h"
#include "core/hashing.h"
#include "membership/assignment.h"
#include "membership/cellcodec.h"

#include <algorithm>
#include <array>

namespace sardinerun::membership {

MembershipPtr Membership::create(Options options)
{
    return MembershipPtr(new Membership(std::move(options)));
}

Membership::Membership(Options options)
    : m_options(std::move(options))
    , m_self { m_options.node, core::Incarnation(core::randomId()) }
{
}

// --- Requests

std::optional<StoreRequest> Membership::next(core::TimePoint now)
{
    if (m_isInFlight || m_hasLeft)
        return std::nullopt;
    // In order of urgency: the node's own lease, then writes that others wait for, then partitions and slots.
    static constexpr std::array<Decision, 8> decisions { &Membership::join, &Membership::renew, &Membership::activate,
        &Membership::removeExpired, &Membership::acquirePartitions, &Membership::handOver, &Membership::moveSlots,
        &Membership::removeOwnRow };
    for (std::size_t n = 0; m_hasView && n < decisions.size(); ++n) {
        auto transaction = (this->*decisions[n])(now);
        if (!transaction)
            continue;
        m_isInFlight = true;
        m_sentAt = now;
        const bool isRenewal = decisions[n] == &Membership::join || decisions[n] == &Membership::renew;
        m_renewalInFlight = isRenewal ? transaction->id : core::WriteId();
        if (isRenewal)
            m_unresolvedRenewals[transaction->id] = now;
        return StoreRequest { false, std::move(transaction) };
    }
    if (m_hasView && now < m_refreshAt)
        return std::nullopt;
    if (!m_hasView && now < m_refreshAt && m_isStoreDown)
        return std::nullopt;
    m_isInFlight = true;
    m_sentAt = now;
    m_refreshAt = now + m_options.times.refreshInterval;
    return StoreRequest { true, std::nullopt };
}

void Membership::onRefreshed(const services::RowsResult& result, core::TimePoint now)
{
    m_isInFlight = false;
    m_isStoreDown = !result;
    if (!result)
        return;
    try {
        applyView(decodeCell(result.value()), now);
    } catch (const codec::DecodeError&) {
        m_isStoreDown = true; // no decision may be based on rows that cannot be decoded
    }
}

void Membership::onCommitted(const services::CommitResult& result, core::TimePoint now)
{
    m_isInFlight = false;
    m_isStoreDown = !result && result.error().code != services::StoreError::Code::Conflict;
    const bool isRenewal = !m_renewalInFlight.value().empty();
    if (result && isRenewal)
        onRenewed(result.value(), m_sentAt);
    const auto isOwn = [this](const Member& it) { return it.identity == m_self; };
    const auto own = std::find_if(m_view.members.begin(), m_view.members.end(), isOwn);
    if (result && isRenewal && own != m_view.members.end()) {
        *own = m_sentMember;
        own->row = m_ownRow;
        updateAssignment();
        return;
    }
    // The outcome of a failed or unanswered write and the effect of a successful one are read from the rows.
    m_hasView = false;
    m_refreshAt = result ? now : std::min(m_refreshAt, now + m_options.times.refreshInterval / 2);
}

void Membership::onRenewed(core::RowVersion row, core::TimePoint sentAt)
{
    m_isMember = true;
    m_ownRow = row;
    m_renewedAt = sentAt;
    m_unresolvedRenewals.clear(); // earlier renewals expect an older row version and can no longer take effect
}

// --- Effects of a refresh

void Membership::applyView(CellView view, core::TimePoint now)
{
    m_view = std::move(view);
    m_hasView = true;
    checkOwnRow();
    removeCompletedReleases();
    updateAssignment();
    updateObservations(now);
}

void Membership::removeCompletedReleases()
{
    std::erase_if(m_handedOver, [this](const auto& it) {
        const auto row = m_view.partitions.find(it.first);
        return row == m_view.partitions.end() || row->second.owner != m_self || row->second.epoch != it.second;
    });
    std::erase_if(m_releasedSlots, [this](core::PartitionId id) {
        const auto row = m_view.slots.find(id);
        return row == m_view.slots.end() || row->second.holder != m_self;
    });
}

void Membership::checkOwnRow()
{
    const Member* own = m_view.find(m_self);
    const auto unresolved = own ? m_unresolvedRenewals.find(own->writeId) : m_unresolvedRenewals.end();
    if (own && own->row != m_ownRow && unresolved != m_unresolvedRenewals.end())
        onRenewed(own->row, unresolved->second); // the answer was lost, but the row shows that the renewal took effect
    const bool isReplaced = m_isMember && (!own || own->row != m_ownRow);
    if (isReplaced)
        resetToNonMember();
}

void Membership::resetToNonMember()
{
    // Other nodes consider this incarnation gone, so it has lost all that it owned. The node rejoins as a new
    // incarnation.
    m_isMember = false;
    m_self.incarnation = core::Incarnation(core::randomId());
    m_ownRow = core::RowVersion();
    m_confirmedConfig = core::ConfigVersion();
    m_unresolvedRenewals.clear();
    m_quiescent.clear();
    m_handedOver.clear();
    m_idleSlots.clear();
    m_releasedSlots.clear();
}

void Membership::updateObservations(core::TimePoint now)
{
    // Renewals cannot be observed while the rows cannot be read, so a gap does not count towards the expiry of a lease.
    const bool hadRefreshGap = now - m_refreshedAt > m_options.times.lease / 2;
    m_refreshedAt = now;
    std::map<core::NodeId, RowObservation> observations;
    for (const Member& it : m_view.members) {
        const auto found = m_observations.find(it.identity.node);
        const bool isSame = !hadRefreshGap && found != m_observations.end() && found->second.row == it.row;
        observations[it.identity.node] = isSame ? found->second : RowObservation { it.row, now };
        m_addresses[it.identity] = it.address;
    }
    m_observations = std::move(observations);
    for (const auto& [id, it] : m_view.slots)
        m_addresses[it.holder] = it.address;
    std::map<NodeIncarnation, core::TimePoint> missingSince;
    for (const NodeIncarnation& it : probeTargets()) {
        const auto found = m_missingSince.find(it);
        missingSince[it] = found == m_missingSince.end() ? now : found->second;
        const Member* successor = m_view.find(it.node);
        if (successor && successor->identity.incarnation != it.incarnation)
            onConfirmedGone(it, now);
    }
    m_missingSince = std::move(missingSince);
}

void Membership::onConfirmedGone(const NodeIncarnation& identity, core::TimePoint now)
{
    m_goneSince.try_emplace(identity, now);
}

bool Membership::isLive(const NodeIncarnation& identity) const
{
    return m_view.find(identity) != nullptr;
}

std::vector<NodeIncarnation> Membership::probeTargets() const
{
    std::set<NodeIncarnation> targets;
    for (const auto& [id, it] : m_view.slots) {
        if (!it.holder.isNone() && !isLive(it.holder))
            targets.insert(it.holder);
    }
    for (const auto& [id, it] : m_view.partitions) {
        if (it.owner != m_self)
            continue;
        for (const NodeIncarnation& former : it.formerOwners)
            targets.insert(former);
    }
    return { targets.begin(), targets.end() };
}

bool Membership::areFormerOwnersGone(core::PartitionId partition) const
{
    const auto it = m_view.partitions.find(partition);
    return it != m_view.partitions.end() && remainingFormerOwners(it->second).empty();
}

std::vector<NodeIncarnation> Membership::remainingFormerOwners(const PartitionRow& row) const
{
    std::vector<NodeIncarnation> remaining = row.formerOwners;
    std::erase_if(remaining, [this](const NodeIncarnation& it) { return m_goneSince.contains(it); });
    return remaining;
}

std::optional<core::HostPort> Membership::lastAddressOf(const NodeIncarnation& identity) const
{
    const auto it = m_addresses.find(identity);
    if (it == m_addresses.end())
        return std::nullopt;
    return it->second;
}

void Membership::leave()
{
    m_isLeaving = true;
    updateAssignment();
}

void Membership::updateAssignment()
{
    std::vector<core::NodeId> members;
    for (const Member& it : m_view.members) {
        const bool isStaying = !it.isLeaving && !(it.identity == m_self && m_isLeaving);
        if (isStaying)
            members.push_back(it.identity.node);
    }
    m_assignment = assignPartitions(m_view.partitionCount, members);
    // What is no longer to be handed over is in use again.
    const std::set<core::PartitionId> partitions = handingOver();
    std::erase_if(m_quiescent, [&partitions](const auto& it) { return !partitions.contains(it.first); });
    const std::set<core::PartitionId> shares = releasing();
    std::erase_if(m_idleSlots, [&shares](core::PartitionId id) { return !shares.contains(id); });
}

void Membership::onQuiescent(core::PartitionId partition, bool isRecovered)
{
    if (handingOver().contains(partition))
        m_quiescent[partition] = isRecovered;
}

void Membership::onSlotsIdle(core::PartitionId partition)
{
    if (releasing().contains(partition))
        m_idleSlots.insert(partition);
}

std::set<core::PartitionId> Membership::handingOver() const
{
    std::set<core::PartitionId> all;
    for (const auto& [id, it] : m_view.partitions) {
        const auto owner = m_assignment.find(id);
        const bool isAssignedHere = owner != m_assignment.end() && owner->second == m_self.node;
        const bool mayRelease = owner != m_assignment.end() || m_isLeaving;
        const bool mustRelease = (!isAssignedHere && mayRelease) || m_handedOver.contains(id);
        if (it.owner == m_self && mustRelease)
            all.insert(id);
    }
    return all;
}

std::set<core::PartitionId> Membership::releasing() const
{
    std::set<core::PartitionId> all;
    for (const auto& [id, it] : m_view.slots) {
        const auto owner = m_assignment.find(id);
        const bool isAssignedHere = owner != m_assignment.end() && owner->second == m_self.node;
        const bool mayRelease = owner != m_assignment.end() || m_isLeaving;
        const bool mustRelease = (!isAssignedHere && mayRelease) || m_releasedSlots.contains(id);
        if (it.holder == m_self && mustRelease)
            all.insert(id);
    }
    return all;
}

MemberState Membership::memberState(core::TimePoint now) const
{
    MemberState it;
    it.self = m_self;
    it.isMember = m_isMember && !m_isRemovingOwnRow;
    if (!it.isMember)
        return it;
    it.leaseValidUntil = m_renewedAt + m_options.times.lease;
    it.slotsValidUntil = m_renewedAt + m_options.times.slotsLease;
    const bool isConfirmed
        = m_confirmedConfig == m_view.active.version && m_view.config.version == m_view.active.version;
    if (isConfirmed && now < it.leaseValidUntil)
        it.activeConfig = m_view.active.version;
    if (m_view.config.version > m_view.active.version)
        it.confirming = m_view.config.version;
    for (const auto& [id, partition] : m_view.partitions) {
        if (partition.owner == m_self && !m_handedOver.contains(id))
            it.owned.emplace(id, partition);
    }
    const std::set<core::PartitionId> toRelease = releasing();
    for (const auto& [id, slots] : m_view.slots) {
        if (slots.holder == m_self && now < it.slotsValidUntil && !toRelease.contains(id))
            it.slots.insert(id);
    }
    return it;
}

void Membership::onOlderConfigsDrained(core::ConfigVersion version)
{
    m_drainedConfig = std::max(m_drainedConfig, version);
}

} // namespace sardinerun::membership

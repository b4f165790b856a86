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
    // In order of urgency: what keeps the node alive, then what frees others, then what it takes and gives.
    static constexpr std::array<Decision, 8> decisions { &Membership::join, &Membership::renew, &Membership::activate,
        &Membership::removeLapsed, &Membership::takePartitions, &Membership::handOver, &Membership::moveSlots,
        &Membership::depart };
    for (std::size_t n = 0; m_hasView && n < decisions.size(); ++n) {
        auto transaction = (this->*decisions[n])(now);
        if (!transaction)
            continue;
        m_isInFlight = true;
        m_sentAt = now;
        const bool isRenewal = decisions[n] == &Membership::join || decisions[n] == &Membership::renew;
        m_renewal = isRenewal ? transaction->id : core::WriteId();
        if (isRenewal)
            m_unresolved[transaction->id] = now;
        return StoreRequest { false, std::move(transaction) };
    }
    if (m_hasView && now < m_lookAt)
        return std::nullopt;
    if (!m_hasView && now < m_lookAt && m_isStoreDown)
        return std::nullopt;
    m_isInFlight = true;
    m_sentAt = now;
    m_lookAt = now + m_options.times.look;
    return StoreRequest { true, std::nullopt };
}

void Membership::onRefreshed(const services::RowsResult& result, core::TimePoint now)
{
    m_isInFlight = false;
    m_isStoreDown = !result;
    if (!result)
        return;
    try {
        takeView(decodeCell(result.value()), now);
    } catch (const codec::DecodeError&) {
        m_isStoreDown = true; // rows that cannot be read are no ground to act on
    }
}

void Membership::onCommitted(const services::CommitResult& result, core::TimePoint now)
{
    m_isInFlight = false;
    m_isStoreDown = !result && result.error().code != services::StoreError::Code::Conflict;
    const bool isRenewal = !m_renewal.value().empty();
    if (result && isRenewal)
        noteRenewed(result.value(), m_sentAt);
    const auto isOwn = [this](const Member& it) { return it.run == m_self; };
    const auto own = std::find_if(m_view.members.begin(), m_view.members.end(), isOwn);
    if (result && isRenewal && own != m_view.members.end()) {
        *own = m_written;
        own->row = m_ownRow;
        updateAssignment();
        return;
    }
    // A write that failed, or whose answer was lost, is judged by the rows. So is what a write has changed.
    m_hasView = false;
    m_lookAt = result ? now : std::min(m_lookAt, now + m_options.times.look / 2);
}

void Membership::noteRenewed(core::RowVersion row, core::TimePoint sentAt)
{
    m_isMember = true;
    m_ownRow = row;
    m_renewedAt = sentAt;
    m_unresolved.clear(); // earlier ones expect an older row and can have no effect any more
}

// --- What the rows tell

void Membership::takeView(CellView view, core::TimePoint now)
{
    m_view = std::move(view);
    m_hasView = true;
    noteOwnRow();
    noteGivenUp();
    updateAssignment();
    noteSightings(now);
}

void Membership::noteGivenUp()
{
    std::erase_if(m_givenUp, [this](const auto& it) {
        const auto row = m_view.partitions.find(it.first);
        return row == m_view.partitions.end() || row->second.owner != m_self || row->second.epoch != it.second;
    });
    std::erase_if(m_releasedSlots, [this](core::PartitionId id) {
        const auto row = m_view.slots.find(id);
        return row == m_view.slots.end() || row->second.holder != m_self;
    });
}

void Membership::noteOwnRow()
{
    const Member* own = m_view.find(m_self);
    const auto unresolved = own ? m_unresolved.find(own->writeId) : m_unresolved.end();
    if (own && own->row != m_ownRow && unresolved != m_unresolved.end())
        noteRenewed(own->row, unresolved->second); // the answer was lost; the row shows the effect
    const bool isReplaced = m_isMember && (!own || own->row != m_ownRow);
    if (isReplaced)
        dropOut();
}

void Membership::dropOut()
{
    // Others have taken this run as gone. All it had is lost; it comes back as a new member.
    m_isMember = false;
    m_self.incarnation = core::Incarnation(core::randomId());
    m_ownRow = core::RowVersion();
    m_confirmed = core::ConfigVersion();
    m_unresolved.clear();
    m_quiescent.clear();
    m_givenUp.clear();
    m_idleSlots.clear();
    m_releasedSlots.clear();
}

void Membership::noteSightings(core::TimePoint now)
{
    // While nobody could read, nobody could be seen to renew either: that time does not count against a member.
    const bool wasBlind = now - m_lookedAt > m_options.times.lease / 2;
    m_lookedAt = now;
    std::map<core::NodeId, Sighting> sightings;
    for (const Member& it : m_view.members) {
        const auto known = m_sightings.find(it.run.node);
        const bool isSame = !wasBlind && known != m_sightings.end() && known->second.row == it.row;
        sightings[it.run.node] = isSame ? known->second : Sighting { it.row, now };
        m_addresses[it.run] = it.address;
    }
    m_sightings = std::move(sightings);
    for (const auto& [id, it] : m_view.slots)
        m_addresses[it.holder] = it.address;
    std::map<NodeIncarnation, core::TimePoint> missingSince;
    for (const NodeIncarnation& it : probeTargets()) {
        const auto known = m_missingSince.find(it);
        missingSince[it] = known == m_missingSince.end() ? now : known->second;
        const Member* successor = m_view.find(it.node);
        if (successor && successor->run.incarnation != it.incarnation)
            onConfirmedGone(it, now);
    }
    m_missingSince = std::move(missingSince);
}

void Membership::onConfirmedGone(const NodeIncarnation& run, core::TimePoint now)
{
    m_goneSince.try_emplace(run, now);
}

bool Membership::isLive(const NodeIncarnation& run) const
{
    return m_view.find(run) != nullptr;
}

std::vector<NodeIncarnation> Membership::probeTargets() const
{
    std::set<NodeIncarnation> runs;
    for (const auto& [id, it] : m_view.slots) {
        if (!it.holder.isNone() && !isLive(it.holder))
            runs.insert(it.holder);
    }
    for (const auto& [id, it] : m_view.partitions) {
        if (it.owner != m_self)
            continue;
        for (const NodeIncarnation& former : it.formerOwners)
            runs.insert(former);
    }
    return { runs.begin(), runs.end() };
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

std::optional<core::HostPort> Membership::lastAddressOf(const NodeIncarnation& run) const
{
    const auto it = m_addresses.find(run);
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
        const bool isStaying = !it.isLeaving && !(it.run == m_self && m_isLeaving);
        if (isStaying)
            members.push_back(it.run.node);
    }
    m_assignment = assignPartitions(m_view.partitionCount, members);
}

std::set<core::PartitionId> Membership::handingOver() const
{
    std::set<core::PartitionId> all;
    for (const auto& [id, it] : m_view.partitions) {
        const auto owner = m_assignment.find(id);
        const bool isMine = owner != m_assignment.end() && owner->second == m_self.node;
        const bool isTaker = owner != m_assignment.end() || m_isLeaving;
        const bool mustGo = (!isMine && isTaker) || m_givenUp.contains(id);
        if (it.owner == m_self && mustGo)
            all.insert(id);
    }
    return all;
}

std::set<core::PartitionId> Membership::releasing() const
{
    std::set<core::PartitionId> all;
    for (const auto& [id, it] : m_view.slots) {
        const auto owner = m_assignment.find(id);
        const bool isMine = owner != m_assignment.end() && owner->second == m_self.node;
        const bool isTaker = owner != m_assignment.end() || m_isLeaving;
        const bool mustGo = (!isMine && isTaker) || m_releasedSlots.contains(id);
        if (it.holder == m_self && mustGo)
            all.insert(id);
    }
    return all;
}

MemberState Membership::memberState(core::TimePoint now) const
{
    MemberState it;
    it.self = m_self;
    it.isMember = m_isMember && !m_isDeparting;
    if (!it.isMember)
        return it;
    it.certainUntil = m_renewedAt + m_options.times.lease;
    it.slotsUntil = m_renewedAt + m_options.times.slotsLease;
    const bool isConfirmed = m_confirmed == m_view.active.version && m_view.config.version == m_view.active.version;
    if (isConfirmed && now < it.certainUntil)
        it.activeConfig = m_view.active.version;
    if (m_view.config.version > m_view.active.version)
        it.confirming = m_view.config.version;
    for (const auto& [id, partition] : m_view.partitions) {
        if (partition.owner == m_self && !m_givenUp.contains(id))
            it.owned.emplace(id, partition);
    }
    const std::set<core::PartitionId> leaving = releasing();
    for (const auto& [id, slots] : m_view.slots) {
        if (slots.holder == m_self && now < it.slotsUntil && !leaving.contains(id))
            it.slots.insert(id);
    }
    return it;
}

void Membership::onOlderConfigsDrained(core::ConfigVersion version)
{
    m_stopped = std::max(m_stopped, version);
}

} // namespace sardinerun::membership

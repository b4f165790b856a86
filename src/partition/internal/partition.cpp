#include "partition/partition.h"

#include "codec/json.h"
#include "core/hashing.h"
#include "jobs/jobcodec.h"
#include "once/claimcodec.h"
#include "partition/internal/partitionstate.h"

#include <algorithm>

namespace sardinerun::partition {

Counters Counters::operator+(const Counters& other) const
{
    Counters sum = *this;
    sum.jobsAccepted += other.jobsAccepted;
    sum.jobsRefused += other.jobsRefused;
    sum.tasksPlaced += other.tasksPlaced;
    sum.tasksSucceeded += other.tasksSucceeded;
    sum.tasksFailed += other.tasksFailed;
    sum.attemptsLost += other.attemptsLost;
    sum.tasksPreempted += other.tasksPreempted;
    sum.workersQuarantined += other.workersQuarantined;
    sum.staleMessages += other.staleMessages;
    sum.jobsPlaced += other.jobsPlaced;
    sum.waitSecondsSum += other.waitSecondsSum;
    return sum;
}

PartitionPtr Partition::create(Ownership ownership, PartitionTimes times)
{
    return PartitionPtr(new Partition(std::make_unique<State>(std::move(ownership), times)));
}

Partition::Partition(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

Partition::~Partition() = default;

void Partition::recover(const std::vector<services::Row>& rows, EventTime at)
{
    State& it = *m_state;
    if (it.ownership.isFormerOwnerGone)
        it.capacity.setFormerOwnerGone(at.now);
    it.capacity.setHomeEpochs(it.ownership.owners);
    it.fleet.owners = it.ownership.owners;
    it.refreshFleet();
    std::vector<jobs::JobSnapshot> snapshots;
    for (const auto& [item, record] : it.log.recover(rows)) {
        const Json::Value value = codec::parseJson(record);
        if (isJobItem(item))
            snapshots.push_back(jobs::decodeSnapshot(codec::ObjectReader(value)));
        else
            it.claims.recover(once::decodeSnapshot(codec::ObjectReader(value)), at);
    }
    it.home.recover(std::move(snapshots), at, it.effects);
    it.isRecovering = false;
}

void Partition::setPolicy(const Policy& policy)
{
    m_state->home.setPolicy(policy);
    m_state->capacity.setPolicy(policy);
}

core::PartitionId Partition::partitionOf(const core::VmId& worker, std::uint32_t partitionCount)
{
    return core::partitionOf(worker.value(), partitionCount);
}

void Partition::setWorkers(const std::vector<services::VmInfo>& workers, EventTime at)
{
    State& it = *m_state;
    std::vector<services::VmInfo> ownWorkers;
    it.fleet.shapes.clear();
    for (const services::VmInfo& worker : workers) {
        if (worker.role != services::VmRole::Worker)
            continue;
        if (partitionOf(worker.id, it.ownership.partitionCount) == it.ownership.id)
            ownWorkers.push_back(worker);
        if (worker.state != services::VmState::Live)
            continue;
        const auto isSame
            = [&worker](const admission::WorkerShape& shape) { return shape.capacity == worker.capacity; };
        const auto shape = std::find_if(it.fleet.shapes.begin(), it.fleet.shapes.end(), isSame);
        if (shape != it.fleet.shapes.end())
            ++shape->count;
        else
            it.fleet.shapes.push_back({ worker.capacity, 1 });
    }
    it.capacity.setWorkers(ownWorkers, at);
    it.home.onRoomFreed();
    it.refreshFleet();
}

void Partition::setOwners(const std::map<core::PartitionId, core::Epoch>& owners)
{
    for (const auto& [partition, epoch] : owners)
        m_state->fleet.owners[partition] = std::max(m_state->fleet.owners[partition], epoch);
    m_state->refreshFleet();
}

void Partition::setFormerOwnerGone(EventTime at)
{
    m_state->capacity.setFormerOwnerGone(at.now);
}

void Partition::setMembershipCertainUntil(core::TimePoint time)
{
    m_state->capacity.setMembershipCertainUntil(time);
    m_state->home.setMembershipCertainUntil(time);
}

void Partition::receive(const protocol::Message& message, EventTime at)
{
    // Before the log is restored the jobs are not known. Senders that need an answer resend.
    if (m_state->isRecovering || m_state->isOwnershipLost)
        return;
    (m_state.get()->*State::handlerOf(message))(message, at);
}

void Partition::onSyncResult(const core::VmId& worker, const services::SyncResult& result, EventTime at)
{
    State& it = *m_state;
    const core::Resources before = it.capacity.ledger().committed();
    const std::size_t openBefore = it.capacity.ledger().openCount();
    it.capacity.onSyncResult(worker, result, at, it.effects);
    it.isOwnershipLost = it.isOwnershipLost || it.capacity.isOwnershipLost();
    const core::Resources after = it.capacity.ledger().committed();
    if (after.cpu < before.cpu || after.memory < before.memory || it.capacity.ledger().openCount() > openBefore)
        it.home.onRoomFreed();
}

void Partition::onCommitted(const services::StoreError* error, core::RowVersion version, EventTime at)
{
    using Result = core::RetVal<core::RowVersion, services::StoreError>;
    const Result result = error ? Result(core::Failure { *error }) : Result(version);
    m_state->onLogEvents(m_state->log.onCommitted(result, at.now), at);
}

void Partition::onRead(const core::RetVal<std::vector<services::Row>, services::StoreError>& result, EventTime at)
{
    m_state->onLogEvents(m_state->log.onRead(result, at.now), at);
}

void Partition::tick(EventTime at)
{
    State& it = *m_state;
    if (it.isRecovering)
        return;
    it.capacity.tick(at, it.effects);
    it.home.tick(at, it.effects);
    it.claims.tick(at);
}

Effects Partition::takeEffects(EventTime at)
{
    State& it = *m_state;
    Effects out;
    if (it.isOwnershipLost) {
        out.push_back(OwnershipLost {});
        return out;
    }
    if (it.isRecovering)
        return out;
    it.deliverLocally(at, out);
    it.refreshFleet();
    it.home.placeWaiting(at, it.effects);
    it.deliverLocally(at, out);
    it.capacity.flush(at, it.effects);
    it.pollLog(at);
    it.deliverLocally(at, out);
    return out;
}

protocol::RoomHint Partition::hint() const
{
    const placement::Ledger& ledger = m_state->capacity.ledger();
    protocol::RoomHint it;
    it.from = m_state->ownership.id;
    it.fromEpoch = m_state->ownership.epoch;
    it.room = ledger.total() - ledger.committed();
    it.largest = ledger.largestRoom();
    return it;
}

PartitionView Partition::view(EventTime at) const
{
    const State& it = *m_state;
    PartitionView view;
    view.id = it.ownership.id;
    view.epoch = it.ownership.epoch;
    view.isRecovered = !it.isRecovering && it.home.isRecovered() && it.capacity.isRecovered();
    for (const jobs::Urgency urgency : jobs::allUrgencies) {
        view.queued[jobs::indexOf(urgency)] = it.home.queued(urgency);
        view.oldestWait[jobs::indexOf(urgency)] = it.home.oldestWait(urgency, at.now);
    }
    view.jobs = it.home.jobCount();
    view.attempts = it.capacity.runningAttempts();
    view.workers = it.capacity.ledger().workerCount();
    view.readyWorkers = it.capacity.readyWorkers();
    view.quarantinedWorkers = it.capacity.quarantinedWorkers(at.now);
    view.total = it.capacity.ledger().total();
    view.committed = it.capacity.ledger().committed();
    view.logRows = it.log.rowCount();
    view.logGroups = it.log.groupsCommitted();
    view.isStoreHealthy = isStoreHealthy();
    view.counters = it.capacity.counters();
    const Counters& ofHome = it.home.counters();
    view.counters.jobsAccepted = ofHome.jobsAccepted;
    view.counters.jobsRefused = ofHome.jobsRefused;
    view.counters.tasksSucceeded = ofHome.tasksSucceeded;
    view.counters.tasksFailed = ofHome.tasksFailed;
    view.counters.jobsPlaced = ofHome.jobsPlaced;
    view.counters.waitSecondsSum = ofHome.waitSecondsSum;
    view.counters.staleMessages += ofHome.staleMessages;
    return view;
}

bool Partition::isStoreHealthy() const
{
    return m_state->log.isHealthy();
}

bool Partition::isQuiescent() const
{
    return m_state->isRecovering || m_state->log.pendingCount() == 0;
}

} // namespace sardinerun::partition

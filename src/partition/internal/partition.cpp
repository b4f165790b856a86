#include "partition/partition.h"

#include "codec/json.h"
#include "core/hashing.h"
#include "jobs/jobcodec.h"
#include "once/claimcodec.h"
#include "partition/internal/capacity.h"
#include "partition/internal/claimhandler.h"
#include "partition/internal/home.h"

#include <algorithm>

namespace sardinerun::partition {

namespace {

constexpr const char* jobPrefix = "job/";
//! Limit on the rounds in which messages between the home and the capacity of this partition are delivered.
constexpr int maxLocalDeliveryRounds = 1000;

bool isJobItem(const acceptance::ItemId& item)
{
    return item.value().starts_with(jobPrefix);
}

core::JobId jobOf(const acceptance::ItemId& item)
{
    return core::JobId(item.value().substr(std::string_view(jobPrefix).size()));
}

} // namespace

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

struct Partition::State {
    State(Ownership it, PartitionTimes all)
        : ownership(std::move(it))
        , times(all)
        , log(ownership.id, ownership.fence, times.log)
        , home(ownership.id, ownership.epoch, ownership.partitionCount, times, log)
        , capacity(ownership.id, ownership.epoch, ownership.partitionCount, times)
        , claims(times, log)
    {
    }

    using Handler = void (State::*)(const protocol::Message&, EventTime);
    static Handler handlerOf(const protocol::Message& message);

    void onSubmit(const protocol::Message& it, EventTime at)
    {
        home.onSubmit(std::get<protocol::SubmitJob>(it), at, effects);
    }
    void onCancel(const protocol::Message& it, EventTime at)
    {
        home.onCancel(std::get<protocol::CancelJobs>(it), at, effects);
    }
    void onRead(const protocol::Message& it, EventTime) { home.onRead(std::get<protocol::ReadJobs>(it), effects); }
    void onPlaceAnswer(const protocol::Message& it, EventTime at)
    {
        home.onPlaceAnswer(std::get<protocol::PlaceAnswer>(it), at, effects);
    }
    void onCommitAnswer(const protocol::Message& it, EventTime at)
    {
        home.onCommitAnswer(std::get<protocol::CommitAnswer>(it), at, effects);
    }
    void onAttemptEnded(const protocol::Message& it, EventTime at)
    {
        home.onAttemptEnded(std::get<protocol::AttemptEnded>(it), at, effects);
    }
    void onInventory(const protocol::Message& it, EventTime at)
    {
        home.onInventory(std::get<protocol::Inventory>(it), at, effects);
    }
    void onHint(const protocol::Message& it, EventTime at) { home.onHint(std::get<protocol::RoomHint>(it), at.now); }
    void onPlace(const protocol::Message& it, EventTime at)
    {
        capacity.onPlace(std::get<protocol::PlaceTasks>(it), at, effects);
    }
    void onCommit(const protocol::Message& it, EventTime at)
    {
        capacity.onCommit(std::get<protocol::CommitReservation>(it), at, effects);
    }
    void onRelease(const protocol::Message& it, EventTime)
    {
        capacity.onRelease(std::get<protocol::ReleaseReservation>(it));
        home.onReservationReleased();
    }
    void onEndsPersisted(const protocol::Message& it, EventTime at)
    {
        capacity.onEndsPersisted(std::get<protocol::EndsPersisted>(it), at.now);
    }
    void onStop(const protocol::Message& it, EventTime at)
    {
        capacity.onStop(std::get<protocol::StopJobs>(it), at, effects);
    }
    void onRequestInventory(const protocol::Message& it, EventTime)
    {
        capacity.onRequestInventory(std::get<protocol::RequestInventory>(it), effects);
    }
    void onClaim(const protocol::Message& it, EventTime at)
    {
        claims.onClaim(std::get<protocol::ClaimOnce>(it), at, effects);
    }
    void onFinish(const protocol::Message& it, EventTime)
    {
        claims.onFinish(std::get<protocol::FinishOnce>(it), effects);
    }
    void ignore(const protocol::Message&, EventTime) { }

    void refreshFleet();
    void pollLog(EventTime at);
    void onLogEvents(const acceptance::LogEvents& events, EventTime at);
    void deliverLocally(EventTime at, Effects& out);

    Ownership ownership;
    PartitionTimes times;
    acceptance::GroupLog log;
    Home home;
    Capacity capacity;
    ClaimHandler claims;
    FleetView fleet;
    Effects effects;
    bool isRecovering = true; //!< the log has not been restored yet
    bool isOwnershipLost = false;
};

Partition::State::Handler Partition::State::handlerOf(const protocol::Message& message)
{
    // In the order of protocol::Message. Answers to callers go to nodes, not to partitions.
    static constexpr std::array<Handler, std::variant_size_v<protocol::Message>> handlers {
        &State::onSubmit,
        &State::ignore, // SubmitAnswer
        &State::onCancel,
        &State::ignore, // CancelAnswer
        &State::onRead,
        &State::ignore, // JobsAnswer
        &State::onPlace, &State::onPlaceAnswer, &State::onCommit, &State::onCommitAnswer, &State::onRelease,
        &State::onAttemptEnded, &State::onEndsPersisted, &State::onStop, &State::onRequestInventory,
        &State::onInventory, &State::onHint, &State::onClaim,
        &State::ignore, // ClaimAnswer
        &State::onFinish,
        &State::ignore, // FinishAnswer
        &State::ignore, // RefreshNow
    };
    return handlers[message.index()];
}

void Partition::State::refreshFleet()
{
    const placement::Ledger& ledger = capacity.ledger();
    fleet.homeCapacity = ledger.total();
    for (const jobs::Urgency it : jobs::allUrgencies)
        fleet.shares[jobs::indexOf(it)] = ledger.shareOf(it);
    home.setFleet(fleet);
}

void Partition::State::onLogEvents(const acceptance::LogEvents& events, EventTime at)
{
    isOwnershipLost = isOwnershipLost || events.isOwnershipLost;
    for (const acceptance::PersistedRecord& it : events.persisted) {
        if (isJobItem(it.item))
            home.onPersisted(jobOf(it.item), it.revision, at, effects);
        else
            claims.onPersisted(it.item, it.revision, effects);
    }
    for (const acceptance::ItemId& it : events.notPersisted) {
        if (isJobItem(it))
            home.onNotPersisted(jobOf(it), effects);
        else
            claims.onNotPersisted(it, effects);
    }
}

void Partition::State::pollLog(EventTime at)
{
    const acceptance::GroupLog::Action action = log.next(at.now);
    if (action.commit)
        effects.push_back(CommitToStore { *action.commit });
    if (action.readPrefix)
        effects.push_back(ReadStore { *action.readPrefix });
}

//! Delivers messages between the home and the capacity of this partition immediately; appends other effects to `out`.
void Partition::State::deliverLocally(EventTime at, Effects& out)
{
    for (int n = 0; n < maxLocalDeliveryRounds && !effects.empty(); ++n) {
        Effects batch = std::exchange(effects, {});
        for (Effect& it : batch) {
            auto* send = std::get_if<SendMessage>(&it);
            const auto* to = send ? std::get_if<core::PartitionId>(&send->envelope.to) : nullptr;
            if (to && *to == ownership.id)
                (this->*handlerOf(send->envelope.message))(send->envelope.message, at);
            else
                out.push_back(std::move(it));
        }
    }
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

void Partition::setMembershipCertain(bool isCertain)
{
    m_state->capacity.setMembershipCertain(isCertain);
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

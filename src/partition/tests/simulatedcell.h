#pragma once

#include "codec/json.h"
#include "core/hashing.h"
#include "partition/partition.h"
#include "protocol/messagecodec.h"
#include "services/servicescodec.h"
#include "services/testing/fakestore.h"
#include "services/testing/fakeworker.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>

namespace sardinerun::partition::testing {

using services::testing::FakeStore;
using services::testing::FakeWorker;

//! A guarantee of the scheduler was broken.
class InvariantViolation : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

//! The submitted jobs and their outcomes, as observed by workers and callers.
struct Record {
    std::set<core::JobId> submitted;
    std::map<core::JobId, protocol::SubmitOutcome> outcomes;
    std::map<std::pair<core::JobId, core::TaskIndex>, int> running;
    std::map<std::pair<core::JobId, core::TaskIndex>, int> starts;
    std::map<std::pair<core::JobId, core::TaskIndex>, int> successes;
    std::map<core::JobId, core::TimePoint> submittedAt;
    std::map<core::JobId, core::TimePoint> firstStartAt;
    std::map<core::JobId, core::TimePoint> lastSuccessAt;
    std::set<core::JobId> nonRepeatable; //!< jobs that may not be repeated
    std::map<protocol::Token, protocol::ClaimAnswer> claims;
    std::map<protocol::Token, protocol::JobsAnswer> reads;
    std::map<protocol::Token, protocol::CancelAnswer> cancels;
};

//! Partitions with their owners on one paused clock, with fakes of the store and the workers.
class SimulatedCell {
public:
    static constexpr core::Duration stepTime = std::chrono::milliseconds(50);
    static constexpr core::Duration membershipLease = std::chrono::seconds(2);

    SimulatedCell(std::uint32_t partitions, int workers, core::Resources capacity)
        : m_count(partitions)
        , m_capacity(capacity)
    {
        for (int n = 0; n < workers; ++n)
            addWorker("w" + std::to_string(n));
        for (std::uint32_t n = 0; n < partitions; ++n) {
            m_store.put(rowOf(n), "0");
            takeOver(n, true);
        }
    }

    //! --- Faults
    FakeStore::Fault storeFault = FakeStore::Fault::None;
    std::set<core::VmId> unreachableWorkers; //!< receive no exchanges
    std::set<core::VmId> workersLosingAnswers; //!< receive all exchanges, and their answers are lost
    std::set<core::VmId> unreachableForOwners; //!< receive no exchanges of present owners
    std::set<core::VmId> unreachableForFormerOwners; //!< receive no exchanges of former owners that still run
    bool dropsMessages = false;
    //! Former owners do not run, and are not told of a lapse of their membership.
    bool pausesFormerOwners = false;

    //! Lets a new owner take over the partition. Unless it is gone, the former owner keeps running and is not notified.
    void takeOver(std::uint32_t partition, bool isFormerOwnerGone)
    {
        if (storeFault != FakeStore::Fault::None)
            return;
        Owner& owner = m_owners[partition];
        if (owner.state && !isFormerOwnerGone) {
            if (!pausesFormerOwners)
                owner.state->setMembershipCertainUntil(m_now);
            m_formerOwners.push_back({ partition, std::move(owner.state) });
        }
        ++owner.epoch;
        m_store.put(rowOf(partition), std::to_string(owner.epoch));
        Ownership ownership;
        ownership.id = core::PartitionId(partition);
        ownership.epoch = core::Epoch(owner.epoch);
        ownership.partitionCount = m_count;
        ownership.fence = { rowOf(partition), m_store.versionOf(rowOf(partition)) };
        ownership.owners = epochs();
        ownership.isFormerOwnerGone = isFormerOwnerGone;
        owner.state = Partition::create(ownership, times());
        owner.state->setPolicy(policy);
        owner.state->setWorkers(m_list, eventTime());
        owner.state->recover(m_store.listNow(acceptance::GroupLog::prefixOf(ownership.id)).value(), eventTime());
        dropLinksOf(partition);
        for (auto& [id, it] : m_owners) {
            if (it.state)
                it.state->setOwners(epochs());
        }
    }

    //! Ends all former owners and notifies the present ones.
    void endFormerOwners()
    {
        for (const FormerOwner& it : m_formerOwners)
            m_owners[it.partition].state->setFormerOwnerGone(eventTime());
        m_formerOwners.clear();
    }

    //! Notifies the present owner, as each update of the cell does once its former owners are gone.
    void repeatFormerOwnerGone(std::uint32_t partition) { m_owners[partition].state->setFormerOwnerGone(eventTime()); }

    void restartWorker(const core::VmId& id) { m_workers.at(id)->restart(); }
    FakeWorker& worker(const core::VmId& id) { return *m_workers.at(id); }

    //! --- Jobs
    core::JobId submit(jobs::JobSpec spec, protocol::Token token = protocol::Token(1))
    {
        record.submitted.insert(spec.id);
        record.submittedAt.emplace(spec.id, m_now);
        if (!spec.isRepeatable)
            record.nonRepeatable.insert(spec.id);
        const core::PartitionId home = core::partitionOf(spec.id.value(), m_count);
        send(home, protocol::SubmitJob { { caller, {}, token }, spec });
        return spec.id;
    }

    void cancel(const std::vector<core::JobId>& jobs, protocol::Token token)
    {
        std::map<core::PartitionId, std::vector<core::JobId>> byHome;
        for (const core::JobId& it : jobs)
            byHome[core::partitionOf(it.value(), m_count)].push_back(it);
        for (auto& [home, ids] : byHome)
            send(home, protocol::CancelJobs { { caller, {}, token }, {}, ids, {} });
    }

    //! Delivers a message to the former owner of the partition that was replaced last.
    void sendToFormerOwner(const protocol::Message& message)
    {
        m_formerOwners.back().state->receive(message, eventTime());
    }

    void send(core::PartitionId to, protocol::Message message)
    {
        m_links[{ -1, to.value() }].push_back(std::move(message));
    }

    //! --- Time
    void step()
    {
        m_now += stepTime;
        for (auto& [id, it] : m_workers)
            it->tick(m_now);
        deliver();
        for (auto& [id, it] : m_owners) {
            it.state->setMembershipCertainUntil(m_now + membershipLease);
            run(id, *it.state, false);
        }
        for (const FormerOwner& it : m_formerOwners) {
            if (!pausesFormerOwners)
                run(it.partition, *it.state, true);
        }
        if (++m_steps % 10 == 0)
            exchangeHints();
        checkWorkerCapacity();
    }

    void run(core::Duration time)
    {
        for (core::Duration passed {}; passed < time; passed += stepTime)
            step();
    }

    //! Runs until all accepted jobs have ended or `time` has passed. Returns whether they have ended.
    bool runUntilDone(core::Duration time)
    {
        for (core::Duration passed {}; passed < time; passed += stepTime) {
            step();
            if (isDone())
                return true;
        }
        return false;
    }

    bool isDone()
    {
        for (const core::JobId& job : record.submitted) {
            if (!record.outcomes.contains(job))
                return false;
            if (const auto outcome = record.outcomes.at(job);
                outcome == protocol::SubmitOutcome::Accepted && !jobs::isEnded(statusOf(job).state))
                return false;
        }
        return true;
    }

    jobs::JobStatus statusOf(const core::JobId& job)
    {
        const core::PartitionId home = core::partitionOf(job.value(), m_count);
        Partition& state = *m_owners[home.value()].state;
        state.receive(protocol::ReadJobs { { caller, {}, protocol::Token(999) }, {}, job, {}, 1 }, eventTime());
        process(home.value(), state, false);
        const auto it = record.reads.find(protocol::Token(999));
        if (it == record.reads.end() || it->second.jobs.empty())
            return {};
        return it->second.jobs[0];
    }

    const core::AttemptId& lastStarted() const { return m_lastStarted; }
    PartitionView view(std::uint32_t partition) { return m_owners[partition].state->view(eventTime()); }
    EventTime eventTime() const
    {
        return { m_now, core::WallTime(m_now.time_since_epoch() / std::chrono::milliseconds(1)) };
    }

    static PartitionTimes times()
    {
        PartitionTimes it;
        it.workerLease = std::chrono::seconds(5);
        it.workerTimeout = std::chrono::seconds(1);
        return it;
    }

    void setPolicy(const Policy& it)
    {
        policy = it;
        for (auto& [id, owner] : m_owners)
            owner.state->setPolicy(it);
    }

    Policy policy;
    Record record;
    std::vector<std::string> transcript; //!< one line for each message and order
    bool recordsTranscript = false;
    const core::NodeId caller { "caller" };

private:
    struct Owner {
        PartitionPtr state;
        std::uint64_t epoch = 0;
    };
    struct FormerOwner {
        std::uint32_t partition;
        PartitionPtr state;
    };
    //! From the present owner of a partition (-1: any other sender) to a partition.
    using Link = std::pair<int, std::uint32_t>;

    static std::string rowOf(std::uint32_t partition) { return "cell/partition/" + std::to_string(partition); }

    void addWorker(const std::string& name)
    {
        const core::VmId id(name);
        services::testing::WorkerEvents events;
        events.started = [this](const core::AttemptId& it) { onStarted(it); };
        events.ended = [this](const core::AttemptId& it, services::AttemptState state) { onEnded(it, state); };
        m_workers[id] = std::make_unique<FakeWorker>(m_capacity, times().workerLease, name, events);
        services::VmInfo vm;
        vm.id = id;
        vm.capacity = m_capacity;
        vm.rack = core::RackId("r" + std::to_string(m_list.size() / 2));
        vm.address = { name, 1 };
        m_list.push_back(vm);
    }

    std::map<core::PartitionId, core::Epoch> epochs() const
    {
        std::map<core::PartitionId, core::Epoch> all;
        for (const auto& [id, it] : m_owners)
            all[core::PartitionId(id)] = core::Epoch(it.epoch);
        return all;
    }

    void onStarted(const core::AttemptId& id)
    {
        m_lastStarted = id;
        record.firstStartAt.emplace(id.job, m_now);
        const std::pair task { id.job, id.task };
        if (++record.running[task] > 1)
            throw InvariantViolation("two attempts of a task run at the same time: " + id.job.value());
        if (++record.starts[task] > 1 && record.nonRepeatable.contains(id.job))
            throw InvariantViolation("a non-repeatable task started twice: " + id.job.value());
        const auto outcome = record.outcomes.find(id.job);
        if (outcome != record.outcomes.end() && outcome->second == protocol::SubmitOutcome::Refused)
            throw InvariantViolation("a task of a refused job started: " + id.job.value());
    }

    void onEnded(const core::AttemptId& id, services::AttemptState state)
    {
        --record.running[{ id.job, id.task }];
        if (state == services::AttemptState::Succeeded) {
            ++record.successes[{ id.job, id.task }];
            record.lastSuccessAt[id.job] = m_now;
        }
    }

    void checkWorkerCapacity()
    {
        for (const auto& [id, it] : m_workers) {
            if (!it->running().fitsIn(it->capacity()))
                throw InvariantViolation("running attempts exceed the capacity of worker " + id.value());
        }
    }

    void dropLinksOf(std::uint32_t partition)
    {
        std::erase_if(m_links, [partition](const auto& it) { return it.first.first == int(partition); });
    }

    void deliver()
    {
        for (auto& [link, queue] : m_links) {
            std::deque<protocol::Message> batch = std::exchange(queue, {});
            for (const protocol::Message& it : batch) {
                if (dropsMessages && ++m_sent % 5 == 0)
                    continue;
                m_owners[link.second].state->receive(it, eventTime());
            }
        }
    }

    void run(std::uint32_t partition, Partition& state, bool isFormerOwner)
    {
        state.tick(eventTime());
        process(partition, state, isFormerOwner);
    }

    void process(std::uint32_t partition, Partition& state, bool isFormerOwner)
    {
        for (Effect& it : state.takeEffects(eventTime()))
            apply(partition, state, isFormerOwner, it);
    }

    void appendToTranscript(std::uint32_t partition, bool isFormerOwner, const std::string& text)
    {
        if (!recordsTranscript)
            return;
        const auto ms = (m_now.time_since_epoch() - std::chrono::hours(1)) / std::chrono::milliseconds(1);
        transcript.push_back(
            std::to_string(ms) + " p" + std::to_string(partition) + (isFormerOwner ? " (former) " : " ") + text);
    }

    void recordEffect(std::uint32_t partition, bool isFormerOwner, const Effect& effect)
    {
        if (const auto* it = std::get_if<SendMessage>(&effect)) {
            const std::string name = protocol::methodOf(it->envelope.message);
            appendToTranscript(
                partition, isFormerOwner, name + " " + codec::writeJson(protocol::encodeParams(it->envelope)));
        }
        if (const auto* it = std::get_if<SyncWorker>(&effect))
            appendToTranscript(
                partition, isFormerOwner, "sync " + it->worker.value() + " " + services::encodeSync(it->sync));
        if (const auto* it = std::get_if<CommitToStore>(&effect))
            appendToTranscript(partition, isFormerOwner, "commit " + it->transaction.writes[0].key);
        if (const auto* it = std::get_if<ReadStore>(&effect))
            appendToTranscript(partition, isFormerOwner, "read " + it->prefix);
    }

    void apply(std::uint32_t partition, Partition& state, bool isFormerOwner, Effect& effect)
    {
        recordEffect(partition, isFormerOwner, effect);
        if (auto* it = std::get_if<SendMessage>(&effect))
            routeMessage(isFormerOwner ? -1 : int(partition), it->envelope);
        if (auto* it = std::get_if<SyncWorker>(&effect))
            state.onSyncResult(it->worker, exchange(*it, isFormerOwner), eventTime());
        if (auto* it = std::get_if<CommitToStore>(&effect)) {
            const auto result = m_store.commitNow(it->transaction, storeFault);
            state.onCommitted(
                result ? nullptr : &result.error(), result ? result.value() : core::RowVersion(), eventTime());
        }
        if (auto* it = std::get_if<ReadStore>(&effect))
            state.onRead(m_store.listNow(it->prefix, storeFault), eventTime());
    }

    services::SyncResult exchange(const SyncWorker& it, bool isFormerOwner)
    {
        using Code = services::WorkerError::Code;
        const auto& unreachable = isFormerOwner ? unreachableForFormerOwners : unreachableForOwners;
        if (unreachableWorkers.contains(it.worker) || unreachable.contains(it.worker))
            return core::Failure { services::WorkerError { Code::Unreachable, "unreachable" } };
        services::SyncResult result = m_workers.at(it.worker)->sync(it.sync, m_now);
        if (workersLosingAnswers.contains(it.worker))
            return core::Failure { services::WorkerError { Code::Unknown, "answer lost" } };
        return result;
    }

    void routeMessage(int from, const protocol::Envelope& envelope)
    {
        if (const auto* to = std::get_if<core::PartitionId>(&envelope.to)) {
            m_links[{ from, to->value() }].push_back(envelope.message);
            return;
        }
        if (const auto* it = std::get_if<protocol::SubmitAnswer>(&envelope.message)) {
            const auto known = record.outcomes.find(it->job);
            const bool wasAccepted
                = known != record.outcomes.end() && known->second == protocol::SubmitOutcome::Accepted;
            if (!wasAccepted)
                record.outcomes[it->job] = it->outcome;
            if (it->outcome == protocol::SubmitOutcome::Refused
                && record.starts.contains({ it->job, core::TaskIndex(0) }))
                throw InvariantViolation("a job was refused after it had started: " + it->job.value());
        }
        if (const auto* it = std::get_if<protocol::ClaimAnswer>(&envelope.message))
            record.claims[it->token] = *it;
        if (const auto* it = std::get_if<protocol::JobsAnswer>(&envelope.message))
            record.reads[it->token] = *it;
        if (const auto* it = std::get_if<protocol::CancelAnswer>(&envelope.message))
            record.cancels[it->token] = *it;
    }

    void exchangeHints()
    {
        for (auto& [from, owner] : m_owners) {
            for (auto& [to, other] : m_owners) {
                if (from != to)
                    other.state->receive(owner.state->hint(), eventTime());
            }
        }
    }

    std::uint32_t m_count;
    core::Resources m_capacity;
    core::TimePoint m_now { std::chrono::hours(1) };
    int m_steps = 0;
    int m_sent = 0;
    core::AttemptId m_lastStarted;
    FakeStore m_store;
    std::map<core::VmId, std::unique_ptr<FakeWorker>> m_workers;
    std::vector<services::VmInfo> m_list;
    std::map<std::uint32_t, Owner> m_owners;
    std::vector<FormerOwner> m_formerOwners;
    std::map<Link, std::deque<protocol::Message>> m_links;
};

inline jobs::JobSpec jobSpec(const std::string& id, std::uint32_t tasks, std::int64_t cpu = 1000)
{
    jobs::JobSpec it;
    it.id = core::JobId(id);
    it.team = core::TeamId("team");
    it.workload = "glaze-run";
    it.taskCount = tasks;
    it.taskResources = { core::MilliCpu(cpu), core::MebiBytes(100), {} };
    it.runTime = std::chrono::seconds(1);
    return it;
}

} // namespace sardinerun::partition::testing

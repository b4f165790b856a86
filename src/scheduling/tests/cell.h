#pragma once

#include "fleet/testing/fakeworkers.h"
#include "lead/election.h"
#include "runtime/manualloop.h"
#include "scheduling/engine.h"
#include "store/testing/fakerowstore.h"
#include "telemetry/metrics.h"

#include <optional>

namespace sardinerun::scheduling::testing {

using fleet::testing::FakeWorker;
using fleet::testing::FakeWorkers;
using store::testing::FakeRowStore;

inline core::Duration ms(std::int64_t n)
{
    return std::chrono::milliseconds(n);
}

//! A leader with two workers of four cores each, and a queue "q".
class Cell {
public:
    Cell()
        : clock(std::make_shared<runtime::ManualClock>())
        , loop(std::make_shared<runtime::ManualLoop>(clock))
        , store(std::make_shared<FakeRowStore>(loop))
        , workers(std::make_shared<FakeWorkers>(loop))
        , orders(workers)
        , engineLoop(loop)
    {
        queue.name = "q";
        queue.host = "h";
        queue.pathPrefix = "/q/";
        queue.service = core::ServiceId("s");
        queue.maxAttempts = 2;
        queue.stretch = 4;
        queue.latencyTarget = ms(1000);
        addWorker("w1");
        addWorker("w2");
    }

    void addWorker(const std::string& id, std::int64_t milliCpu = 4000)
    {
        fleet::WorkerEntry entry;
        entry.id = core::VmId(id);
        entry.address = { "127.0.0.1", 1 };
        entry.service = queue.service;
        entry.capacity = { core::MilliCpu(milliCpu), core::MebiBytes(8000), core::Accelerators(0) };
        entry.rack = "r-1";
        entries.push_back(entry);
    }

    //! Replaces the leader by a new node that wins the next term, and waits for its recovery.
    void lead(core::Duration settle = ms(300))
    {
        engine.reset();
        elect(settle);
    }

    //! Starts an election on another node while the current leader goes on.
    void elect(core::Duration settle)
    {
        former = engine;
        election = lead::Election::create(loop, store, core::NodeId("n" + std::to_string(++m_nodes)),
            { "127.0.0.1", 7000 }, leaderTimes, core::Duration(0), hooks());
        election->start();
        advance(leaderTimes.leaderTimeout + leaderTimes.spread + ms(300));
        advance(settle);
    }

    static workflow::WorkflowCall callOf(
        workflow::CallKind kind, const workflow::JobSpec& spec, const std::string& prefix, const std::string& team)
    {
        workflow::WorkflowCall call;
        call.team = core::TeamId(team);
        if (!team.empty())
            call.key = keyOf(team);
        call.kind = kind;
        call.host = "h";
        call.path = prefix + spec.id.value();
        call.spec = spec;
        return call;
    }
    workflow::WorkflowResult callEngine(workflow::CallKind kind, const workflow::JobSpec& spec,
        core::Duration timeout = ms(400), const std::string& prefix = "/q/", const std::string& team = "")
    {
        workflow::WorkflowCall call = callOf(kind, spec, prefix, team);
        call.timeout = timeout;
        // Shared, as an answer may come after this function has given up.
        const auto got = std::make_shared<std::optional<workflow::WorkflowResult>>();
        engine->handle(call, [got](const workflow::WorkflowResult& answer) { *got = answer; });
        for (int n = 0; n < 400 && !*got; ++n)
            advance(ms(5));
        return got->value_or(workflow::WorkflowResult { workflow::WorkflowOutcome::Uncertain, {}, 0, {}, "no answer" });
    }
    workflow::WorkflowOutcome submit(const workflow::JobSpec& spec)
    {
        return callEngine(workflow::CallKind::Submit, spec).outcome;
    }
    workflow::WorkflowResult submitFor(const std::string& team, const workflow::JobSpec& spec)
    {
        return callEngine(workflow::CallKind::Submit, spec, ms(400), "/q/", team);
    }
    static teams::KeyDigest keyOf(const std::string& team) { return teams::digestOf("key of " + team); }
    //! Puts a new version of the configuration in force.
    void configure()
    {
        workflow::QueueConfig config;
        config.version = core::ConfigVersion(++m_configVersion);
        config.queues = moreQueues;
        config.queues.push_back(queue);
        config.teams = teams;
        for (teams::Team& it : config.teams)
            it.keys = { { keyOf(it.id.value()), teams::Role::Submitter } };
        config.keys = teams::KeyRing(config.teams);
        engine->setConfig(std::make_shared<const workflow::QueueConfig>(config));
    }
    workflow::JobState stateOf(const workflow::JobSpec& spec)
    {
        return callEngine(workflow::CallKind::Read, spec).state;
    }

    void advance(core::Duration by) { loop->advance(by); }

    FakeWorker& worker(const std::string& id) { return workers->workers[core::VmId(id)]; }
    std::size_t running()
    {
        std::size_t n = 0;
        for (auto& [id, it] : workers->workers)
            n += it.running.size();
        return n;
    }
    std::size_t starts()
    {
        std::size_t n = 0;
        for (auto& [id, it] : workers->workers)
            n += it.starts.size();
        return n;
    }
    //! Ends all runs on all workers.
    void endAll(fleet::EndKind kind)
    {
        for (auto& [id, it] : workers->workers) {
            for (const auto& [runId, run] : std::map(it.running))
                it.end(runId, kind);
        }
    }

    runtime::ManualClockPtr clock;
    runtime::ManualLoopPtr loop;
    std::shared_ptr<FakeRowStore> store;
    std::shared_ptr<FakeWorkers> workers;
    fleet::IWorkerOrdersPtr orders; //!< by which the leader reaches the workers; by default they are `workers`
    runtime::ILoopPtr engineLoop; //!< on which the engine runs; by default `loop`
    workflow::QueuePolicy queue;
    std::vector<workflow::QueuePolicy> moreQueues;
    std::vector<teams::Team> teams;
    std::vector<fleet::WorkerEntry> entries;
    SchedulingTimes times;
    lead::LeaderTimes leaderTimes;
    lead::ElectionPtr election;
    AdviceQueuePtr advice;
    telemetry::MetricsPtr metrics = telemetry::Metrics::create();
    EnginePtr engine;
    EnginePtr former;
    bool isLeadershipLost = false;
    LearnedUses learnedUses;

private:
    lead::ElectionHooks hooks()
    {
        lead::ElectionHooks hooks;
        hooks.leaderSeen = [](const std::optional<lead::LeaderRow>&) {};
        hooks.won = [this](const lead::WonElection& won) {
            advice = AdviceQueue::create(loop);
            EngineDependencies dependencies { engineLoop, store, orders, advice, metrics, times, leaderTimes, {},
                learnedUses };
            engine = Engine::create(dependencies, won, { [this](const std::string&) { isLeadershipLost = true; } });
            configure();
            engine->start();
            engine->setWorkers(entries);
        };
        return hooks;
    }

    int m_nodes = 0;
    std::uint64_t m_configVersion = 0;
};

//! A job of one step.
inline workflow::JobSpec jobOf(const std::string& id, std::uint32_t count, std::int64_t milliCpu, bool isGang = false)
{
    workflow::JobSpec spec;
    spec.id = core::JobId(id);
    spec.payload = "text of " + id;
    workflow::StepSpec step;
    step.count = count;
    step.need = { core::MilliCpu(milliCpu), core::MebiBytes(100), core::Accelerators(0) };
    step.estimate = ms(1000);
    step.isGang = isGang;
    spec.steps = { step };
    return spec;
}

} // namespace sardinerun::scheduling::testing

#pragma once

#include "dispatch/adviceproxy.h"
#include "dispatch/leadertask.h"
#include "fleet/testing/fakeworkers.h"
#include "runtime/manualloop.h"
#include "store/testing/fakerowstore.h"

#include <deque>
#include <optional>
#include <random>

namespace sardinerun::dispatch::testing {

inline core::Duration ms(std::int64_t n)
{
    return std::chrono::milliseconds(n);
}

//! How the store treats the calls of a node.
enum class StoreLink { Up, Silent, TurnedAway };

//! The links of one node. A cut link loses what is sent, or holds it back until the link is up again.
struct Links {
    StoreLink store = StoreLink::Up;
    std::set<core::VmId> cutWorkers;
    std::set<core::HostPort> cutNodes;
    bool holdsBack = false;
    std::deque<runtime::Work> heldBack;
};

//! The loop of one node, which can be paused.
class NodeLoop : public runtime::ILoop, public std::enable_shared_from_this<NodeLoop> {
public:
    explicit NodeLoop(runtime::ManualLoopPtr loop)
        : m_loop(std::move(loop))
    {
    }

    void post(runtime::Work work) override { m_loop->post(pausable(std::move(work))); }
    runtime::TimerId callAfter(core::Duration delay, runtime::Work work) override
    {
        return m_loop->callAfter(delay, pausable(std::move(work)));
    }
    void cancel(runtime::TimerId id) override { m_loop->cancel(id); }
    core::TimePoint now() const override { return m_loop->now(); }
    core::WallTime wallNow() const override { return m_loop->wallNow(); }

    void setPaused(bool isPaused)
    {
        m_isPaused = isPaused;
        if (isPaused)
            return;
        for (runtime::Work& it : std::exchange(m_waiting, {}))
            it();
    }

private:
    runtime::Work pausable(runtime::Work work)
    {
        auto shared = std::make_shared<runtime::Work>(std::move(work));
        return [self = shared_from_this(), shared] {
            if (self->m_isPaused)
                self->m_waiting.push_back([shared] { (*shared)(); });
            else
                (*shared)();
        };
    }

    runtime::ManualLoopPtr m_loop;
    std::deque<runtime::Work> m_waiting;
    bool m_isPaused = false;
};

//! The store as one node reaches it.
class PartitionedStore : public store::IRowStore {
public:
    PartitionedStore(runtime::ILoopPtr loop, std::shared_ptr<store::testing::FakeRowStore> store, const Links& links)
        : m_loop(std::move(loop))
        , m_store(std::move(store))
        , m_links(links)
    {
    }

    core::Duration commitAnswerDelay {}; //!< by which an answer to a commit comes after the change has been announced

    void commit(store::RowTransaction transaction, std::function<void(store::CommitResult)> callback) override
    {
        if (m_links.store != StoreLink::Up) {
            fail(std::move(callback));
            return;
        }
        m_store->commit(std::move(transaction), [this, callback](const store::CommitResult& result) {
            m_loop->callAfter(commitAnswerDelay, [this, callback, result] { answer(callback, result); });
        });
    }
    void read(const std::string& table, const std::string& part, const std::string& after,
        std::function<void(store::PageResult)> callback) override
    {
        if (m_links.store != StoreLink::Up)
            fail(std::move(callback));
        else
            m_store->read(
                table, part, after, [this, callback](const store::PageResult& result) { answer(callback, result); });
    }
    void changes(const std::string& table, core::RowVersion after, core::Duration wait,
        std::function<void(store::PageResult)> callback) override
    {
        if (m_links.store != StoreLink::Up)
            fail(std::move(callback));
        else
            m_store->changes(
                table, after, wait, [this, callback](const store::PageResult& result) { answer(callback, result); });
    }

private:
    template <class Result> void answer(const std::function<void(Result)>& callback, const Result& result)
    {
        if (m_links.store == StoreLink::Up)
            m_loop->post([callback, result] { callback(result); });
        else
            fail(callback);
    }
    template <class Result> void fail(std::function<void(Result)> callback)
    {
        const bool isTurnedAway = m_links.store == StoreLink::TurnedAway;
        store::StoreFailure failure;
        failure.code = isTurnedAway ? store::StoreFailure::Code::Unavailable : store::StoreFailure::Code::Unknown;
        m_loop->callAfter(isTurnedAway ? ms(4) : ms(1000),
            [callback = std::move(callback), failure] { callback(core::Failure { failure }); });
    }

    runtime::ILoopPtr m_loop;
    std::shared_ptr<store::testing::FakeRowStore> m_store;
    const Links& m_links;
};

//! The workers as one node reaches them.
class PartitionedOrders : public fleet::IWorkerOrders {
public:
    PartitionedOrders(runtime::ILoopPtr loop, std::shared_ptr<fleet::testing::FakeWorkers> workers, Links& links)
        : m_loop(std::move(loop))
        , m_workers(std::move(workers))
        , m_links(links)
    {
    }

    void start(const fleet::WorkerAddress& to, const fleet::StartOrder& order,
        std::function<void(fleet::OrderResult)> callback) override
    {
        send(&fleet::IWorkerOrders::start, to, order, core::Duration(0), std::move(callback));
    }
    void stop(const fleet::WorkerAddress& to, const fleet::StopOrder& order,
        std::function<void(fleet::OrderResult)> callback) override
    {
        send(&fleet::IWorkerOrders::stop, to, order, core::Duration(0), std::move(callback));
    }
    void renewLease(const fleet::WorkerAddress& to, const fleet::LeaseRenewal& order,
        std::function<void(fleet::LeaseRenewalResult)> callback) override
    {
        send(&fleet::IWorkerOrders::renewLease, to, order, order.wait, std::move(callback));
    }
    void limitCpu(const fleet::WorkerAddress& to, const fleet::CpuLimitOrder& order,
        std::function<void(fleet::OrderResult)> callback) override
    {
        send(&fleet::IWorkerOrders::limitCpu, to, order, core::Duration(0), std::move(callback));
    }

private:
    template <class Order, class Result>
    using Call = void (fleet::IWorkerOrders::*)(const fleet::WorkerAddress&, const Order&, std::function<void(Result)>);

    template <class Order, class Result>
    void send(Call<Order, Result> call, const fleet::WorkerAddress& to, const Order& order, core::Duration wait,
        std::function<void(Result)> callback)
    {
        const auto deliver = [this, to](const std::function<void(Result)>& callback, const Result& result) {
            if (!m_links.cutWorkers.contains(to.id))
                m_loop->post([callback, result] { callback(result); });
        };
        // Answered at most once: by the worker, or when the sender's patience is over.
        const auto once = std::make_shared<std::function<void(Result)>>(std::move(callback));
        const auto answer = [once](const Result& result) {
            if (const auto it = std::exchange(*once, nullptr))
                it(result);
        };
        m_loop->callAfter(order.patience.answer + wait, [answer] {
            answer(core::Failure { fleet::OrderFailure { fleet::OrderFailure::Code::Unknown, "timeout" } });
        });
        const auto incarnation = m_workers->workers.at(to.id).startedAt;
        const auto carryOut = [this, call, to, order, deliver, answer, incarnation] {
            if (m_workers->workers.at(to.id).startedAt != incarnation)
                return; // it was on a connection to the former incarnation
            (m_workers.get()->*call)(to, order, [deliver, answer](const Result& result) { deliver(answer, result); });
        };
        if (!m_links.cutWorkers.contains(to.id))
            carryOut();
        else if (m_links.holdsBack)
            m_links.heldBack.push_back(carryOut);
    }

    runtime::ILoopPtr m_loop;
    std::shared_ptr<fleet::testing::FakeWorkers> m_workers;
    Links& m_links;
};

//! A registry whose entries do not change.
class FixedRegistry : public fleet::IWorkerRegistry {
public:
    FixedRegistry(runtime::ILoopPtr loop, std::vector<fleet::WorkerEntry> entries)
        : m_loop(std::move(loop))
        , m_entries(std::move(entries))
    {
    }
    void start(std::function<void(const std::vector<fleet::WorkerEntry>&)> changed) override
    {
        m_loop->post([changed = std::move(changed), entries = m_entries] { changed(entries); });
    }
    void stop() override { }

private:
    runtime::ILoopPtr m_loop;
    std::vector<fleet::WorkerEntry> m_entries;
};

struct Node;
using Nodes = std::vector<std::unique_ptr<Node>>;

//! An advice service that is never asked, as no queue needs advice.
class NoAdvice : public fleet::IAdviceClient {
public:
    void requestAdvice(const fleet::AdviceRequest&, std::function<void(fleet::AdviceResult)>) override { }
};

//! Carries the questions and polls of one node to the leader tasks of others.
class NodeClient : public http::IHttpClient {
public:
    NodeClient(runtime::ILoopPtr loop, core::HostPort self, Nodes& nodes)
        : m_loop(std::move(loop))
        , m_self(std::move(self))
        , m_nodes(nodes)
    {
    }
    void send(http::ClientRequest request, http::ClientCallback callback) override;

private:
    using Answer = std::function<void(std::string body)>;
    static LeaderMessage messageOf(const http::ClientRequest& request, const runtime::ILoopPtr& loop, Answer answer);

    runtime::ILoopPtr m_loop;
    core::HostPort m_self;
    Nodes& m_nodes;
};

struct Node {
    core::HostPort address;
    Links links;
    std::shared_ptr<NodeLoop> loop;
    std::shared_ptr<PartitionedStore> store;
    std::shared_ptr<LeaderTask> task;
    AdviceProxyPtr adviceProxy; //!< by its polls the leader knows the nodes
    bool isLeading = false;
    std::uint64_t term = 0; //!< of the leader that it knows
};

inline void NodeClient::send(http::ClientRequest request, http::ClientCallback callback)
{
    const auto answer = std::make_shared<http::ClientCallback>(std::move(callback));
    m_loop->callAfter(request.timeout, [answer] {
        if (const auto it = std::exchange(*answer, nullptr))
            it(core::Failure { http::ClientError { http::ClientError::Code::TimedOut, true, "timeout" } });
    });
    const auto found = std::find_if(
        m_nodes.begin(), m_nodes.end(), [&request](const auto& it) { return it->address == request.to; });
    if (found == m_nodes.end() || (*found)->links.cutNodes.contains(m_self))
        return;
    (*found)->task->address().send(messageOf(request, m_loop, [answer](std::string body) {
        if (const auto callback = std::exchange(*answer, nullptr))
            callback(http::ClientResponse(http::Response { 200, {}, std::move(body), {} }));
    }));
}

inline LeaderMessage NodeClient::messageOf(
    const http::ClientRequest& request, const runtime::ILoopPtr& loop, Answer answer)
{
    if (request.target == protocol::advicePollPath) {
        auto reply = [answer = std::move(answer)](
                         const protocol::AdviceAssignment& it) { answer(protocol::encodeAdviceAssignment(it)); };
        return PollAdvice { protocol::decodeAdvicePoll(request.body),
            runtime::Reply<protocol::AdviceAssignment>(loop, std::move(reply)) };
    }
    const protocol::LeaderHint hint = protocol::decodeLeaderHint(request.body);
    auto reply
        = [answer = std::move(answer)](const protocol::LeaderHint& it) { answer(protocol::encodeLeaderHint(it)); };
    return LeaderQuery { hint.isLeading ? hint.leader : std::nullopt, hint.isRejectedByStore,
        runtime::Reply<protocol::LeaderHint>(loop, std::move(reply)) };
}

//! Several nodes, one store and some workers on one paused clock, with links that can be cut one by one. Tasks run for
//! the milliseconds that their job's payload names. Records each task that ran twice.
class PartitionedCell {
public:
    //! `largeNode`: number of the node on a VM of eight cores; the VMs of the others have one.
    PartitionedCell(int nodeCount, int workerCount, std::int64_t milliCpu = 4000, int largeNode = -1)
        : m_loop(std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>()))
        , store(std::make_shared<store::testing::FakeRowStore>(m_loop))
        , workers(std::make_shared<fleet::testing::FakeWorkers>(m_loop))
    {
        workers->started
            = [this](fleet::testing::FakeWorker& worker, const fleet::StartOrder& order) { onStarted(worker, order); };
        workers->endAcknowledged = [this](const fleet::EndedRun& end) { onAcknowledged(end); };
        for (int n = 0; n < workerCount; ++n)
            addWorker(n, milliCpu);
        for (int n = 0; n < nodeCount; ++n)
            addNode(n, core::MilliCpu(n == largeNode ? 8000 : 1000));
        for (auto& it : m_nodes)
            it->task->start();
        watchLeases();
    }

    int nodeCount() const { return static_cast<int>(m_nodes.size()); }
    Node& node(int n) { return *m_nodes[static_cast<std::size_t>(n)]; }
    static core::VmId workerId(int n) { return core::VmId("w" + std::to_string(10 + n)); }
    void advance(core::Duration by) { m_loop->advance(by); }
    core::TimePoint now() const { return m_loop->now(); }

    //! Returns the number of the node that leads in the latest term, or -1.
    int leader() const
    {
        int found = -1;
        std::uint64_t term = 0;
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            if (m_nodes[n]->isLeading && m_nodes[n]->term > term) {
                term = m_nodes[n]->term;
                found = static_cast<int>(n);
            }
        }
        return found;
    }
    void waitForLeader()
    {
        for (int n = 0; n < 600 && leader() < 0; ++n)
            advance(ms(10));
        advance(ms(300));
    }

    void setWorkerCut(int nodeNumber, int worker, bool isCut)
    {
        Links& links = node(nodeNumber).links;
        if (isCut) {
            links.cutWorkers.insert(workerId(worker));
            return;
        }
        links.cutWorkers.erase(workerId(worker));
        for (runtime::Work& it : std::exchange(links.heldBack, {}))
            m_loop->callAfter(ms(1), std::move(it));
    }
    //! Cuts the link between two nodes, or restores it.
    void setNodeCut(int a, int b, bool isCut)
    {
        const auto set = [isCut](Links& links, const core::HostPort& other) {
            if (isCut)
                links.cutNodes.insert(other);
            else
                links.cutNodes.erase(other);
        };
        set(node(a).links, node(b).address);
        set(node(b).links, node(a).address);
    }

    //! Begins the next incarnation of a worker, which has seen no fence. Leaders that are elected later know it.
    void restartWorker(int n)
    {
        fleet::testing::FakeWorker& it = workers->workers.at(workerId(n));
        it.restart(m_loop->now());
        for (const fleet::TaskId& task : std::exchange(m_unacknowledged[&it], {})) {
            if (!m_tasks[task].isDoneAcknowledged)
                m_tasks[task].doneAt.reset(); // nobody can learn of this end any more
        }
        m_entries[std::size_t(n)].startedAt = it.startedAt;
    }

    //! Sends a job of one step to a node. Returns its outcome, if the answer came within the timeout.
    std::optional<workflow::WorkflowOutcome> submit(
        int nodeNumber, const std::string& id, std::uint32_t tasks, int workMs, bool isGang = false)
    {
        workflow::WorkflowCall call = callAbout(workflow::CallKind::Submit, id);
        call.spec.payload = std::to_string(workMs);
        workflow::StepSpec step;
        step.count = tasks;
        step.need = { core::MilliCpu(1000), core::MebiBytes(100), core::Accelerators(0) };
        step.estimate = ms(workMs);
        step.isGang = isGang;
        call.spec.steps = { step };
        return send(nodeNumber, std::move(call));
    }
    std::optional<workflow::WorkflowOutcome> read(int nodeNumber, const std::string& id)
    {
        return send(nodeNumber, callAbout(workflow::CallKind::Read, id));
    }
    std::optional<workflow::WorkflowOutcome> cancel(int nodeNumber, const std::string& id)
    {
        return send(nodeNumber, callAbout(workflow::CallKind::Cancel, id));
    }
    std::optional<workflow::JobState> stateOf(int nodeNumber, const std::string& id)
    {
        std::optional<workflow::JobState> state;
        ask(nodeNumber, callAbout(workflow::CallKind::Read, id), [&state](const workflow::WorkflowResult& it) {
            if (it.outcome == workflow::WorkflowOutcome::Found)
                state = it.state;
        });
        return state;
    }

    //! Returns the numbers of the workers on which tasks of a job run.
    std::vector<int> workersOf(const std::string& id) const
    {
        std::vector<int> found;
        for (int n = 0; n < int(m_entries.size()); ++n) {
            const auto& running = workers->workers.at(workerId(n)).running;
            if (std::any_of(
                    running.begin(), running.end(), [&id](const auto& it) { return it.first.task.job.value() == id; }))
                found.push_back(n);
        }
        return found;
    }

private:
    runtime::ManualLoopPtr m_loop;

public:
    std::shared_ptr<store::testing::FakeRowStore> store;
    std::shared_ptr<fleet::testing::FakeWorkers> workers;
    std::vector<std::string> ranTwice; //!< descriptions of tasks that ran twice
    int starts = 0;

private:
    struct TaskHistory {
        std::vector<core::TimePoint> startedAt;
        std::optional<core::TimePoint> doneAt;
        bool isDoneAcknowledged = false;
        bool isLeaseOver = false; //!< the lease ended between the end and its acknowledgement
    };

    static workflow::WorkflowCall callAbout(workflow::CallKind kind, const std::string& id)
    {
        workflow::WorkflowCall call;
        call.kind = kind;
        call.spec.id = core::JobId(id);
        return call;
    }
    std::optional<workflow::WorkflowOutcome> send(int nodeNumber, workflow::WorkflowCall call)
    {
        std::optional<workflow::WorkflowOutcome> outcome;
        ask(nodeNumber, std::move(call), [&outcome](const workflow::WorkflowResult& it) { outcome = it.outcome; });
        return outcome;
    }
    template <class Function> void ask(int nodeNumber, workflow::WorkflowCall call, Function function)
    {
        call.host = "h";
        call.path = "/q/" + call.spec.id.value();
        call.timeout = ms(400);
        const auto got = std::make_shared<std::optional<workflow::WorkflowResult>>();
        node(nodeNumber)
            .task->address()
            .send(LeaderCall { call, callReply(m_loop, [got](const workflow::WorkflowResult& it) { *got = it; }) });
        for (int n = 0; n < 100 && !*got; ++n)
            advance(ms(5));
        if (*got)
            function(**got);
    }

    void addWorker(int n, std::int64_t milliCpu)
    {
        fleet::WorkerEntry entry;
        entry.id = workerId(n);
        entry.startedAt = fleet::WorkerStartTime(1);
        entry.address = { "127.0.0.1", std::uint16_t(100 + n) };
        entry.service = core::ServiceId("s");
        entry.capacity = { core::MilliCpu(milliCpu), core::MebiBytes(8000), core::Accelerators(0) };
        entry.rack = "r-1";
        m_entries.push_back(entry);
        workers->workers[entry.id].startedAt = entry.startedAt;
    }

    void addNode(int n, core::MilliCpu vmCpu)
    {
        auto it = std::make_unique<Node>();
        it->address = { "127.0.0.1", std::uint16_t(7000 + n) };
        it->loop = std::make_shared<NodeLoop>(m_loop);
        it->store = std::make_shared<PartitionedStore>(it->loop, store, it->links);
        LeaderTaskDependencies dependencies;
        dependencies.store = it->store;
        dependencies.orders = std::make_shared<PartitionedOrders>(it->loop, workers, it->links);
        dependencies.makeRegistry
            = [this, loop = it->loop] { return std::make_shared<FixedRegistry>(loop, m_entries); };
        const auto client = std::make_shared<NodeClient>(it->loop, it->address, m_nodes);
        dependencies.client = client;
        dependencies.metrics = telemetry::Metrics::create();
        dependencies.self = core::NodeId("n" + std::to_string(n));
        dependencies.address = it->address;
        dependencies.vmCpu = vmCpu;
        dependencies.update = [node = it.get()](const LeaderUpdate& update) {
            node->isLeading = update.isSelf;
            node->term = update.leader ? update.leader->term.value() : 0;
            node->adviceProxy->address().send(update);
        };
        const core::NodeId id = dependencies.self;
        it->task = LeaderTask::create(it->loop, std::move(dependencies));
        it->adviceProxy = AdviceProxy::create(
            it->loop, client, it->task->address(), std::make_shared<NoAdvice>(), id, it->address, vmCpu);
        it->task->address().send(configuration());
        m_nodes.push_back(std::move(it));
    }

    static workflow::QueueConfigPtr configuration()
    {
        workflow::QueuePolicy queue;
        queue.name = "q";
        queue.host = "h";
        queue.pathPrefix = "/q/";
        queue.service = core::ServiceId("s");
        queue.maxAttempts = 3;
        queue.stretch = 100;
        queue.latencyTarget = ms(100'000);
        workflow::QueueConfig config;
        config.version = core::ConfigVersion(1);
        config.queues.push_back(queue);
        return std::make_shared<const workflow::QueueConfig>(config);
    }

    bool isLeaseOver(const fleet::testing::FakeWorker& it) const { return it.leaseUntil < workers->clockOf(it); }

    void onStarted(fleet::testing::FakeWorker& worker, const fleet::StartOrder& order)
    {
        ++starts;
        const fleet::TaskId& task = order.runId.task;
        TaskHistory& history = m_tasks[task];
        for (const auto& [id, other] : workers->workers) {
            if (&other == &worker || isLeaseOver(other))
                continue;
            const bool runsThere = std::any_of(other.running.begin(), other.running.end(),
                [&task](const auto& run) { return run.first.task == task; });
            if (runsThere)
                addTwice("two runs at once", order.runId);
        }
        if (history.isDoneAcknowledged)
            addTwice("started after an end that was acknowledged", order.runId);
        history.startedAt.push_back(m_loop->now());
        m_loop->callAfter(ms(std::stoll(order.payload)), [this, &worker, run = order.runId] {
            if (!worker.running.contains(run) || isLeaseOver(worker))
                return;
            worker.end(run, fleet::EndKind::Done);
            if (!m_tasks[run.task].doneAt)
                m_tasks[run.task].doneAt = m_loop->now();
            m_unacknowledged[&worker].push_back(run.task);
        });
    }

    void onAcknowledged(const fleet::EndedRun& end)
    {
        TaskHistory& history = m_tasks[end.runId.task];
        if (end.kind != fleet::EndKind::Done || history.isLeaseOver)
            return;
        history.isDoneAcknowledged = true;
        if (history.startedAt.back() > *history.doneAt)
            addTwice("started after an end that was acknowledged later", end.runId);
    }

    void addTwice(const char* why, const fleet::RunId& run)
    {
        ranTwice.push_back(std::string(why) + ": " + fleet::textOf(run.task) + " run " + std::to_string(run.run.value())
            + " at " + std::to_string(core::toMs(m_loop->now() - m_beganAt)));
    }

    //! Notes the ends of leases: an end that is acknowledged after them is no evidence of a second run.
    void watchLeases()
    {
        for (auto& [id, it] : workers->workers) {
            if (!isLeaseOver(it))
                continue;
            for (const fleet::TaskId& task : std::exchange(m_unacknowledged[&it], {}))
                m_tasks[task].isLeaseOver = !m_tasks[task].isDoneAcknowledged;
        }
        m_loop->callAfter(ms(20), [this] { watchLeases(); });
    }

    std::vector<fleet::WorkerEntry> m_entries;
    Nodes m_nodes;
    std::map<fleet::TaskId, TaskHistory> m_tasks;
    std::map<const fleet::testing::FakeWorker*, std::vector<fleet::TaskId>> m_unacknowledged;
    core::TimePoint m_beganAt = m_loop->now();
};

} // namespace sardinerun::dispatch::testing

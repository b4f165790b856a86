//! Election of this node, its engine while it leads, and the messages to its task.

#include "dispatch/leadertask.h"

#include "telemetry/log.h"

namespace sardinerun::dispatch {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

//! A VM with less than this part (two thirds) of the largest VM's cores is a much worse leader.
constexpr std::int64_t smallVmFactor = 2;
constexpr std::int64_t smallVmDivisor = 3;
//! Interval between queries to other nodes while no leader is known or the known one is suspected.
constexpr core::Duration leaderQueryPeriod = std::chrono::milliseconds(250);
//! A node that has not polled for this long is no longer listed to the other nodes.
constexpr core::Duration proxyRetention = std::chrono::seconds(10);
constexpr core::Duration lagTimerPeriod = std::chrono::milliseconds(50);
constexpr core::Duration speedSamplePeriod = std::chrono::milliseconds(100);
//! How long an overloaded node does not stand for election after it has released the leadership.
constexpr core::Duration overloadPause = std::chrono::seconds(6);

} // namespace

LeaderTaskPtr LeaderTask::create(runtime::ILoopPtr loop, LeaderTaskDependencies dependencies)
{
    return std::make_shared<LeaderTask>(std::move(loop), std::move(dependencies));
}

LeaderTask::LeaderTask(runtime::ILoopPtr loop, LeaderTaskDependencies dependencies)
    : Task(std::move(loop))
    , m_dependencies(std::move(dependencies))
    , m_lag(lagTimerPeriod)
{
}

void LeaderTask::start()
{
    const auto self = std::static_pointer_cast<LeaderTask>(shared_from_this());
    lead::ElectionHooks hooks;
    hooks.leaderSeen = [weak = std::weak_ptr(self)](const std::optional<lead::LeaderRow>& leader) {
        if (const auto it = weak.lock())
            it->onLeader(leader);
    };
    hooks.won = [weak = std::weak_ptr(self)](const lead::WonElection& won) {
        if (const auto it = weak.lock())
            it->onWon(won);
    };
    m_election = lead::Election::create(loop(), m_dependencies.store, m_dependencies.self, m_dependencies.address,
        m_dependencies.leaderTimes, m_dependencies.candidacyDelay, std::move(hooks));
    m_election->start();
    every(leaderQueryPeriod, [this] { queryNextNode(); });
    every(m_dependencies.leaderTimes.replacementCheckPeriod, [this] { checkReplacement(); });
    every(lagTimerPeriod, [this] { checkLoad(); });
    every(speedSamplePeriod, [this] { sampleSpeed(); });
}

void LeaderTask::receive(LeaderMessage message)
{
    std::visit([this](auto& it) { handle(std::move(it)); }, message);
}

void LeaderTask::onLeader(const std::optional<lead::LeaderRow>& leader)
{
    const bool isOther = leader && (!m_engine || leader->term > m_term);
    const bool isNew
        = !leader || !m_leader || leader->term != m_leader->term || leader->isReleased != m_leader->isReleased;
    if (m_engine && leader && leader->term > m_term)
        onLeadershipLost("the leader row names " + leader->node.value());
    if (isNew)
        LogLine(Severity::Info, "leader")
            .with("node", leader ? leader->node.value() : "")
            .with("term", leader ? std::int64_t(leader->term.value()) : 0)
            .with("released", std::int64_t(leader && leader->isReleased));
    m_leader = leader;
    if (isNew && (isOther || !leader))
        publishLeader(leader && !leader->isReleased ? leader : std::nullopt);
}

void LeaderTask::publishLeader(const std::optional<lead::LeaderRow>& leader)
{
    m_publishedLeader = leader;
    m_isSuspected = false;
    m_dependencies.update({ leader, m_engine != nullptr });
}

void LeaderTask::logWon(const lead::WonElection& won) const
{
    LogLine line(Severity::Info, "lead-won");
    line.with("term", std::int64_t(won.leader.term.value()));
    if (!won.former)
        return;
    const lead::LeaderRow& former = won.former->row;
    line.with("formerNode", former.node.value())
        .with("formerTerm", std::int64_t(former.term.value()))
        .with("formerSeenMs", core::toMs(now() - won.former->seenAt))
        .with("formerReleased", std::int64_t(former.isReleased))
        .with("formerSettled", std::int64_t(former.isSettled));
}

void LeaderTask::onWon(const lead::WonElection& won)
{
    logWon(won);
    m_dependencies.metrics->set(telemetry::Metric::Leading, {}, 1);
    m_term = won.leader.term;
    m_yieldPolicy.emplace(now(), won.former && won.former->row.wasOverloaded);
    m_lag.reset();
    m_isYielding = false;
    m_possibleLeaders.clear();
    m_possibleLeaders.insert(m_nodes.begin(), m_nodes.end());
    m_advice = scheduling::AdviceQueue::create(loop());
    scheduling::EngineDependencies dependencies { loop(), m_dependencies.store, m_dependencies.orders, m_advice,
        m_dependencies.metrics, m_dependencies.times, m_dependencies.leaderTimes, m_dependencies.ratePolicy,
        m_dependencies.learnedUses };
    const std::weak_ptr weak = std::static_pointer_cast<LeaderTask>(shared_from_this());
    scheduling::EngineHooks hooks;
    hooks.rejectedByStore = [weak, term = m_term] {
        const auto it = weak.lock();
        if (it && it->m_engine && it->m_term == term)
            it->inviteOthers();
    };
    hooks.leadershipLost = [weak, term = m_term](const std::string& why) {
        const auto it = weak.lock();
        if (!it)
            return;
        // Deferred, since ending the leadership destroys the engine that makes this call.
        it->loop()->post([weak, term, why] {
            const auto it = weak.lock();
            if (it && it->m_engine && it->m_term == term)
                it->onLeadershipLost(why);
        });
    };
    m_engine = scheduling::Engine::create(std::move(dependencies), won, std::move(hooks));
    if (m_config)
        m_engine->setConfig(m_config);
    m_engine->start();
    m_registry = m_dependencies.makeRegistry();
    m_registry->start([weak, term = m_term](const std::vector<fleet::WorkerEntry>& entries) {
        const auto it = weak.lock();
        if (it && it->m_engine && it->m_term == term)
            it->m_engine->setWorkers(entries);
    });
    publishLeader(won.leader);
    if (won.former && !won.former->row.isReleased)
        queryFormerLeader(won.former->row.address, m_term);
}

void LeaderTask::sampleSpeed()
{
    const core::TimePoint before = now();
    m_speedSample = computeSpeedSample();
    m_speed.onSample(now() - before);
}

void LeaderTask::checkLoad()
{
    m_lag.onTimer(now());
    if (!m_engine)
        return;
    m_engine->setLoopLateness(m_lag.lateness());
    if (!m_isYielding && m_yieldPolicy->mustYield(now(), m_lag.isOverloaded(), m_speed.isSlowed()))
        yieldLeadership();
}

void LeaderTask::yieldLeadership()
{
    m_isYielding = true;
    LogLine(Severity::Warning, "lead-yielded")
        .with("term", std::int64_t(m_term.value()))
        .with("latenessMs", m_lag.lateness() / std::chrono::milliseconds(1))
        .with("vmSlowed", std::int64_t(m_speed.isSlowed()));
    const std::weak_ptr weak = std::static_pointer_cast<LeaderTask>(shared_from_this());
    m_engine->release(true, [weak, term = m_term] {
        const auto it = weak.lock();
        if (!it)
            return;
        // Deferred, since ending the leadership destroys the engine that makes this call.
        it->loop()->post([weak, term] {
            const auto it = weak.lock();
            if (!it || !it->m_engine || it->m_term != term)
                return;
            it->endLeadership();
            it->m_election->resume(overloadPause);
        });
    });
}

void LeaderTask::onLeadershipLost(const std::string& why)
{
    LogLine(Severity::Warning, "lead-lost").with("term", std::int64_t(m_term.value())).with("why", why);
    endLeadership();
    m_election->resume();
}

void LeaderTask::endLeadership()
{
    m_dependencies.metrics->set(telemetry::Metric::Leading, {}, 0);
    if (m_registry)
        m_registry->stop();
    m_registry.reset();
    m_engine.reset();
    m_advice.reset();
    publishLeader(std::nullopt);
}

void LeaderTask::handle(LeaderCall message)
{
    if (!m_engine) {
        workflow::WorkflowResult answer;
        answer.reason = "not-leading";
        message.reply.send(answer);
        return;
    }
    m_engine->handle(message.call,
        [reply = std::move(message.reply)](const workflow::WorkflowResult& answer) { reply.send(answer); });
}

void LeaderTask::handle(PollAdvice message)
{
    if (!m_engine || message.poll.term != m_term) {
        message.reply.send({});
        return;
    }
    m_adviceProxies[message.poll.address] = { now(), message.poll.vmCpu };
    if (message.poll.address != m_dependencies.address)
        m_possibleLeaders.insert(message.poll.address);
    if (message.poll.requestId > 0 && message.poll.result)
        m_advice->answer(message.poll.requestId, *message.poll.result);
    const std::weak_ptr weak = std::static_pointer_cast<LeaderTask>(shared_from_this());
    m_advice->poll(message.poll.node,
        [reply = std::move(message.reply), weak](
            scheduling::AdviceQueue::RequestId id, const fleet::AdviceRequest& request) {
            protocol::AdviceAssignment assignment { id, request, {} };
            const auto it = weak.lock();
            // An assignment without a request is not urgent, so it also lists the other nodes.
            reply.send(id == 0 && it ? it->withKnownNodes(std::move(assignment)) : std::move(assignment));
        });
}

void LeaderTask::handle(workflow::QueueConfigPtr config)
{
    m_config = std::move(config);
    if (m_engine)
        m_engine->setConfig(m_config);
}

void LeaderTask::handle(StepDown message)
{
    m_election->retire();
    if (!m_engine) {
        message.reply.send(true);
        return;
    }
    const std::weak_ptr weak = std::static_pointer_cast<LeaderTask>(shared_from_this());
    m_engine->release(false, [weak, reply = std::move(message.reply)] {
        const auto it = weak.lock();
        if (!it)
            return;
        // Deferred, since ending the leadership destroys the engine that makes this call.
        it->loop()->post([weak, reply] {
            if (const auto it = weak.lock()) {
                LogLine(Severity::Info, "lead-released").with("term", std::int64_t(it->m_term.value()));
                it->endLeadership();
            }
            reply.send(true);
        });
    });
}

void LeaderTask::handle(const LeaderQuery& message)
{
    const auto& requester = message.requester;
    if (m_engine && requester && requester->term > m_term)
        onLeadershipLost("another node has won a later term");
    const bool isNewer = requester && !m_engine && (!m_publishedLeader || requester->term > m_publishedLeader->term)
        && (!m_leader || requester->term >= m_leader->term);
    if (isNewer)
        publishLeader(requester);
    if (message.isRejectedByStore && requester && !m_engine)
        m_election->invite(requester->term);
    message.reply.send({ m_engine != nullptr, false, m_publishedLeader });
}

void LeaderTask::handle(KnownNodes message)
{
    std::erase(message.nodes, m_dependencies.address);
    m_dependencies.nodesKnown(message);
    m_election->setOutclassed(m_dependencies.vmCpu * smallVmDivisor < message.largestVmCpu * smallVmFactor);
    m_nodes = std::move(message.nodes);
}

void LeaderTask::handle(LeaderSuspected message)
{
    if (m_engine || !m_publishedLeader || m_publishedLeader->term != message.term)
        return;
    m_isSuspected = message.isSuspected;
    m_election->setSuspected(m_isSuspected);
}

protocol::AdviceAssignment LeaderTask::withKnownNodes(protocol::AdviceAssignment assignment)
{
    const core::TimePoint oldest = now() - proxyRetention;
    std::erase_if(m_adviceProxies, [oldest](const auto& it) { return it.second.polledAt < oldest; });
    assignment.nodes.push_back(m_dependencies.address);
    for (const auto& [address, node] : m_adviceProxies) {
        assignment.nodes.push_back(address);
        // This node polls itself, too. It is the one to be replaced, so nobody waits for its VM.
        if (address != m_dependencies.address)
            assignment.largestVmCpu = std::max(assignment.largestVmCpu, node.vmCpu);
    }
    return assignment;
}

} // namespace sardinerun::dispatch

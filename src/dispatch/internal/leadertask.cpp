#include "dispatch/leadertask.h"

#include "codec/json.h"
#include "telemetry/log.h"

namespace sardinerun::dispatch {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

//! Between two questions to other nodes, while no leader is known or the known one is silent.
constexpr core::Duration lookPeriod = std::chrono::milliseconds(250);
//! A node that has not lent a turn for so long is not told to others.
constexpr core::Duration lenderMemory = std::chrono::seconds(10);
constexpr core::Duration lagPeriod = std::chrono::milliseconds(50);
//! A leader that has just won is busy with taking over.
constexpr core::Duration yieldPause = std::chrono::milliseconds(1500);
//! When the former leader was overloaded too, the load and not the VM is the cause, and changing leaders would add to
//! it.
constexpr core::Duration longYieldPause = std::chrono::seconds(12);
//! How long a node that was overloaded does not stand for election.
constexpr core::Duration overloadRest = std::chrono::seconds(6);
constexpr core::Duration formerRetry = std::chrono::milliseconds(400);
constexpr core::Duration formerPatience = std::chrono::milliseconds(500);

} // namespace

LeaderTaskPtr LeaderTask::create(runtime::ILoopPtr loop, LeaderTaskDependencies dependencies)
{
    return std::make_shared<LeaderTask>(std::move(loop), std::move(dependencies));
}

LeaderTask::LeaderTask(runtime::ILoopPtr loop, LeaderTaskDependencies dependencies)
    : Task(std::move(loop))
    , m_dependencies(std::move(dependencies))
    , m_lag(lagPeriod)
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
        m_dependencies.leadTimes, m_dependencies.candidacyDelay, std::move(hooks));
    m_election->start();
    every(lookPeriod, [this] { lookForLeader(); });
    every(lagPeriod, [this] { checkLag(); });
}

void LeaderTask::receive(LeaderMessage message)
{
    std::visit([this](auto& it) { take(std::move(it)); }, message);
}

void LeaderTask::onLeader(const std::optional<lead::LeaderRow>& leader)
{
    const bool isOther = leader && (!m_engine || leader->term > m_term);
    const bool isNew
        = !leader || !m_leader || leader->term != m_leader->term || leader->isReleased != m_leader->isReleased;
    if (m_engine && leader && leader->term > m_term)
        onLeadershipLost("the row names " + leader->node.value());
    if (isNew)
        LogLine(Severity::Info, "leader")
            .with("node", leader ? leader->node.value() : "")
            .with("term", leader ? std::int64_t(leader->term.value()) : 0)
            .with("released", std::int64_t(leader && leader->isReleased));
    m_leader = leader;
    if (isNew && (isOther || !leader))
        tellNews(leader && !leader->isReleased ? leader : std::nullopt);
}

void LeaderTask::tellNews(const std::optional<lead::LeaderRow>& leader)
{
    m_told = leader;
    m_isSuspected = false;
    m_dependencies.news({ leader, m_engine != nullptr });
}

void LeaderTask::onWon(const lead::WonElection& won)
{
    LogLine(Severity::Info, "lead-won")
        .with("term", std::int64_t(won.leader.term.value()))
        .with("formerReleased", std::int64_t(won.isFormerReleased));
    m_dependencies.metrics->set(telemetry::Metric::Leading, {}, 1);
    m_term = won.leader.term;
    m_mayYieldAt = now() + (won.wasFormerOverloaded ? longYieldPause : yieldPause);
    m_lag.reset();
    m_isYielding = false;
    m_advice = scheduling::AdviceQueue::create(loop());
    scheduling::EngineDependencies dependencies { loop(), m_dependencies.store, m_dependencies.orders, m_advice,
        m_dependencies.metrics, m_dependencies.times, m_dependencies.leadTimes };
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
        // Not from within the engine, which ends with this.
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
    tellNews(won.leader);
    if (won.hadFormer && !won.isFormerReleased)
        askFormer(won.formerAddress, m_term);
}

void LeaderTask::askNode(const core::HostPort& node, bool isRejectedByStore,
    std::function<void(const std::optional<protocol::LeaderHint>&)> answered)
{
    http::ClientRequest request;
    request.to = node;
    request.method = "POST";
    request.target = protocol::leaderQueryPath;
    request.body
        = protocol::encodeLeaderHint({ m_engine != nullptr, isRejectedByStore, m_engine ? m_told : std::nullopt });
    request.timeout = formerPatience;
    m_dependencies.client->send(std::move(request), [answered = std::move(answered)](const http::ClientResult& result) {
        if (!result || result.value().status != 200) {
            answered(std::nullopt);
            return;
        }
        try {
            answered(protocol::decodeLeaderHint(result.value().body));
        } catch (const codec::DecodeError& error) {
            LogLine(Severity::Warning, "hint-unreadable").with("why", error.what());
            answered(std::nullopt);
        }
    });
}

void LeaderTask::inviteOthers()
{
    LogLine(Severity::Warning, "followers-invited")
        .with("term", std::int64_t(m_term.value()))
        .with("nodes", std::int64_t(m_adviceProxies.size()));
    for (const auto& [address, at] : m_adviceProxies) {
        if (address != m_dependencies.address)
            askNode(address, true, [](const std::optional<protocol::LeaderHint>&) {});
    }
}

void LeaderTask::checkLag()
{
    m_lag.onTimer(now());
    if (!m_engine || m_isYielding || now() < m_mayYieldAt || !m_lag.isOverloaded())
        return;
    m_isYielding = true;
    LogLine(Severity::Warning, "lead-yielded")
        .with("term", std::int64_t(m_term.value()))
        .with("latenessMs", m_lag.lateness() / std::chrono::milliseconds(1));
    const std::weak_ptr weak = std::static_pointer_cast<LeaderTask>(shared_from_this());
    m_engine->release(true, [weak, term = m_term] {
        const auto it = weak.lock();
        if (!it)
            return;
        // Not from within the engine, which ends with this.
        it->loop()->post([weak, term] {
            const auto it = weak.lock();
            if (!it || !it->m_engine || it->m_term != term)
                return;
            it->endLeadership();
            it->m_election->resume(overloadRest);
        });
    });
}

void LeaderTask::lookForLeader()
{
    if (m_engine || (m_told && !m_isSuspected) || m_nodes.empty())
        return;
    const core::HostPort node = m_nodes[m_nextNode++ % m_nodes.size()];
    const std::weak_ptr weak = std::static_pointer_cast<LeaderTask>(shared_from_this());
    askNode(node, false, [weak](const std::optional<protocol::LeaderHint>& hint) {
        const auto it = weak.lock();
        const bool isNews = it && hint && hint->leader && !it->m_engine
            && (!it->m_told || hint->leader->term > it->m_told->term)
            && (!it->m_leader || hint->leader->term > it->m_leader->term);
        if (!isNews || hint->leader->isReleased)
            return;
        LogLine(Severity::Info, "leader-hinted")
            .with("node", hint->leader->node.value())
            .with("term", std::int64_t(hint->leader->term.value()));
        it->tellNews(hint->leader);
    });
}

void LeaderTask::askFormer(const core::HostPort& former, core::Epoch term)
{
    if (former == m_dependencies.address) {
        m_engine->setFormerLeaderGone();
        return;
    }
    const std::weak_ptr weak = std::static_pointer_cast<LeaderTask>(shared_from_this());
    askNode(former, false, [weak, former, term](const std::optional<protocol::LeaderHint>& hint) {
        const auto it = weak.lock();
        if (!it || !it->m_engine || it->m_term != term)
            return;
        if (hint && !hint->isLeading) {
            LogLine(Severity::Info, "former-leader-gone").with("address", former.text());
            it->m_engine->setFormerLeaderGone();
            return;
        }
        it->loop()->callAfter(formerRetry, [weak, former, term] {
            const auto it = weak.lock();
            if (it && it->m_engine && it->m_term == term)
                it->askFormer(former, term);
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
    tellNews(std::nullopt);
}

void LeaderTask::take(LeaderCall message)
{
    if (!m_engine) {
        workflow::WorkflowResult answer;
        answer.reason = "not-leading";
        message.reply.send(answer);
        return;
    }
    auto reply = std::make_shared<runtime::Reply<workflow::WorkflowResult>>(std::move(message.reply));
    m_engine->handle(message.call, [reply](const workflow::WorkflowResult& answer) { reply->send(answer); });
}

void LeaderTask::take(PollAdvice message)
{
    if (!m_engine || message.turn.term != m_term) {
        message.reply.send({});
        return;
    }
    m_adviceProxies[message.turn.address] = now();
    if (message.turn.requestId > 0 && message.turn.result)
        m_advice->answer(message.turn.requestId, *message.turn.result);
    auto reply = std::make_shared<runtime::Reply<protocol::AdviceAssignment>>(std::move(message.reply));
    const std::weak_ptr weak = std::static_pointer_cast<LeaderTask>(shared_from_this());
    m_advice->lend(
        message.turn.node, [reply, weak](scheduling::AdviceQueue::QuestionId id, const fleet::AdviceRequest& requestId) {
            protocol::AdviceAssignment turn { id, requestId, {} };
            const auto it = weak.lock();
            // A turn without a question has time to tell who else there is.
            reply->send(id == 0 && it ? it->withNodes(std::move(turn)) : std::move(turn));
        });
}

void LeaderTask::take(workflow::QueueConfigPtr config)
{
    m_config = std::move(config);
    if (m_engine)
        m_engine->setConfig(m_config);
}

void LeaderTask::take(StepDown message)
{
    m_election->retire();
    if (!m_engine) {
        message.reply.send(true);
        return;
    }
    auto reply = std::make_shared<runtime::Reply<bool>>(std::move(message.reply));
    const std::weak_ptr weak = std::static_pointer_cast<LeaderTask>(shared_from_this());
    m_engine->release(false, [weak, reply] {
        const auto it = weak.lock();
        if (!it)
            return;
        // Not from within the engine, which ends with this.
        it->loop()->post([weak, reply] {
            if (const auto it = weak.lock()) {
                LogLine(Severity::Info, "lead-released").with("term", std::int64_t(it->m_term.value()));
                it->endLeadership();
            }
            reply->send(true);
        });
    });
}

void LeaderTask::take(LeaderQuery message)
{
    const auto& requester = message.requester;
    if (m_engine && requester && requester->term > m_term)
        onLeadershipLost("another node has won a later term");
    const bool isNews = requester && !m_engine && (!m_told || requester->term > m_told->term)
        && (!m_leader || requester->term >= m_leader->term);
    if (isNews)
        tellNews(requester);
    if (message.isRejectedByStore && requester && !m_engine)
        m_election->invite(requester->term);
    message.reply.send({ m_engine != nullptr, false, m_told });
}

void LeaderTask::take(KnownNodes message)
{
    std::erase(message.nodes, m_dependencies.address);
    m_nodes = std::move(message.nodes);
}

void LeaderTask::take(LeaderSuspected message)
{
    if (m_engine || !m_told || m_told->term != message.term)
        return;
    m_isSuspected = message.isSuspected;
    m_election->setSuspected(m_isSuspected);
}

protocol::AdviceAssignment LeaderTask::withNodes(protocol::AdviceAssignment turn)
{
    const core::TimePoint oldest = now() - lenderMemory;
    std::erase_if(m_adviceProxies, [oldest](const auto& it) { return it.second < oldest; });
    turn.nodes.push_back(m_dependencies.address);
    for (const auto& [address, at] : m_adviceProxies)
        turn.nodes.push_back(address);
    return turn;
}

} // namespace sardinerun::dispatch

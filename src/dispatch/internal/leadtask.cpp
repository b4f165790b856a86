#include "dispatch/leadtask.h"

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

LeadTaskPtr LeadTask::create(runtime::ILoopPtr loop, LeadParts parts)
{
    return std::make_shared<LeadTask>(std::move(loop), std::move(parts));
}

LeadTask::LeadTask(runtime::ILoopPtr loop, LeadParts parts)
    : Task(std::move(loop))
    , m_parts(std::move(parts))
    , m_lag(lagPeriod)
{
}

void LeadTask::start()
{
    const auto self = std::static_pointer_cast<LeadTask>(shared_from_this());
    lead::ElectionHooks hooks;
    hooks.leaderSeen = [weak = std::weak_ptr(self)](const std::optional<lead::LeaderRow>& leader) {
        if (const auto it = weak.lock())
            it->onLeader(leader);
    };
    hooks.won = [weak = std::weak_ptr(self)](const lead::Won& won) {
        if (const auto it = weak.lock())
            it->onWon(won);
    };
    m_election = lead::Election::create(
        loop(), m_parts.store, m_parts.self, m_parts.address, m_parts.leadTimes, m_parts.handicap, std::move(hooks));
    m_election->start();
    every(lookPeriod, [this] { lookForLeader(); });
    every(lagPeriod, [this] { checkLag(); });
}

void LeadTask::receive(LeadMessage message)
{
    std::visit([this](auto& it) { take(std::move(it)); }, message);
}

void LeadTask::onLeader(const std::optional<lead::LeaderRow>& leader)
{
    const bool isOther = leader && (!m_engine || leader->term > m_term);
    const bool isNew
        = !leader || !m_leader || leader->term != m_leader->term || leader->isReleased != m_leader->isReleased;
    if (m_engine && leader && leader->term > m_term)
        onDeposed("the row names " + leader->node.value());
    if (isNew)
        LogLine(Severity::Info, "leader")
            .with("node", leader ? leader->node.value() : "")
            .with("term", leader ? std::int64_t(leader->term.value()) : 0)
            .with("released", std::int64_t(leader && leader->isReleased));
    m_leader = leader;
    if (isNew && (isOther || !leader))
        tellNews(leader && !leader->isReleased ? leader : std::nullopt);
}

void LeadTask::tellNews(const std::optional<lead::LeaderRow>& leader)
{
    m_told = leader;
    m_isDoubted = false;
    m_parts.news({ leader, m_engine != nullptr });
}

void LeadTask::onWon(const lead::Won& won)
{
    LogLine(Severity::Info, "lead-won")
        .with("term", std::int64_t(won.leader.term.value()))
        .with("formerReleased", std::int64_t(won.isFormerReleased));
    m_parts.metrics->set(telemetry::Metric::Leading, {}, 1);
    m_term = won.leader.term;
    m_mayYieldAt = now() + (won.wasFormerOverloaded ? longYieldPause : yieldPause);
    m_lag.reset();
    m_isYielding = false;
    m_advice = scheduling::AdviceDesk::create(loop());
    scheduling::EngineParts parts { loop(), m_parts.store, m_parts.orders, m_advice, m_parts.metrics, m_parts.times,
        m_parts.leadTimes };
    const std::weak_ptr weak = std::static_pointer_cast<LeadTask>(shared_from_this());
    scheduling::EngineHooks hooks;
    hooks.turnedAway = [weak, term = m_term] {
        const auto it = weak.lock();
        if (it && it->m_engine && it->m_term == term)
            it->inviteOthers();
    };
    hooks.deposed = [weak, term = m_term](const std::string& why) {
        const auto it = weak.lock();
        if (!it)
            return;
        // Not from within the engine, which ends with this.
        it->loop()->post([weak, term, why] {
            const auto it = weak.lock();
            if (it && it->m_engine && it->m_term == term)
                it->onDeposed(why);
        });
    };
    m_engine = scheduling::Engine::create(std::move(parts), won, std::move(hooks));
    if (m_config)
        m_engine->setConfig(m_config);
    m_engine->start();
    m_register = m_parts.makeRegister();
    m_register->start([weak, term = m_term](const std::vector<fleet::WorkerEntry>& entries) {
        const auto it = weak.lock();
        if (it && it->m_engine && it->m_term == term)
            it->m_engine->setWorkers(entries);
    });
    tellNews(won.leader);
    if (won.hadFormer && !won.isFormerReleased)
        askFormer(won.formerAddress, m_term);
}

void LeadTask::askNode(const core::HostPort& node, bool isTurnedAway,
    std::function<void(const std::optional<protocol::LeaderHint>&)> answered)
{
    http::ClientRequest request;
    request.to = node;
    request.method = "POST";
    request.target = protocol::leadingPath;
    request.body = protocol::encodeHint({ m_engine != nullptr, isTurnedAway, m_engine ? m_told : std::nullopt });
    request.timeout = formerPatience;
    m_parts.client->send(std::move(request), [answered = std::move(answered)](const http::ClientResult& result) {
        if (!result || result.value().status != 200) {
            answered(std::nullopt);
            return;
        }
        try {
            answered(protocol::decodeHint(result.value().body));
        } catch (const codec::DecodeError& error) {
            LogLine(Severity::Warning, "hint-unreadable").with("why", error.what());
            answered(std::nullopt);
        }
    });
}

void LeadTask::inviteOthers()
{
    LogLine(Severity::Warning, "followers-invited")
        .with("term", std::int64_t(m_term.value()))
        .with("nodes", std::int64_t(m_lenders.size()));
    for (const auto& [address, at] : m_lenders) {
        if (address != m_parts.address)
            askNode(address, true, [](const std::optional<protocol::LeaderHint>&) {});
    }
}

void LeadTask::checkLag()
{
    m_lag.onTimer(now());
    if (!m_engine || m_isYielding || now() < m_mayYieldAt || !m_lag.isOverloaded())
        return;
    m_isYielding = true;
    LogLine(Severity::Warning, "lead-yielded")
        .with("term", std::int64_t(m_term.value()))
        .with("latenessMs", m_lag.lateness() / std::chrono::milliseconds(1));
    const std::weak_ptr weak = std::static_pointer_cast<LeadTask>(shared_from_this());
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

void LeadTask::lookForLeader()
{
    if (m_engine || (m_told && !m_isDoubted) || m_nodes.empty())
        return;
    const core::HostPort node = m_nodes[m_nextNode++ % m_nodes.size()];
    const std::weak_ptr weak = std::static_pointer_cast<LeadTask>(shared_from_this());
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

void LeadTask::askFormer(const core::HostPort& former, core::Epoch term)
{
    if (former == m_parts.address) {
        m_engine->setFormerGone();
        return;
    }
    const std::weak_ptr weak = std::static_pointer_cast<LeadTask>(shared_from_this());
    askNode(former, false, [weak, former, term](const std::optional<protocol::LeaderHint>& hint) {
        const auto it = weak.lock();
        if (!it || !it->m_engine || it->m_term != term)
            return;
        if (hint && !hint->isLeading) {
            LogLine(Severity::Info, "former-leader-gone").with("address", former.text());
            it->m_engine->setFormerGone();
            return;
        }
        it->loop()->callAfter(formerRetry, [weak, former, term] {
            const auto it = weak.lock();
            if (it && it->m_engine && it->m_term == term)
                it->askFormer(former, term);
        });
    });
}

void LeadTask::onDeposed(const std::string& why)
{
    LogLine(Severity::Warning, "lead-lost").with("term", std::int64_t(m_term.value())).with("why", why);
    endLeadership();
    m_election->resume();
}

void LeadTask::endLeadership()
{
    m_parts.metrics->set(telemetry::Metric::Leading, {}, 0);
    if (m_register)
        m_register->stop();
    m_register.reset();
    m_engine.reset();
    m_advice.reset();
    tellNews(std::nullopt);
}

void LeadTask::take(AskWork message)
{
    if (!m_engine) {
        workflow::WorkAnswer answer;
        answer.reason = "not-leading";
        message.reply.send(answer);
        return;
    }
    auto reply = std::make_shared<runtime::Reply<workflow::WorkAnswer>>(std::move(message.reply));
    m_engine->handle(message.call, [reply](const workflow::WorkAnswer& answer) { reply->send(answer); });
}

void LeadTask::take(OfferTurn message)
{
    if (!m_engine || message.turn.term != m_term) {
        message.reply.send({});
        return;
    }
    m_lenders[message.turn.address] = now();
    if (message.turn.question > 0 && message.turn.result)
        m_advice->answer(message.turn.question, *message.turn.result);
    auto reply = std::make_shared<runtime::Reply<protocol::LentTurn>>(std::move(message.reply));
    const std::weak_ptr weak = std::static_pointer_cast<LeadTask>(shared_from_this());
    m_advice->lend(
        message.turn.node, [reply, weak](scheduling::AdviceDesk::QuestionId id, const fleet::AdviceQuestion& question) {
            protocol::LentTurn turn { id, question, {} };
            const auto it = weak.lock();
            // A turn without a question has time to tell who else there is.
            reply->send(id == 0 && it ? it->withNodes(std::move(turn)) : std::move(turn));
        });
}

void LeadTask::take(workflow::QueueConfigPtr config)
{
    m_config = std::move(config);
    if (m_engine)
        m_engine->setConfig(m_config);
}

void LeadTask::take(Retire message)
{
    m_election->retire();
    if (!m_engine) {
        message.reply.send(true);
        return;
    }
    auto reply = std::make_shared<runtime::Reply<bool>>(std::move(message.reply));
    const std::weak_ptr weak = std::static_pointer_cast<LeadTask>(shared_from_this());
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

void LeadTask::take(AskLeader message)
{
    const auto& asker = message.asker;
    if (m_engine && asker && asker->term > m_term)
        onDeposed("another node has won a later term");
    const bool isNews
        = asker && !m_engine && (!m_told || asker->term > m_told->term) && (!m_leader || asker->term >= m_leader->term);
    if (isNews)
        tellNews(asker);
    if (message.isTurnedAway && asker && !m_engine)
        m_election->invite(asker->term);
    message.reply.send({ m_engine != nullptr, false, m_told });
}

void LeadTask::take(NodesSeen message)
{
    std::erase(message.nodes, m_parts.address);
    m_nodes = std::move(message.nodes);
}

void LeadTask::take(LeaderDoubted message)
{
    if (m_engine || !m_told || m_told->term != message.term)
        return;
    m_isDoubted = message.isDoubted;
    m_election->setDoubted(m_isDoubted);
}

protocol::LentTurn LeadTask::withNodes(protocol::LentTurn turn)
{
    const core::TimePoint oldest = now() - lenderMemory;
    std::erase_if(m_lenders, [oldest](const auto& it) { return it.second < oldest; });
    turn.nodes.push_back(m_parts.address);
    for (const auto& [address, at] : m_lenders)
        turn.nodes.push_back(address);
    return turn;
}

} // namespace sardinerun::dispatch

#include "dispatch/configfollower.h"

#include "codec/json.h"
#include "telemetry/log.h"

#include <algorithm>

namespace sardinerun::dispatch {

namespace {

using telemetry::LogLine;
using telemetry::Severity;

//! A configuration has to be in force within seconds, also on a node that the store rejects.
constexpr core::Duration askPeriod = std::chrono::milliseconds(400);
constexpr core::Duration askTimeout = std::chrono::milliseconds(700);

} // namespace

ConfigFollowerPtr ConfigFollower::create(runtime::ILoopPtr loop, ConfigFollowerDependencies dependencies)
{
    return std::make_shared<ConfigFollower>(std::move(loop), std::move(dependencies));
}

ConfigFollower::ConfigFollower(runtime::ILoopPtr loop, ConfigFollowerDependencies dependencies)
    : Task(std::move(loop))
    , m_dependencies(std::move(dependencies))
{
}

void ConfigFollower::start()
{
    const std::weak_ptr weak = std::static_pointer_cast<ConfigFollower>(shared_from_this());
    workflow::ConfigSourceHooks hooks;
    hooks.changed = [weak](const workflow::QueueConfigPtr& config) {
        if (const auto it = weak.lock())
            it->adopt(config, "source");
    };
    hooks.confirmed = [weak](core::TimePoint at) {
        if (const auto it = weak.lock())
            it->m_confirmedAt = std::max(it->m_confirmedAt, at);
    };
    hooks.availability = [weak](bool isUp) {
        if (const auto it = weak.lock())
            it->m_isSourceUp = isUp;
    };
    m_dependencies.source->start(std::move(hooks));
    every(askPeriod, [this] { askNextNode(); });
}

void ConfigFollower::receive(ConfigMessage message)
{
    std::visit([this](auto& it) { handle(std::move(it)); }, message);
}

void ConfigFollower::adopt(const workflow::QueueConfigPtr& config, const std::string& from)
{
    if (!config || (m_config && config->version <= m_config->version))
        return; // an older version never follows a newer one
    m_config = config;
    LogLine(Severity::Info, "config")
        .with("version", std::int64_t(config->version.value()))
        .with("queues", std::int64_t(config->queues.size()))
        .with("teams", std::int64_t(config->teams.size()))
        .with("from", from);
    m_dependencies.adopted(m_config);
}

void ConfigFollower::handle(const LeaderUpdate& update)
{
    m_leader = update.leader && !update.isSelf ? std::optional(update.leader->address) : std::nullopt;
}

void ConfigFollower::handle(KnownNodes message)
{
    m_nodes = std::move(message.nodes);
}

void ConfigFollower::handle(const ConfigRequest& message)
{
    protocol::ConfigAnswer answer;
    if (m_config) {
        answer.version = m_config->version;
        if (m_config->version > message.query.knownVersion)
            answer.document = m_config->document;
        if (m_confirmedAt != core::TimePoint())
            answer.confirmedAge = now() - m_confirmedAt;
    }
    message.reply.send(std::move(answer));
}

std::vector<core::HostPort> ConfigFollower::candidates() const
{
    std::vector<core::HostPort> all;
    if (m_leader)
        all.push_back(*m_leader);
    for (const core::HostPort& it : m_nodes) {
        if (it != m_dependencies.self && it != m_leader)
            all.push_back(it);
    }
    return all;
}

void ConfigFollower::askNextNode()
{
    const std::vector<core::HostPort> nodes = candidates();
    if (m_isSourceUp || nodes.empty())
        return;
    // Every other question goes to the leader, which handles all calls and so needs the newest version first.
    const std::size_t turn = m_nextNode++;
    const core::HostPort node = turn % 2 == 0 ? nodes.front() : nodes[turn / 2 % nodes.size()];
    http::ClientRequest request;
    request.to = node;
    request.method = "POST";
    request.target = protocol::configQueryPath;
    request.body = protocol::encodeConfigQuery({ m_config ? m_config->version : core::ConfigVersion() });
    request.timeout = askTimeout;
    const std::weak_ptr weak = std::static_pointer_cast<ConfigFollower>(shared_from_this());
    m_dependencies.client->send(std::move(request), [weak, node, askedAt = now()](const http::ClientResult& result) {
        if (const auto it = weak.lock())
            it->onAnswer(node, askedAt, result);
    });
}

void ConfigFollower::onAnswer(const core::HostPort& node, core::TimePoint askedAt, const http::ClientResult& result)
{
    if (!result || result.value().status != 200)
        return; // another node is asked next
    try {
        const protocol::ConfigAnswer answer = protocol::decodeConfigAnswer(result.value().body);
        if (!answer.document.empty())
            adopt(m_dependencies.source->decode(answer.document), node.text());
        const bool isNewest = m_config && answer.version == m_config->version;
        if (isNewest && answer.confirmedAge)
            m_confirmedAt = std::max(m_confirmedAt, askedAt - *answer.confirmedAge);
    } catch (const codec::DecodeError& error) {
        LogLine(Severity::Warning, "config-answer-unreadable").with("node", node.text()).with("why", error.what());
    }
}

} // namespace sardinerun::dispatch

#include "node/partitionclient.h"

#include "core/hashing.h"

namespace sardinerun::node {

namespace {

constexpr core::Duration checkPeriod = std::chrono::milliseconds(100);
constexpr int checksPerResend = 10;
constexpr core::Duration claimTimeout = std::chrono::seconds(2);
//! The end of a request reaches its key's home within a message or two of its answer.
constexpr core::Duration inProgressPatience = std::chrono::milliseconds(300);
constexpr core::Duration inProgressPause = std::chrono::milliseconds(60);
constexpr core::Duration finishTimeout = std::chrono::minutes(5);
constexpr core::Duration abandonTimeout = std::chrono::seconds(30);
//! Tokens of different runs of a node must differ, or a late answer could meet another question.
constexpr std::uint64_t tokenBits = (std::uint64_t(1) << 52) - 1;

//! The token of an answer, or nothing for other messages.
struct TokenOf {
    template <class Message> std::optional<protocol::Token> operator()(const Message& it) const
    {
        if constexpr (requires { it.token; })
            return it.token;
        else
            return std::nullopt;
    }
};

} // namespace

PartitionClientPtr PartitionClient::create(
    runtime::ILoopPtr loop, core::NodeId self, telemetry::MetricsPtr metrics, Send send)
{
    auto client
        = std::make_shared<PartitionClient>(std::move(loop), std::move(self), std::move(metrics), std::move(send));
    client->every(checkPeriod, [it = client.get()] { it->checkTimes(); });
    return client;
}

PartitionClient::PartitionClient(runtime::ILoopPtr loop, core::NodeId self, telemetry::MetricsPtr metrics, Send send)
    : Task(std::move(loop))
    , m_self(std::move(self))
    , m_metrics(std::move(metrics))
    , m_send(std::move(send))
    , m_lastToken(core::stableHash(core::randomId()) & tokenBits)
{
}

protocol::Token PartitionClient::open(
    core::PartitionId to, const MakeMessage& make, core::Duration timeout, bool isRepeated, Answered callback)
{
    const protocol::Token token((++m_lastToken) & tokenBits);
    protocol::Envelope envelope { to, make(protocol::Requester { m_self, {}, token }) };
    m_open[token] = { std::move(callback), envelope, isRepeated, now() + timeout };
    m_send(std::move(envelope));
    return token;
}

void PartitionClient::ask(core::PartitionId to, const MakeMessage& make, core::Duration timeout, Answered callback)
{
    open(to, make, timeout, false, std::move(callback));
}

void PartitionClient::askUntilAnswered(
    core::PartitionId to, const MakeMessage& make, core::Duration timeout, Answered callback)
{
    open(to, make, timeout, true, std::move(callback));
}

void PartitionClient::receive(AnswerMessage message)
{
    const auto token = std::visit(TokenOf {}, message);
    const auto it = token ? m_open.find(*token) : m_open.end();
    if (it == m_open.end()) {
        m_metrics->add(telemetry::Metric::LateAnswers, {});
        return;
    }
    const Answered callback = std::move(it->second.callback);
    m_open.erase(it);
    callback(std::move(message));
}

void PartitionClient::checkTimes()
{
    const bool isResendTime = ++m_checks % checksPerResend == 0;
    std::vector<Answered> late;
    for (auto it = m_open.begin(); it != m_open.end();) {
        if (now() >= it->second.until) {
            late.push_back(std::move(it->second.callback));
            it = m_open.erase(it);
            continue;
        }
        if (it->second.isRepeated && isResendTime)
            m_send(it->second.again);
        ++it;
    }
    for (const Answered& it : late)
        it(std::nullopt);
}

namespace {

class ClaimClient : public routing::IClaimClient {
public:
    ClaimClient(runtime::ILoopPtr loop, PartitionClientPtr client, std::function<std::uint32_t()> partitionCount)
        : m_loop(std::move(loop))
        , m_client(std::move(client))
        , m_partitionCount(std::move(partitionCount))
    {
    }

    void claim(const once::RequestKey& key, std::uint64_t fingerprint, Claimed callback) override
    {
        claimWithin(key, fingerprint, callback, m_loop->now() + inProgressPatience);
    }

    void finish(const once::RequestKey& key, once::StoredAnswer answer) override
    {
        if (const auto granted = m_granted.extract(key))
            tellEnd(key, granted.mapped(), false, std::move(answer), finishTimeout);
    }

    void abandon(const once::RequestKey& key) override
    {
        if (const auto granted = m_granted.extract(key))
            tellEnd(key, granted.mapped(), true, {}, abandonTimeout);
    }

    void leaveOpen(const once::RequestKey& key) override { m_granted.erase(key); }

private:
    void claimWithin(
        const once::RequestKey& key, std::uint64_t fingerprint, const Claimed& callback, core::TimePoint until)
    {
        if (m_partitionCount() == 0) {
            callback(once::ClaimResult::NotPersisted, {});
            return;
        }
        const core::PartitionId home = homeOf(key);
        const once::ClaimId id(core::randomId());
        const auto make = [&](const protocol::Requester& requester) {
            return protocol::ClaimOnce { requester, home, key, id, fingerprint };
        };
        m_client->ask(home, make, claimTimeout,
            [this, key, id, fingerprint, callback, until](const std::optional<protocol::Message>& answer) {
                const auto* it = answer ? std::get_if<protocol::ClaimAnswer>(&*answer) : nullptr;
                if (!it) {
                    // The claim may be kept later, for a request that nobody carries any more: it is given back.
                    tellEnd(key, id, true, {}, abandonTimeout);
                    callback(once::ClaimResult::NotPersisted, {});
                    return;
                }
                // A caller that has its answer may ask another node before the key's home knows of the end.
                if (it->result == once::ClaimResult::InProgress && m_loop->now() < until) {
                    m_loop->callAfter(inProgressPause,
                        [this, key, fingerprint, callback, until] { claimWithin(key, fingerprint, callback, until); });
                    return;
                }
                if (it->result == once::ClaimResult::Granted)
                    m_granted[key] = id;
                callback(it->result, it->answer);
            });
    }

    core::PartitionId homeOf(const once::RequestKey& key) const
    {
        return core::partitionOf(key.text(), m_partitionCount());
    }

    void tellEnd(const once::RequestKey& key, const once::ClaimId& id, bool isAbandoned, once::StoredAnswer answer,
        core::Duration timeout)
    {
        const core::PartitionId home = homeOf(key);
        const auto make = [&](const protocol::Requester& requester) {
            return protocol::FinishOnce { requester, home, key, id, isAbandoned, answer };
        };
        m_client->askUntilAnswered(home, make, timeout, [](const std::optional<protocol::Message>&) {});
    }

    runtime::ILoopPtr m_loop;
    std::map<once::RequestKey, once::ClaimId> m_granted; //!< claims of requests in progress
    PartitionClientPtr m_client;
    std::function<std::uint32_t()> m_partitionCount;
};

} // namespace

routing::IClaimClientPtr createClaimClient(
    runtime::ILoopPtr loop, PartitionClientPtr client, std::function<std::uint32_t()> partitionCount)
{
    return std::make_shared<ClaimClient>(std::move(loop), std::move(client), std::move(partitionCount));
}

} // namespace sardinerun::node

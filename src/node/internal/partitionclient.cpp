#include "node/partitionclient.h"

#include "core/hashing.h"

namespace sardinerun::node {

namespace {

constexpr core::Duration checkPeriod = std::chrono::milliseconds(100);
constexpr int checksPerResend = 10;
constexpr core::Duration claimTimeout = std::chrono::seconds(2);
//! Normally the end of a request reaches the home partition of its key one or two messages after the caller's answer.
constexpr core::Duration inProgressTimeout = std::chrono::milliseconds(300);
constexpr core::Duration inProgressRetryDelay = std::chrono::milliseconds(60);
constexpr core::Duration finishTimeout = std::chrono::minutes(5);
constexpr core::Duration abandonTimeout = std::chrono::seconds(30);
//! The first token is random: if two incarnations of a node used the same tokens, a late answer could be matched with a
//! different request.
constexpr std::uint64_t tokenBits = (std::uint64_t(1) << 52) - 1;

//! Returns the token of an answer, or nothing for other messages.
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
    client->every(checkPeriod, [it = client.get()] { it->checkDeadlines(); });
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

protocol::Token PartitionClient::startRequest(
    core::PartitionId to, const MakeMessage& make, core::Duration timeout, bool isRepeated, Answered callback)
{
    const protocol::Token token((++m_lastToken) & tokenBits);
    protocol::Envelope envelope { to, make(protocol::Requester { m_self, {}, token }) };
    m_pendingRequests[token] = { std::move(callback), envelope, isRepeated, now() + timeout };
    m_send(std::move(envelope));
    return token;
}

void PartitionClient::ask(core::PartitionId to, const MakeMessage& make, core::Duration timeout, Answered callback)
{
    startRequest(to, make, timeout, false, std::move(callback));
}

void PartitionClient::askUntilAnswered(
    core::PartitionId to, const MakeMessage& make, core::Duration timeout, Answered callback)
{
    startRequest(to, make, timeout, true, std::move(callback));
}

void PartitionClient::receive(AnswerMessage message)
{
    const auto token = std::visit(TokenOf {}, message);
    const auto it = token ? m_pendingRequests.find(*token) : m_pendingRequests.end();
    if (it == m_pendingRequests.end()) {
        m_metrics->add(telemetry::Metric::LateAnswers, {});
        return;
    }
    const Answered callback = std::move(it->second.callback);
    m_pendingRequests.erase(it);
    callback(std::move(message));
}

void PartitionClient::checkDeadlines()
{
    const bool isResendDue = ++m_checks % checksPerResend == 0;
    std::vector<Answered> expired;
    for (auto it = m_pendingRequests.begin(); it != m_pendingRequests.end();) {
        if (now() >= it->second.deadline) {
            expired.push_back(std::move(it->second.callback));
            it = m_pendingRequests.erase(it);
            continue;
        }
        if (it->second.isRepeated && isResendDue)
            m_send(it->second.requestEnvelope);
        ++it;
    }
    for (const Answered& it : expired)
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
        claimUntil(key, fingerprint, callback, m_loop->now() + inProgressTimeout);
    }

    void finish(const once::RequestKey& key, once::StoredAnswer answer) override
    {
        if (const auto granted = m_granted.extract(key))
            sendFinish(key, granted.mapped(), false, std::move(answer), finishTimeout);
    }

    void abandon(const once::RequestKey& key) override
    {
        if (const auto granted = m_granted.extract(key))
            sendFinish(key, granted.mapped(), true, {}, abandonTimeout);
    }

    void leaveOpen(const once::RequestKey& key) override { m_granted.erase(key); }

private:
    void claimUntil(
        const once::RequestKey& key, std::uint64_t fingerprint, const Claimed& callback, core::TimePoint deadline)
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
            [this, key, id, fingerprint, callback, deadline](const std::optional<protocol::Message>& answer) {
                const auto* it = answer ? std::get_if<protocol::ClaimAnswer>(&*answer) : nullptr;
                if (!it) {
                    // The claim may still be persisted after this timeout, for a request that is no longer served, so
                    // it is abandoned.
                    sendFinish(key, id, true, {}, abandonTimeout);
                    callback(once::ClaimResult::NotPersisted, {});
                    return;
                }
                // A caller that has its answer may resend the request to another node before the home partition of
                // the key has recorded the end, so the claim is retried for a short time.
                if (it->result == once::ClaimResult::InProgress && m_loop->now() < deadline) {
                    m_loop->callAfter(inProgressRetryDelay, [this, key, fingerprint, callback, deadline] {
                        claimUntil(key, fingerprint, callback, deadline);
                    });
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

    void sendFinish(const once::RequestKey& key, const once::ClaimId& id, bool isAbandoned, once::StoredAnswer answer,
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

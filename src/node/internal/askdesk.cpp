#include "node/askdesk.h"

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

AskDeskPtr AskDesk::create(runtime::ILoopPtr loop, core::NodeId self, telemetry::MetricsPtr metrics, Send send)
{
    auto desk = std::make_shared<AskDesk>(std::move(loop), std::move(self), std::move(metrics), std::move(send));
    desk->every(checkPeriod, [it = desk.get()] { it->checkTimes(); });
    return desk;
}

AskDesk::AskDesk(runtime::ILoopPtr loop, core::NodeId self, telemetry::MetricsPtr metrics, Send send)
    : Task(std::move(loop))
    , m_self(std::move(self))
    , m_metrics(std::move(metrics))
    , m_send(std::move(send))
    , m_lastToken(core::stableHash(core::randomId()) & tokenBits)
{
}

protocol::Token AskDesk::open(
    core::PartitionId to, const MakeMessage& make, core::Duration timeout, bool isRepeated, Answered callback)
{
    const protocol::Token token((++m_lastToken) & tokenBits);
    protocol::Envelope envelope { to, make(protocol::Asker { m_self, {}, token }) };
    m_open[token] = { std::move(callback), envelope, isRepeated, now() + timeout };
    m_send(std::move(envelope));
    return token;
}

void AskDesk::ask(core::PartitionId to, const MakeMessage& make, core::Duration timeout, Answered callback)
{
    open(to, make, timeout, false, std::move(callback));
}

void AskDesk::askUntilAnswered(core::PartitionId to, const MakeMessage& make, core::Duration timeout, Answered callback)
{
    open(to, make, timeout, true, std::move(callback));
}

void AskDesk::receive(AnswerMessage message)
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

void AskDesk::checkTimes()
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

class OncePort : public routing::IOncePort {
public:
    OncePort(runtime::ILoopPtr loop, AskDeskPtr desk, std::function<std::uint32_t()> partitionCount)
        : m_loop(std::move(loop))
        , m_desk(std::move(desk))
        , m_partitionCount(std::move(partitionCount))
    {
    }

    void claim(const once::OnceKey& key, std::uint64_t fingerprint, Claimed callback) override
    {
        claimWithin(key, fingerprint, callback, m_loop->now() + inProgressPatience);
    }

    void finish(const once::OnceKey& key, once::StoredAnswer answer) override
    {
        if (const auto granted = m_granted.extract(key))
            tellEnd(key, granted.mapped(), false, std::move(answer), finishTimeout);
    }

    void abandon(const once::OnceKey& key) override
    {
        if (const auto granted = m_granted.extract(key))
            tellEnd(key, granted.mapped(), true, {}, abandonTimeout);
    }

    void leaveOpen(const once::OnceKey& key) override { m_granted.erase(key); }

private:
    void claimWithin(
        const once::OnceKey& key, std::uint64_t fingerprint, const Claimed& callback, core::TimePoint until)
    {
        if (m_partitionCount() == 0) {
            callback(once::ClaimResult::NotKept, {});
            return;
        }
        const core::PartitionId home = homeOf(key);
        const once::ClaimId id(core::randomId());
        const auto make = [&](const protocol::Asker& asker) {
            return protocol::ClaimOnce { asker, home, key, id, fingerprint };
        };
        m_desk->ask(home, make, claimTimeout,
            [this, key, id, fingerprint, callback, until](const std::optional<protocol::Message>& answer) {
                const auto* it = answer ? std::get_if<protocol::ClaimAnswer>(&*answer) : nullptr;
                if (!it) {
                    // The claim may be kept later, for a request that nobody carries any more: it is given back.
                    tellEnd(key, id, true, {}, abandonTimeout);
                    callback(once::ClaimResult::NotKept, {});
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

    core::PartitionId homeOf(const once::OnceKey& key) const
    {
        return core::partitionOf(key.text(), m_partitionCount());
    }

    void tellEnd(const once::OnceKey& key, const once::ClaimId& id, bool isAbandoned, once::StoredAnswer answer,
        core::Duration timeout)
    {
        const core::PartitionId home = homeOf(key);
        const auto make = [&](const protocol::Asker& asker) {
            return protocol::FinishOnce { asker, home, key, id, isAbandoned, answer };
        };
        m_desk->askUntilAnswered(home, make, timeout, [](const std::optional<protocol::Message>&) {});
    }

    runtime::ILoopPtr m_loop;
    std::map<once::OnceKey, once::ClaimId> m_granted; //!< claims of requests in progress
    AskDeskPtr m_desk;
    std::function<std::uint32_t()> m_partitionCount;
};

} // namespace

routing::IOncePortPtr createOncePort(
    runtime::ILoopPtr loop, AskDeskPtr desk, std::function<std::uint32_t()> partitionCount)
{
    return std::make_shared<OncePort>(std::move(loop), std::move(desk), std::move(partitionCount));
}

} // namespace sardinerun::node

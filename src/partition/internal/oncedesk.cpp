#include "partition/internal/oncedesk.h"

#include "codec/json.h"
#include "once/claimcodec.h"

#include <algorithm>

namespace sardinerun::partition {

OnceDesk::OnceDesk(const PartitionTimes& times, acceptance::GroupLog& log)
    : m_log(log)
    , m_claimTable(times.once)
{
}

acceptance::ItemId OnceDesk::itemOf(const once::RequestKey& key)
{
    return acceptance::ItemId("once/" + key.text());
}

void OnceDesk::recover(const once::ClaimSnapshot& snapshot, EventTime at)
{
    const std::int64_t ageMs = std::max<std::int64_t>(0, at.wall.value() - snapshot.claimedAt.value());
    m_claimTable.recover(snapshot, at.now, std::chrono::milliseconds(ageMs));
}

void OnceDesk::keep(const once::RequestKey& key, bool isRefusable, Waiting waiting)
{
    const acceptance::ItemId item = itemOf(key);
    const std::string record = codec::writeJson(once::encodeSnapshot(*m_claimTable.snapshot(key)));
    waiting.revision = m_log.append(item, record, isRefusable);
    waiting.key = key;
    m_waiting.emplace(item, std::move(waiting));
}

void OnceDesk::answerClaim(
    const protocol::Requester& requester, const once::ClaimTable::Claim& claim, Effects& effects) const
{
    effects.push_back(
        SendMessage { { requester.node, protocol::ClaimAnswer { requester.token, claim.result, claim.answer } } });
}

void OnceDesk::onClaim(const protocol::ClaimOnce& message, EventTime at, Effects& effects)
{
    // With the store down nothing new can be kept; what is known can still be answered.
    if (!m_log.isHealthy() && !m_claimTable.snapshot(message.key)) {
        answerClaim(message.requester, { once::ClaimResult::NotPersisted, {}, false }, effects);
        return;
    }
    const once::ClaimTable::Claim claim
        = m_claimTable.claim(message.key, message.fingerprint, message.claim, at.now, at.wall);
    if (!claim.mustKeep) {
        answerClaim(message.requester, claim, effects);
        return;
    }
    const protocol::ClaimAnswer granted { message.requester.token, once::ClaimResult::Granted, {} };
    keep(message.key, true, { {}, {}, { { message.requester.node, granted } }, true, message.requester });
}

void OnceDesk::onFinish(const protocol::FinishOnce& message, Effects& effects)
{
    const bool isChanged = message.isAbandoned ? m_claimTable.abandon(message.key, message.claim)
                                               : m_claimTable.finish(message.key, message.claim, message.answer);
    SendMessage answer { { message.requester.node, protocol::FinishAnswer { message.requester.token } } };
    if (isChanged)
        keep(message.key, false, { {}, {}, std::move(answer), false, message.requester });
    else
        effects.push_back(std::move(answer));
}

void OnceDesk::onKept(const acceptance::ItemId& item, acceptance::Revision revision, Effects& effects)
{
    const auto [first, last] = m_waiting.equal_range(item);
    for (auto it = first; it != last;) {
        if (it->second.revision > revision) {
            ++it;
            continue;
        }
        effects.push_back(std::move(it->second.send));
        it = m_waiting.erase(it);
    }
}

void OnceDesk::onRefused(const acceptance::ItemId& item, Effects& effects)
{
    const auto [first, last] = m_waiting.equal_range(item);
    for (auto it = first; it != last;) {
        if (it->second.isClaim) {
            m_claimTable.drop(it->second.key);
            answerClaim(it->second.requester, { once::ClaimResult::NotPersisted, {}, false }, effects);
        }
        it = m_waiting.erase(it);
    }
}

void OnceDesk::tick(EventTime at)
{
    for (const once::RequestKey& it : m_claimTable.forgetOld(at.now))
        m_log.remove(itemOf(it));
}

} // namespace sardinerun::partition

#include "partition/internal/claimhandler.h"

#include "codec/json.h"
#include "once/claimcodec.h"

#include <algorithm>

namespace sardinerun::partition {

ClaimHandler::ClaimHandler(const PartitionTimes& times, acceptance::GroupLog& log)
    : m_log(log)
    , m_claimTable(times.once, times.maxClaimBytes)
{
}

acceptance::ItemId ClaimHandler::itemOf(const once::RequestKey& key)
{
    return acceptance::ItemId("once/" + key.text());
}

void ClaimHandler::recover(const once::ClaimSnapshot& snapshot, EventTime at)
{
    const std::int64_t ageMs = std::max<std::int64_t>(0, at.wall.value() - snapshot.claimedAt.value());
    m_claimTable.recover(snapshot, at.now, std::chrono::milliseconds(ageMs));
    dropBodies();
}

//! Replaces the records, too: the log has a copy of each.
void ClaimHandler::dropBodies()
{
    for (const once::RequestKey& it : m_claimTable.dropBodies())
        m_log.append(itemOf(it), codec::writeJson(once::encodeSnapshot(*m_claimTable.snapshot(it))), false);
}

void ClaimHandler::persist(const once::RequestKey& key, bool mayBeDropped, PendingAnswer pending)
{
    const acceptance::ItemId item = itemOf(key);
    const std::string record = codec::writeJson(once::encodeSnapshot(*m_claimTable.snapshot(key)));
    pending.revision = m_log.append(item, record, mayBeDropped);
    pending.key = key;
    m_pendingAnswers.emplace(item, std::move(pending));
}

void ClaimHandler::answerClaim(
    const protocol::Requester& requester, const once::ClaimTable::Claim& claim, Effects& effects) const
{
    effects.push_back(
        SendMessage { { requester.node, protocol::ClaimAnswer { requester.token, claim.result, claim.answer } } });
}

void ClaimHandler::onClaim(const protocol::ClaimOnce& message, EventTime at, Effects& effects)
{
    // While the store is down no new claim can be persisted; recorded claims are still answered.
    if (!m_log.isHealthy() && !m_claimTable.snapshot(message.key)) {
        answerClaim(message.requester, { once::ClaimResult::NotPersisted, {}, false }, effects);
        return;
    }
    const once::ClaimTable::Claim claim
        = m_claimTable.claim(message.key, message.fingerprint, message.claim, at.now, at.wall);
    if (!claim.mustPersist) {
        answerClaim(message.requester, claim, effects);
        return;
    }
    const protocol::ClaimAnswer granted { message.requester.token, once::ClaimResult::Granted, {} };
    persist(message.key, true, { {}, {}, { { message.requester.node, granted } }, true, message.requester });
    dropBodies();
}

void ClaimHandler::onFinish(const protocol::FinishOnce& message, Effects& effects)
{
    const bool isChanged = message.isAbandoned ? m_claimTable.abandon(message.key, message.claim)
                                               : m_claimTable.finish(message.key, message.claim, message.answer);
    SendMessage answer { { message.requester.node, protocol::FinishAnswer { message.requester.token } } };
    if (isChanged)
        persist(message.key, false, { {}, {}, std::move(answer), false, message.requester });
    else
        effects.push_back(std::move(answer));
    dropBodies();
}

void ClaimHandler::onPersisted(const acceptance::ItemId& item, acceptance::Revision revision, Effects& effects)
{
    const auto [first, last] = m_pendingAnswers.equal_range(item);
    for (auto it = first; it != last;) {
        if (it->second.revision > revision) {
            ++it;
            continue;
        }
        effects.push_back(std::move(it->second.send));
        it = m_pendingAnswers.erase(it);
    }
}

void ClaimHandler::onNotPersisted(const acceptance::ItemId& item, Effects& effects)
{
    const auto [first, last] = m_pendingAnswers.equal_range(item);
    for (auto it = first; it != last;) {
        if (it->second.isClaim) {
            m_claimTable.drop(it->second.key);
            answerClaim(it->second.requester, { once::ClaimResult::NotPersisted, {}, false }, effects);
        }
        it = m_pendingAnswers.erase(it);
    }
}

void ClaimHandler::tick(EventTime at)
{
    for (const once::RequestKey& it : m_claimTable.removeExpired(at.now))
        m_log.remove(itemOf(it));
}

} // namespace sardinerun::partition

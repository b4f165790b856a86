#include "partition/internal/oncedesk.h"

#include "codec/json.h"
#include "once/oncecodec.h"

#include <algorithm>

namespace sardinerun::partition {

OnceDesk::OnceDesk(const Times& times, acceptance::GroupLog& log)
    : m_log(log)
    , m_book(times.once)
{
}

acceptance::ItemId OnceDesk::itemOf(const once::OnceKey& key)
{
    return acceptance::ItemId("once/" + key.text());
}

void OnceDesk::recover(const once::OnceSnapshot& snapshot, Moment at)
{
    const std::int64_t ageMs = std::max<std::int64_t>(0, at.wall.value() - snapshot.claimedAt.value());
    m_book.recover(snapshot, at.now, std::chrono::milliseconds(ageMs));
}

void OnceDesk::keep(const once::OnceKey& key, bool isRefusable, Waiting waiting)
{
    const acceptance::ItemId item = itemOf(key);
    const std::string record = codec::writeJson(once::encodeSnapshot(*m_book.snapshot(key)));
    waiting.revision = m_log.append(item, record, isRefusable);
    waiting.key = key;
    m_waiting.emplace(item, std::move(waiting));
}

void OnceDesk::answerClaim(const protocol::Asker& asker, const once::OnceBook::Claim& claim, Effects& effects) const
{
    effects.push_back(
        SendMessage { { asker.node, protocol::ClaimAnswer { asker.token, claim.result, claim.answer } } });
}

void OnceDesk::onClaim(const protocol::ClaimOnce& message, Moment at, Effects& effects)
{
    // With the store down nothing new can be kept; what is known can still be answered.
    if (!m_log.isHealthy() && !m_book.snapshot(message.key)) {
        answerClaim(message.asker, { once::ClaimResult::NotKept, {}, false }, effects);
        return;
    }
    const once::OnceBook::Claim claim = m_book.claim(message.key, message.fingerprint, message.claim, at.now, at.wall);
    if (!claim.mustKeep) {
        answerClaim(message.asker, claim, effects);
        return;
    }
    const protocol::ClaimAnswer granted { message.asker.token, once::ClaimResult::Granted, {} };
    keep(message.key, true, { {}, {}, { { message.asker.node, granted } }, true, message.asker });
}

void OnceDesk::onFinish(const protocol::FinishOnce& message, Effects& effects)
{
    const bool isChanged = message.isAbandoned ? m_book.abandon(message.key, message.claim)
                                               : m_book.finish(message.key, message.claim, message.answer);
    SendMessage answer { { message.asker.node, protocol::FinishAnswer { message.asker.token } } };
    if (isChanged)
        keep(message.key, false, { {}, {}, std::move(answer), false, message.asker });
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
            m_book.drop(it->second.key);
            answerClaim(it->second.asker, { once::ClaimResult::NotKept, {}, false }, effects);
        }
        it = m_waiting.erase(it);
    }
}

void OnceDesk::tick(Moment at)
{
    for (const once::OnceKey& it : m_book.forgetOld(at.now))
        m_log.forget(itemOf(it));
}

} // namespace sardinerun::partition

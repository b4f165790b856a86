#pragma once

#include "acceptance/grouplog.h"
#include "once/claimtable.h"
#include "partition/partitiontypes.h"

#include <map>

namespace sardinerun::partition {

//! Answers claims on requests that may not be repeated. An answer is sent after its record is persisted.
class ClaimHandler {
public:
    ClaimHandler(const PartitionTimes& times, acceptance::GroupLog& log);

    void recover(const once::ClaimSnapshot& snapshot, EventTime at);
    void onClaim(const protocol::ClaimOnce& message, EventTime at, Effects& effects);
    void onFinish(const protocol::FinishOnce& message, Effects& effects);
    void onPersisted(const acceptance::ItemId& item, acceptance::Revision revision, Effects& effects);
    void onNotPersisted(const acceptance::ItemId& item, Effects& effects);
    void tick(EventTime at);

    std::size_t size() const { return m_claimTable.size(); }
    static acceptance::ItemId itemOf(const once::RequestKey& key);

private:
    struct PendingAnswer {
        acceptance::Revision revision;
        once::RequestKey key;
        SendMessage send;
        bool isClaim = false;
        protocol::Requester requester;
    };
    void persist(const once::RequestKey& key, bool mayBeDropped, PendingAnswer pending);
    void dropBodies();
    void answerClaim(
        const protocol::Requester& requester, const once::ClaimTable::Claim& claim, Effects& effects) const;

    acceptance::GroupLog& m_log;
    once::ClaimTable m_claimTable;
    std::multimap<acceptance::ItemId, PendingAnswer> m_pendingAnswers;
};

} // namespace sardinerun::partition

#pragma once

#include "acceptance/grouplog.h"
#include "once/oncebook.h"
#include "partition/partitiontypes.h"

#include <map>

namespace sardinerun::partition {

//! Answers claims on requests that may not be repeated, each after its record is kept.
class OnceDesk {
public:
    OnceDesk(const Times& times, acceptance::GroupLog& log);

    void recover(const once::OnceSnapshot& snapshot, Moment at);
    void onClaim(const protocol::ClaimOnce& message, Moment at, Effects& effects);
    void onFinish(const protocol::FinishOnce& message, Effects& effects);
    void onKept(const acceptance::ItemId& item, acceptance::Revision revision, Effects& effects);
    void onRefused(const acceptance::ItemId& item, Effects& effects);
    void tick(Moment at);

    std::size_t size() const { return m_book.size(); }
    static acceptance::ItemId itemOf(const once::OnceKey& key);

private:
    struct Waiting {
        acceptance::Revision revision;
        once::OnceKey key;
        SendMessage send;
        bool isClaim = false;
        protocol::Asker asker;
    };
    void keep(const once::OnceKey& key, bool isRefusable, Waiting waiting);
    void answerClaim(const protocol::Asker& asker, const once::OnceBook::Claim& claim, Effects& effects) const;

    acceptance::GroupLog& m_log;
    once::OnceBook m_book;
    std::multimap<acceptance::ItemId, Waiting> m_waiting;
};

} // namespace sardinerun::partition

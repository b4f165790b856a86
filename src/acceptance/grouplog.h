#pragma once

#include "services/servicestypes.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

//! The log of a partition in the platform's table: what was accepted, kept in groups.
namespace sardinerun::acceptance {

//! Names an item of the log, such as a job; its newest record is the one that counts.
using ItemId = core::Strong<struct ItemTag, std::string>;

struct LogOptions {
    core::Duration groupInterval = std::chrono::milliseconds(20); //!< least time between two groups
    core::Duration retryInterval = std::chrono::milliseconds(250); //!< after a group that failed
    std::size_t maxGroupRecords = 2000;
    std::size_t compactAboveRows = 64; //!< rows above which old ones are rewritten
};

//! Order of the records of one owner.
using Revision = core::Strong<struct RevisionTag, std::uint64_t>;

//! A record that is in the table.
struct PersistedRecord {
    ItemId item;
    Revision revision;
};

//! What a group's end means for the items in it.
struct LogEvents {
    std::vector<PersistedRecord> kept;
    std::vector<ItemId> refused; //!< certainly not in the table, and never will be
    bool isLost = false; //!< another owner has the partition: stop at once
};

//! Writes records in groups: one conditional transaction at a time, fenced by the partition's row.
//!
//! A state machine without sockets: the caller sends the transaction that `next` gives and reports its result.
class GroupLog {
public:
    //! `fence` is the partition's row as this owner wrote it; it changes when another owner takes over.
    GroupLog(core::PartitionId partition, services::RowCheck fence, LogOptions options);

    //! Prefix of the rows of a partition's log.
    static std::string prefixOf(core::PartitionId partition);

    //! Takes over the rows that earlier owners wrote; gives the newest record of each item.
    std::map<ItemId, std::string> recover(const std::vector<services::Row>& rows);

    //! Queues a record. `isRefusable`: dropped when the group certainly fails; otherwise tried until it is kept.
    Revision append(const ItemId& item, std::string record, bool isRefusable);
    //! The item needs no record any more.
    void forget(const ItemId& item);

    //! What to do now, if anything: a transaction to commit or a row to read.
    struct Action {
        std::optional<services::Transaction> commit;
        std::optional<std::string> readPrefix;
    };
    Action next(core::TimePoint now);

    LogEvents onCommitted(const core::RetVal<core::RowVersion, services::StoreError>& result, core::TimePoint now);
    LogEvents onRead(const core::RetVal<std::vector<services::Row>, services::StoreError>& result, core::TimePoint now);

    //! False while the store does not take groups: new work can then be refused before anything is sent.
    bool isHealthy() const { return m_isHealthy; }
    std::size_t rowCount() const { return m_rows.size(); }
    std::size_t waitingCount() const { return m_waiting.size() + (m_group ? m_group->items.size() : 0); }
    std::uint64_t groupsCommitted() const { return m_groupsCommitted; }

private:
    struct Waiting {
        std::string record;
        bool isRefusable = false;
        Revision revision;
    };
    struct StoredRow {
        core::RowVersion version;
        std::vector<ItemId> items;
    };
    struct Group {
        services::Transaction transaction;
        std::map<ItemId, Waiting> items;
        std::string key;
        core::LogSequence sequence;
        std::vector<core::LogSequence> compacted;
        std::set<ItemId> forgotten; //!< while the group was on its way
        bool mayHaveEffect = false; //!< an earlier try had no clear answer
    };
    struct Latest {
        core::LogSequence row;
        std::string record;
        Revision revision;
    };

    std::string keyOf(core::LogSequence sequence) const;
    void buildGroup();
    void addCompaction(Group& group);
    void finishGroup(core::RowVersion version, LogEvents& events);
    void refuseGroup(LogEvents& events);

    core::PartitionId m_partition;
    services::RowCheck m_fence;
    LogOptions m_options;
    std::map<ItemId, Waiting> m_waiting;
    std::map<core::LogSequence, StoredRow> m_rows;
    std::map<ItemId, Latest> m_latest;
    std::optional<Group> m_group;
    core::LogSequence m_lastSequence;
    Revision m_lastRevision;
    core::TimePoint m_notBefore {};
    bool m_isInFlight = false;
    bool m_mustRead = false;
    bool m_isHealthy = true;
    bool m_isLost = false;
    std::uint64_t m_groupsCommitted = 0;
};

} // namespace sardinerun::acceptance

#pragma once

#include "services/servicestypes.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

//! Group commit log of a partition: records of accepted items, written to the platform's table in batches.
namespace sardinerun::acceptance {

//! Identifies an item of the log, such as a job. Only its newest record is valid.
using ItemId = core::Strong<struct ItemTag, std::string>;

struct LogOptions {
    core::Duration groupInterval = std::chrono::milliseconds(20); //!< minimum time between two group commits
    core::Duration retryInterval = std::chrono::milliseconds(250); //!< delay after a group commit that failed
    std::size_t maxGroupRecords = 2000;
    std::size_t compactAboveRows = 64; //!< row count above which the oldest rows are rewritten
};

//! Position of a record among all records that one owner has appended.
using Revision = core::Strong<struct RevisionTag, std::uint64_t>;

//! A record that has been committed to the table.
struct PersistedRecord {
    ItemId item;
    Revision revision;
};

//! Result of a group commit for the items of the group.
struct LogEvents {
    std::vector<PersistedRecord> persisted;
    std::vector<ItemId> notPersisted; //!< known to be neither in the table now nor written to it later
    bool isOwnershipLost = false; //!< another owner has taken the partition over: this one must stop immediately
};

//! Writes records in groups, one conditional transaction at a time, fenced by the partition's row.
//!
//! A state machine without I/O: the caller sends the transaction that `next` returns and reports its result.
class GroupLog {
public:
    //! `fence` is the partition's row as this owner wrote it; it changes when another owner takes over.
    GroupLog(core::PartitionId partition, services::RowCheck fence, LogOptions options);

    //! Returns the key prefix of the rows of a partition's log.
    static std::string prefixOf(core::PartitionId partition);

    //! Loads the rows that former owners wrote. Returns the newest record of each item.
    std::map<ItemId, std::string> recover(const std::vector<services::Row>& rows);

    //! Queues a record. If `mayBeDropped`, it is dropped when its group is known to have failed; otherwise it is
    //! retried until it is persisted.
    Revision append(const ItemId& item, std::string record, bool mayBeDropped);
    //! Removes an item: its records are no longer retried, nor preserved when rows are rewritten.
    void remove(const ItemId& item);

    //! The next store operation, if any: a transaction to commit or a key prefix to read.
    struct Action {
        std::optional<services::Transaction> commit;
        std::optional<std::string> readPrefix;
    };
    Action next(core::TimePoint now);

    LogEvents onCommitted(const core::RetVal<core::RowVersion, services::StoreError>& result, core::TimePoint now);
    LogEvents onRead(const core::RetVal<std::vector<services::Row>, services::StoreError>& result, core::TimePoint now);

    //! Returns false while group commits fail; new work can then be refused before anything is sent. The log keeps
    //! writing until a commit succeeds, also without records.
    bool isHealthy() const { return m_isHealthy; }
    std::size_t rowCount() const { return m_rows.size(); }
    std::size_t pendingCount() const { return m_pending.size() + (m_group ? m_group->items.size() : 0); }
    std::uint64_t groupsCommitted() const { return m_groupsCommitted; }

private:
    struct PendingRecord {
        std::string record;
        bool mayBeDropped = false;
        Revision revision;
    };
    struct StoredRow {
        core::RowVersion version;
        std::vector<ItemId> items;
    };
    struct Group {
        services::Transaction transaction;
        std::map<ItemId, PendingRecord> items;
        std::string key;
        core::LogSequence sequence;
        std::vector<core::LogSequence> compacted;
        std::set<ItemId> removed; //!< removed while the group was in flight
        bool mayHaveTakenEffect = false; //!< the outcome of an earlier attempt is unknown
    };
    struct LatestRecord {
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
    std::map<ItemId, PendingRecord> m_pending;
    std::map<core::LogSequence, StoredRow> m_rows;
    std::map<ItemId, LatestRecord> m_latest;
    std::optional<Group> m_group;
    core::LogSequence m_lastSequence;
    Revision m_lastRevision;
    core::TimePoint m_notBefore {};
    bool m_isInFlight = false;
    bool m_mustRead = false;
    bool m_isHealthy = true;
    bool m_isOwnershipLost = false;
    std::uint64_t m_groupsCommitted = 0;
};

} // namespace sardinerun::acceptance

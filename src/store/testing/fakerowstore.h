#pragma once

#include "runtime/iloop.h"
#include "store/irowstore.h"

#include <functional>
#include <map>

namespace sardinerun::store::testing {

//! An in-memory store that can simulate the failures of a real one.
class FakeRowStore : public IRowStore {
public:
    explicit FakeRowStore(runtime::ILoopPtr loop)
        : m_loop(std::move(loop))
    {
    }

    bool isDown = false; //!< all calls fail without effect
    bool isSilent = false; //!< requests for changes that arrive now are lost
    int losesAnswers = 0; //!< number of next commits that take effect but whose answers are lost
    std::function<bool(const RowUpdate&)> rejects; //!< rejects all transactions with such an update
    int rejectsAll = 0; //!< number of next commits that are rejected, whatever they contain
    core::Duration latency = std::chrono::milliseconds(8);
    core::Duration commitAnswerDelay {}; //!< by which the answer to a commit comes later than its effect
    std::map<RowKey, StoredRow> rows;
    std::map<RowKey, StoredRow> deleted; //!< deleted rows, reported as changes
    std::uint64_t version = 0;
    int commits = 0;
    int changesRequests = 0;

    static constexpr std::size_t pageRows = 500; //!< maximum rows returned by one read

    void commit(RowTransaction transaction, std::function<void(CommitResult)> callback) override
    {
        m_loop->callAfter(latency, [this, transaction, callback] {
            const CommitResult result = apply(transaction);
            if (commitAnswerDelay > core::Duration(0))
                m_loop->callAfter(commitAnswerDelay, [callback, result] { callback(result); });
            else
                callback(result);
        });
    }
    void read(const std::string& table, const std::string& part, const std::string& after,
        std::function<void(PageResult)> callback) override
    {
        m_loop->callAfter(latency, [this, table, part, after, callback] {
            if (isDown) {
                callback(core::Failure { StoreFailure {} });
                return;
            }
            RowPage page;
            for (const auto& [key, row] : rows) {
                const bool isInRange = key.table == table && key.part == part && key.key > after;
                if (isInRange && page.rows.size() == pageRows)
                    page.hasMore = true;
                else if (isInRange)
                    page.rows.push_back(row);
            }
            page.version = core::RowVersion(version);
            callback(page);
        });
    }
    void changes(const std::string& table, core::RowVersion after, core::Duration wait,
        std::function<void(PageResult)> callback) override
    {
        ++changesRequests;
        if (isSilent) {
            m_loop->callAfter(wait + changesTimeoutSlack, [callback] {
                callback(core::Failure { StoreFailure { StoreFailure::Code::Unknown, "timeout", {} } });
            });
            return;
        }
        m_loop->callAfter(latency, [this, table, after, until = m_loop->now() + wait, callback] {
            answerChanges(table, after, until, callback);
        });
    }

private:
    CommitResult apply(const RowTransaction& transaction)
    {
        if (isDown)
            return core::Failure { StoreFailure {} };
        ++commits;
        if (rejectsAll > 0) {
            --rejectsAll;
            return core::Failure { StoreFailure { StoreFailure::Code::Rejected, "rejects all", {} } };
        }
        for (const RowUpdate& it : transaction.updates) {
            if ((it.value && it.value->size() > maxValueBytes) || (rejects && rejects(it)))
                return core::Failure { StoreFailure { StoreFailure::Code::Rejected, "value too large", {} } };
        }
        StoreFailure conflict { StoreFailure::Code::Conflict, "", {} };
        bool isMet = true;
        for (const RowCondition& it : transaction.conditions) {
            const auto row = rows.find(it.key);
            isMet = isMet && (row == rows.end() ? core::RowVersion() : row->second.version) == it.version;
            if (row != rows.end())
                conflict.present.push_back(row->second);
        }
        if (!isMet)
            return core::Failure { conflict };
        ++version;
        for (const RowUpdate& it : transaction.updates) {
            if (it.value) {
                rows[it.key] = { it.key, *it.value, core::RowVersion(version), false };
                deleted.erase(it.key);
            } else if (rows.erase(it.key) > 0) {
                deleted[it.key] = { it.key, "", core::RowVersion(version), true };
            }
        }
        if (losesAnswers > 0) {
            --losesAnswers;
            return core::Failure { StoreFailure { StoreFailure::Code::Unknown, "lost", {} } };
        }
        return core::RowVersion(version);
    }
    void answerChanges(const std::string& table, core::RowVersion after, core::TimePoint until,
        const std::function<void(PageResult)>& callback)
    {
        if (isDown) {
            callback(core::Failure { StoreFailure {} });
            return;
        }
        RowPage page;
        for (const auto* from : { &rows, &deleted }) {
            for (const auto& [key, row] : *from) {
                if (key.table == table && row.version > after)
                    page.rows.push_back(row);
            }
        }
        page.version = core::RowVersion(version);
        if (!page.rows.empty() || m_loop->now() >= until) {
            callback(page);
            return;
        }
        m_loop->callAfter(std::chrono::milliseconds(10),
            [this, table, after, until, callback] { answerChanges(table, after, until, callback); });
    }

    runtime::ILoopPtr m_loop;
};

} // namespace sardinerun::store::testing

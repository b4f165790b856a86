#pragma once

#include "runtime/iloop.h"
#include "store/irowstore.h"

#include <map>

namespace sardinerun::store::testing {

//! Rows in memory, with the failures of a real store.
class FakeRowStore : public IRowStore {
public:
    explicit FakeRowStore(runtime::ILoopPtr loop)
        : m_loop(std::move(loop))
    {
    }

    bool isDown = false; //!< certainly nothing happens
    bool isSilent = false; //!< questions for changes that come now are never heard
    int losesAnswers = 0; //!< so many of the next commits take effect, and their answers are lost
    core::Duration latency = std::chrono::milliseconds(8);
    std::map<RowKey, StoredRow> rows;
    std::map<RowKey, StoredRow> dropped; //!< rows that exist no more, for those who follow changes
    std::uint64_t version = 0;
    int commits = 0;

    static constexpr std::size_t pageRows = 500; //!< most that one read gives

    void commit(RowTransaction transaction, std::function<void(CommitResult)> callback) override
    {
        m_loop->callAfter(latency, [this, transaction, callback] { callback(apply(transaction)); });
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
                const bool isAsked = key.table == table && key.part == part && key.key > after;
                if (isAsked && page.rows.size() == pageRows)
                    page.hasMore = true;
                else if (isAsked)
                    page.rows.push_back(row);
            }
            page.version = core::RowVersion(version);
            callback(page);
        });
    }
    void changes(const std::string& table, core::RowVersion after, core::Duration wait,
        std::function<void(PageResult)> callback) override
    {
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
        StoreFailure conflict { StoreFailure::Code::Conflict, "", {} };
        bool holds = true;
        for (const RowCondition& it : transaction.conditions) {
            const auto row = rows.find(it.key);
            holds = holds && (row == rows.end() ? core::RowVersion() : row->second.version) == it.version;
            if (row != rows.end())
                conflict.present.push_back(row->second);
        }
        if (!holds)
            return core::Failure { conflict };
        ++version;
        for (const RowUpdate& it : transaction.updates) {
            if (it.value) {
                rows[it.key] = { it.key, *it.value, core::RowVersion(version), false };
                dropped.erase(it.key);
            } else if (rows.erase(it.key) > 0) {
                dropped[it.key] = { it.key, "", core::RowVersion(version), true };
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
        for (const auto* from : { &rows, &dropped }) {
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

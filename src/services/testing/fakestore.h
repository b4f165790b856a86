#pragma once

#include "services/itablestore.h"

#include <map>
#include <utility>

//! Fakes of the platform for tests; not linked into the server.
namespace sardinerun::services::testing {

//! In-memory table with injected faults.
class FakeStore {
public:
    enum class Fault {
        None,
        Down, //!< no effect, and the caller receives Unavailable
        LostAfterEffect, //!< takes effect, but the answer is lost
        LostBeforeEffect, //!< no effect, and the answer is lost
        Late //!< the answer is lost, and the transaction takes effect at the next applyLate()
    };

    CommitResult commitNow(const Transaction& transaction, Fault fault = Fault::None)
    {
        using Code = StoreError::Code;
        if (fault == Fault::Down)
            return core::Failure { StoreError { Code::Unavailable, "down" } };
        if (fault == Fault::LostBeforeEffect)
            return core::Failure { StoreError { Code::Unknown, "lost" } };
        if (fault == Fault::Late) {
            m_delayed.push_back(transaction);
            return core::Failure { StoreError { Code::Unknown, "late" } };
        }
        CommitResult result = apply(transaction);
        if (fault == Fault::LostAfterEffect)
            return core::Failure { StoreError { Code::Unknown, "lost" } };
        return result;
    }

    RowsResult listNow(const std::string& prefix, Fault fault = Fault::None) const
    {
        if (fault != Fault::None)
            return core::Failure { StoreError { StoreError::Code::Unavailable, "down" } };
        std::vector<Row> rows;
        for (auto it = m_rows.lower_bound(prefix); it != m_rows.end() && it->first.starts_with(prefix); ++it)
            rows.push_back(it->second);
        return rows;
    }

    //! Applies the delayed transactions whose conditions still hold.
    void applyLate()
    {
        for (const Transaction& it : std::exchange(m_delayed, {}))
            apply(it);
    }

    core::RowVersion versionOf(const std::string& key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? core::RowVersion(0) : it->second.version;
    }

    void put(const std::string& key, const std::string& value)
    {
        apply({ core::WriteId("put"), {}, { { key, versionOf(key), value } } });
    }

    std::uint64_t commits() const { return m_commits; }

private:
    CommitResult apply(const Transaction& transaction)
    {
        for (const RowCheck& it : transaction.checks) {
            if (versionOf(it.key) != it.expect)
                return core::Failure { StoreError { StoreError::Code::Conflict, it.key } };
        }
        for (const RowWrite& it : transaction.writes) {
            if (versionOf(it.key) != it.expect)
                return core::Failure { StoreError { StoreError::Code::Conflict, it.key } };
        }
        const core::RowVersion version(++m_commits);
        for (const RowWrite& it : transaction.writes) {
            if (it.value)
                m_rows[it.key] = { it.key, version, *it.value, transaction.id };
            else
                m_rows.erase(it.key);
        }
        return version;
    }

    std::map<std::string, Row> m_rows;
    std::vector<Transaction> m_delayed;
    std::uint64_t m_commits = 0;
};

} // namespace sardinerun::services::testing

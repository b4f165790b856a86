#pragma once

#include "core/ret.h"
#include "core/types.h"

#include <optional>
#include <string>
#include <vector>

//! Rows that outlive every process: the port to the store of the VMs' platform.
namespace sardinerun::store {

//! Names one row. Rows of one part can change together.
struct RowKey {
    std::string table;
    std::string part; //!< may be empty
    std::string key;
    auto operator<=>(const RowKey&) const = default;
};

struct StoredRow {
    RowKey key;
    std::string value;
    core::RowVersion version;
    bool isDropped = false; //!< only in changes: the row exists no more
};

//! A row that must have this version; 0 means that it must not exist.
struct RowCondition {
    RowKey key;
    core::RowVersion version;
};

//! A new value of a row; no value drops it.
struct RowUpdate {
    RowKey key;
    std::optional<std::string> value;
};

//! Updates that take effect together, or not at all when a condition does not hold.
struct RowTransaction {
    std::vector<RowCondition> conditions;
    std::vector<RowUpdate> updates;
};

//! Why a call to the store failed, and what that says of its effect.
struct StoreFailure {
    enum class Code {
        Unavailable, //!< certainly without effect
        Throttled, //!< too many calls: certainly without effect
        Unknown, //!< the answer was lost: it may have taken effect, or may yet do so
        Conflict, //!< a condition does not hold: without effect
        HistoryGone, //!< of changes: those that were asked for are not kept any more
        BadAnswer //!< the answer cannot be read
    };
    Code code = Code::Unavailable;
    std::string detail;
    std::vector<StoredRow> present; //!< after a conflict: the rows of the conditions as they are
};

//! Rows as of one moment.
struct RowPage {
    std::vector<StoredRow> rows;
    bool hasMore = false;
    core::RowVersion version; //!< newest version of the store when it was read
};

using CommitResult = core::RetVal<core::RowVersion, StoreFailure>;
using PageResult = core::RetVal<RowPage, StoreFailure>;

const char* nameOf(StoreFailure::Code it);

} // namespace sardinerun::store

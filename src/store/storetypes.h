#pragma once

#include "core/ret.h"
#include "core/types.h"

#include <optional>
#include <string>
#include <vector>

//! Persistent rows that outlive every process: the interface to the store of the VMs' platform.
namespace sardinerun::store {

//! Identifies a row. Rows of one part can be changed in one transaction.
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
    bool isDeleted = false; //!< set in changes only: the row was deleted
};

//! Requires that a row has this version; 0 requires that it does not exist.
struct RowCondition {
    RowKey key;
    core::RowVersion version;
};

//! Maximum size of a value. Stores accept up to 64 KiB encoded as base64.
constexpr std::size_t maxValueBytes = std::size_t(48) << 10;

//! A new value of a row; without a value the row is deleted.
struct RowUpdate {
    RowKey key;
    std::optional<std::string> value;
};

//! Updates that take effect atomically, or not at all if a condition is not met.
struct RowTransaction {
    std::vector<RowCondition> conditions;
    std::vector<RowUpdate> updates;
};

//! Why a call to the store failed, and whether the call may have taken effect.
struct StoreFailure {
    enum class Code {
        Unavailable, //!< certainly without effect
        Throttled, //!< too many calls; certainly without effect
        Unknown, //!< the answer was lost; the call may have taken effect or may do so later
        Conflict, //!< a condition is not met; without effect
        HistoryGone, //!< the store no longer retains the requested changes
        Rejected, //!< the call is invalid; without effect, and so is a repetition
        BadAnswer //!< the answer cannot be decoded
    };
    Code code = Code::Unavailable;
    std::string detail;
    std::vector<StoredRow> present; //!< after a conflict: current state of the rows in the conditions
};

//! Rows as of one version of the store.
struct RowPage {
    std::vector<StoredRow> rows;
    bool hasMore = false;
    core::RowVersion version; //!< newest version of the store at the time of reading
};

using CommitResult = core::RetVal<core::RowVersion, StoreFailure>;
using PageResult = core::RetVal<RowPage, StoreFailure>;

const char* nameOf(StoreFailure::Code it);

} // namespace sardinerun::store

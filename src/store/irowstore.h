#pragma once

#include "store/storetypes.h"

#include <functional>
#include <memory>

namespace sardinerun::store {

//! Time beyond the `wait` of a request for changes after which its answer counts as lost.
constexpr core::Duration changesTimeoutSlack = std::chrono::milliseconds(700);

//! Reads and changes rows. Callbacks run on the caller's loop, never before the call has returned.
class IRowStore {
public:
    virtual ~IRowStore() = default;

    virtual void commit(RowTransaction transaction, std::function<void(CommitResult)> callback) = 0;
    //! Reads rows of a part in ascending order of their keys, starting after the key `after` (empty: from the first).
    virtual void read(const std::string& table, const std::string& part, const std::string& after,
        std::function<void(PageResult)> callback)
        = 0;
    //! Reads the rows of a table that changed after a version. Answers as soon as there is one, or with none after
    //! `wait`.
    virtual void changes(
        const std::string& table, core::RowVersion after, core::Duration wait, std::function<void(PageResult)> callback)
        = 0;
};

using IRowStorePtr = std::shared_ptr<IRowStore>;

} // namespace sardinerun::store

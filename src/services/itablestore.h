#pragma once

#include "services/servicestypes.h"

#include <functional>
#include <memory>

namespace sardinerun::services {

//! Client of the platform's transactional table. Callbacks run on the loop that the store was created for.
class ITableStore {
public:
    virtual ~ITableStore() = default;

    //! Reads a consistent snapshot of all rows whose key begins with `prefix`, ordered by key.
    virtual void list(std::string prefix, std::function<void(RowsResult)> callback) = 0;

    //! Applies all writes or none. Returns the new version of the written rows, which is the same for all of them.
    virtual void commit(Transaction transaction, std::function<void(CommitResult)> callback) = 0;
};

using ITableStorePtr = std::shared_ptr<ITableStore>;

} // namespace sardinerun::services

#pragma once

#include "services/servicestypes.h"

#include <functional>
#include <memory>

namespace sardinerun::services {

//! The platform's transactional table. Callbacks run on the loop that the store was made for.
class ITableStore {
public:
    virtual ~ITableStore() = default;

    //! All rows whose key begins with `prefix`, in order of key, as of one moment.
    virtual void list(std::string prefix, std::function<void(RowsResult)> callback) = 0;

    //! Applies all writes or none; gives the version that every written row then has.
    virtual void commit(Transaction transaction, std::function<void(CommitResult)> callback) = 0;
};

using ITableStorePtr = std::shared_ptr<ITableStore>;

} // namespace sardinerun::services

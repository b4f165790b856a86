#pragma once

#include "runtime/iloop.h"
#include "store/irowstore.h"

#include <functional>
#include <memory>

namespace sardinerun::store {

//! Callbacks of a watch to its owner.
struct WatchHooks {
    //! All rows of the table; called initially and after changes were missed.
    std::function<void(const std::vector<StoredRow>&)> replaced;
    std::function<void(const std::vector<StoredRow>&)> changed;
    //! The rows reported so far include all changes up to this time.
    std::function<void(core::TimePoint)> confirmed = [](core::TimePoint) {};
    std::function<void(bool isUp)> availability = [](bool) {};
};

//! Follows a table: reads it, then requests changes, and reads it again if the store no longer has the changes.
class TableWatch : public std::enable_shared_from_this<TableWatch> {
public:
    struct Options {
        std::string table;
        //! How long one request for changes waits. A request lost in an outage delays the next one by this time, and
        //! changes by operators must be seen within two seconds.
        core::Duration wait = std::chrono::seconds(1);
        core::Duration retryPause = std::chrono::milliseconds(150);
        core::Duration maxRetryPause = std::chrono::milliseconds(300);
        //! Pause after changes before more are requested. Rows that change all the time then cost one request for many.
        core::Duration gatherTime {};
    };
    static std::shared_ptr<TableWatch> create(
        runtime::ILoopPtr loop, IRowStorePtr store, Options options, WatchHooks hooks);

    void start();
    void stop() { m_isStopped = true; }

private:
    TableWatch(runtime::ILoopPtr loop, IRowStorePtr store, Options options, WatchHooks hooks);
    void readAll(std::vector<StoredRow> gathered, const std::string& after, core::TimePoint startedAt);
    void requestChanges();
    void requestChangesLater();
    void retryLater(const std::function<void()>& retry);
    void recordFailure(const StoreFailure& failure);
    void recordSuccess();

    runtime::ILoopPtr m_loop;
    IRowStorePtr m_store;
    Options m_options;
    WatchHooks m_hooks;
    core::RowVersion m_version;
    core::RowVersion m_firstVersion; //!< version of the first page of the read in progress
    core::Duration m_pause {};
    bool m_isUp = false;
    bool m_isStopped = false;
};

using TableWatchPtr = std::shared_ptr<TableWatch>;

} // namespace sardinerun::store

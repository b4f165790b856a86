#pragma once

#include "runtime/iloop.h"
#include "store/irowstore.h"

#include <functional>
#include <memory>

namespace sardinerun::store {

//! What a watch tells its owner.
struct WatchHooks {
    //! All rows of the table; also after changes were missed.
    std::function<void(const std::vector<StoredRow>&)> replaced;
    std::function<void(const std::vector<StoredRow>&)> changed;
    //! The table was known to be up to date at this moment.
    std::function<void(core::TimePoint)> confirmed = [](core::TimePoint) {};
    std::function<void(bool isUp)> availability = [](bool) {};
};

//! Follows one part of one table: reads it, then asks for changes, and reads all again when history is gone.
class TableWatch : public std::enable_shared_from_this<TableWatch> {
public:
    struct Options {
        std::string table;
        //! Of one question for changes. A question that goes unheard in an outage delays the next one by this, and what
        //! operators change must be seen within two seconds.
        core::Duration wait = std::chrono::seconds(1);
        core::Duration retryPause = std::chrono::milliseconds(150);
        core::Duration longestPause = std::chrono::milliseconds(300);
    };
    static std::shared_ptr<TableWatch> create(
        runtime::ILoopPtr loop, IRowStorePtr store, Options options, WatchHooks hooks);

    void start();
    void stop() { m_isStopped = true; }

private:
    TableWatch(runtime::ILoopPtr loop, IRowStorePtr store, Options options, WatchHooks hooks);
    void readAll(std::vector<StoredRow> gathered, const std::string& after, core::TimePoint startedAt);
    void askChanges();
    void later(const std::function<void()>& step);
    void noteFailure(const StoreFailure& failure);
    void noteSuccess();

    runtime::ILoopPtr m_loop;
    IRowStorePtr m_store;
    Options m_options;
    WatchHooks m_hooks;
    core::RowVersion m_version;
    core::RowVersion m_firstVersion; //!< of the first page of a read in progress
    core::Duration m_pause {};
    bool m_isUp = false;
    bool m_isStopped = false;
};

using TableWatchPtr = std::shared_ptr<TableWatch>;

} // namespace sardinerun::store

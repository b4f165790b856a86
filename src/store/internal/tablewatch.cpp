#include "store/tablewatch.h"

#include <algorithm>

namespace sardinerun::store {

const char* nameOf(StoreFailure::Code it)
{
    switch (it) {
    case StoreFailure::Code::Unavailable:
        return "unavailable";
    case StoreFailure::Code::Throttled:
        return "throttled";
    case StoreFailure::Code::Unknown:
        return "unknown";
    case StoreFailure::Code::Conflict:
        return "conflict";
    case StoreFailure::Code::HistoryGone:
        return "history-gone";
    case StoreFailure::Code::Rejected:
        return "rejected";
    case StoreFailure::Code::BadAnswer:
        return "bad-answer";
    }
    return "unknown";
}

TableWatchPtr TableWatch::create(runtime::ILoopPtr loop, IRowStorePtr store, Options options, WatchHooks hooks)
{
    return TableWatchPtr(new TableWatch(std::move(loop), std::move(store), std::move(options), std::move(hooks)));
}

TableWatch::TableWatch(runtime::ILoopPtr loop, IRowStorePtr store, Options options, WatchHooks hooks)
    : m_loop(std::move(loop))
    , m_store(std::move(store))
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_pause(m_options.retryPause)
{
}

void TableWatch::start()
{
    readAll({}, "", m_loop->now());
}

void TableWatch::retryLater(const std::function<void()>& retry)
{
    m_loop->callAfter(m_pause, [self = weak_from_this(), retry] {
        const auto watch = self.lock();
        if (watch && !watch->m_isStopped)
            retry();
    });
    m_pause = std::min(m_pause * 2, m_options.maxRetryPause);
}

void TableWatch::recordFailure(const StoreFailure&)
{
    if (std::exchange(m_isUp, false))
        m_hooks.availability(false);
}

void TableWatch::recordSuccess()
{
    m_pause = m_options.retryPause;
    if (!std::exchange(m_isUp, true))
        m_hooks.availability(true);
}

void TableWatch::readAll(std::vector<StoredRow> gathered, const std::string& after, core::TimePoint startedAt)
{
    m_store->read(m_options.table, "", after,
        [self = weak_from_this(), gathered = std::move(gathered), after, startedAt](PageResult result) mutable {
            const auto it = self.lock();
            if (!it || it->m_isStopped)
                return;
            if (!result) {
                it->recordFailure(result.error());
                it->retryLater([raw = it.get()] { raw->readAll({}, "", raw->m_loop->now()); });
                return;
            }
            it->recordSuccess();
            RowPage& page = result.value();
            // Changes are requested from the version of the first page on, so changes made while later pages were read
            // are reported again.
            if (after.empty())
                it->m_firstVersion = page.version;
            std::move(page.rows.begin(), page.rows.end(), std::back_inserter(gathered));
            if (page.hasMore && !gathered.empty()) {
                const std::string last = gathered.back().key.key;
                it->readAll(std::move(gathered), last, startedAt);
                return;
            }
            it->m_version = it->m_firstVersion;
            it->m_hooks.replaced(gathered);
            it->m_hooks.confirmed(startedAt);
            it->requestChanges();
        });
}

void TableWatch::requestChangesLater()
{
    m_loop->callAfter(m_options.gatherTime, [self = weak_from_this()] {
        if (const auto it = self.lock())
            it->requestChanges();
    });
}

void TableWatch::requestChanges()
{
    if (m_isStopped)
        return;
    const core::TimePoint startedAt = m_loop->now();
    m_store->changes(
        m_options.table, m_version, m_options.wait, [self = weak_from_this(), startedAt](PageResult result) {
            const auto it = self.lock();
            if (!it || it->m_isStopped)
                return;
            if (!result) {
                it->recordFailure(result.error());
                const bool isGone = result.error().code == StoreFailure::Code::HistoryGone;
                it->retryLater([raw = it.get(), isGone] {
                    if (isGone)
                        raw->readAll({}, "", raw->m_loop->now());
                    else
                        raw->requestChanges();
                });
                return;
            }
            it->recordSuccess();
            it->m_version = std::max(it->m_version, result.value().version);
            const bool hasChanged = !result.value().rows.empty();
            if (hasChanged)
                it->m_hooks.changed(result.value().rows);
            it->m_hooks.confirmed(startedAt);
            if (hasChanged && it->m_options.gatherTime > core::Duration(0))
                it->requestChangesLater();
            else
                it->requestChanges();
        });
}

} // namespace sardinerun::store

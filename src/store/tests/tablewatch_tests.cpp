#define BOOST_TEST_MODULE store
#include "runtime/manualloop.h"
#include "store/tablewatch.h"
#include "store/testing/fakerowstore.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::store;

namespace {

core::Duration ms(std::int64_t n)
{
    return std::chrono::milliseconds(n);
}

struct WatchedTable {
    WatchedTable()
        : loop(std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>()))
        , rows(std::make_shared<testing::FakeRowStore>(loop))
    {
        WatchHooks hooks;
        hooks.replaced = [this](const std::vector<StoredRow>& all) { record(all); };
        hooks.changed = [this](const std::vector<StoredRow>& some) { record(some); };
        TableWatch::Options options;
        options.table = "op";
        watch = TableWatch::create(loop, rows, options, std::move(hooks));
        watch->start();
        loop->advance(ms(100));
    }
    void record(const std::vector<StoredRow>& some)
    {
        for (const StoredRow& it : some)
            newest = it.value;
    }
    void change(const std::string& value)
    {
        ++rows->version;
        const RowKey key { "op", "", "config" };
        rows->rows[key] = { key, value, core::RowVersion(rows->version), false };
    }

    runtime::ManualLoopPtr loop;
    std::shared_ptr<testing::FakeRowStore> rows;
    TableWatchPtr watch;
    std::string newest;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_change_is_seen_immediately)
{
    WatchedTable it;
    it.change("1");
    it.loop->advance(ms(50));
    BOOST_TEST(it.newest == "1");
}

BOOST_AUTO_TEST_CASE(a_change_after_a_silent_outage_is_seen_within_two_seconds)
{
    // Guards against a node whose request for changes was lost just before the store recovered: it waited for the
    // answer and did not see a new configuration for over three seconds.
    for (int n = 0; n < 40; ++n) {
        WatchedTable it;
        it.rows->isSilent = true;
        it.loop->advance(ms(2000 + n * 100));
        it.rows->isSilent = false;
        it.change("2");
        it.loop->advance(ms(2000));
        BOOST_REQUIRE(it.newest == "2");
    }
}

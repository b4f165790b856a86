#define BOOST_TEST_MODULE lead
#include "lead/election.h"
#include "lead/leaderlog.h"
#include "runtime/manualloop.h"
#include "store/testing/fakerowstore.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::lead;
using store::testing::FakeRowStore;

namespace {

store::RowKey keyOf(int n)
{
    return { "jobs", "", "job-" + std::to_string(1000 + n) };
}

//! The log of a leader that has just won its first term.
struct Leader {
    explicit Leader(core::Duration commitAnswerDelay = {})
        : loop(std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>()))
        , store(std::make_shared<FakeRowStore>(loop))
    {
        store->commitAnswerDelay = commitAnswerDelay;
        ElectionHooks hooks;
        hooks.leaderSeen = [](const std::optional<LeaderRow>&) {};
        hooks.won = [this](const WonElection& won) { begin(won); };
        election = Election::create(
            loop, store, core::NodeId("n1"), { "127.0.0.1", 7000 }, times, core::Duration(0), std::move(hooks));
        election->start();
        advance(commitAnswerDelay > core::Duration(0) ? 500 : 3000);
    }
    //! Checks at each millisecond that the leader's authority ends before others take it for ended, who see its
    //! heartbeats.
    void checkAuthority(std::int64_t forMs)
    {
        for (std::int64_t n = 0; n < forMs; ++n) {
            advance(1);
            const auto row = store->rows.find(leaderKey());
            const core::RowVersion version = row == store->rows.end() ? core::RowVersion() : row->second.version;
            if (version != heartbeatVersion) {
                heartbeatVersion = version;
                heartbeatAt = loop->now();
            }
            if (log)
                BOOST_REQUIRE((log->authorityUntil() <= heartbeatAt + times.authorityTimeout));
        }
    }
    void begin(const WonElection& won)
    {
        LeaderLogHooks hooks;
        hooks.persisted = [this](LogRevision it) { persisted = it; };
        hooks.rejected = [this](const RejectedWrite& it) { rejected.push_back(it.key); };
        hooks.leadershipLost = [this](const std::string&) { isLost = true; };
        hooks.rejectedByStore = [this] { isRejectedByStore = true; };
        log = LeaderLog::create(loop, store, won, times, std::move(hooks));
        log->start();
    }
    void advance(std::int64_t ms) { loop->advance(std::chrono::milliseconds(ms)); }
    std::size_t storedJobs() const
    {
        return static_cast<std::size_t>(std::count_if(
            store->rows.begin(), store->rows.end(), [](const auto& it) { return it.first.table == "jobs"; }));
    }

    runtime::ManualLoopPtr loop;
    std::shared_ptr<FakeRowStore> store;
    LeaderTimes times;
    ElectionPtr election;
    LeaderLogPtr log;
    LogRevision persisted;
    std::vector<store::RowKey> rejected;
    core::RowVersion heartbeatVersion;
    core::TimePoint heartbeatAt;
    bool isLost = false;
    bool isRejectedByStore = false;
};

} // namespace

//! Guards against one row that the store rejects for good and that stops the writes of all jobs and the heartbeat.
BOOST_AUTO_TEST_CASE(a_row_that_the_store_rejects_for_good_stops_no_other_row)
{
    for (const int bad : { 0, 1, 37, 88, 89, 150 }) {
        Leader leader;
        leader.store->rejects = [bad](const store::RowUpdate& it) { return it.key == keyOf(bad); };
        LogRevision last;
        for (int n = 0; n < 200; ++n)
            last = leader.log->put(keyOf(n), "value");
        leader.advance(1500);
        BOOST_TEST(leader.storedJobs() == 199u);
        BOOST_REQUIRE(leader.rejected.size() == 1u);
        BOOST_TEST((leader.rejected.front() == keyOf(bad)));
        BOOST_TEST((leader.persisted == last));
        BOOST_TEST(leader.log->isUp());
        BOOST_TEST(!leader.isLost);
    }
}

BOOST_AUTO_TEST_CASE(a_value_too_large_for_the_store_is_dropped_alone)
{
    Leader leader;
    leader.log->put(keyOf(1), std::string(store::maxValueBytes + 1, 'x'));
    leader.log->put(keyOf(2), "value");
    leader.advance(500);
    BOOST_TEST(leader.rejected.size() == 1u);
    BOOST_TEST(leader.storedJobs() == 1u);
}

//! A store that rejects everything for a while says nothing about a single row, so none is lost.
BOOST_AUTO_TEST_CASE(no_row_is_dropped_while_the_store_rejects_everything)
{
    Leader leader;
    leader.store->rejectsAll = 12;
    for (int n = 0; n < 5; ++n)
        leader.log->put(keyOf(n), "value");
    leader.advance(4000);
    BOOST_TEST(leader.rejected.empty());
    BOOST_TEST(leader.storedJobs() == 5u);
    BOOST_TEST(!leader.isLost);
}

//! Guards against the answer "not run" for a row that may be in the store.
BOOST_AUTO_TEST_CASE(a_row_whose_answer_was_lost_is_not_withdrawn_after_a_rejection)
{
    Leader leader;
    leader.store->losesAnswers = 1;
    leader.log->put(keyOf(1), "value");
    leader.advance(22); // it has taken effect, and its answer is lost
    leader.store->rejectsAll = 1;
    leader.advance(125); // the repetition is rejected
    BOOST_TEST(leader.store->rejectsAll == 0);
    BOOST_TEST(!leader.log->withdraw(keyOf(1)));
}

//! Guards against two runs at once: the next leader counts its predecessor's authority from the last heartbeat, the
//! predecessor counted it from its last write, or from the repetition of a heartbeat.
BOOST_AUTO_TEST_CASE(authority_counts_from_the_last_heartbeat_that_others_have_seen)
{
    Leader leader;
    for (int n = 0; n < 100; ++n) { // other writes between the heartbeats
        leader.log->put(keyOf(n), "value");
        leader.checkAuthority(17);
    }
    leader.store->losesAnswers = 1; // of a heartbeat, which is repeated only after an outage
    leader.checkAuthority(800);
    leader.store->isDown = true;
    leader.checkAuthority(1500);
    leader.store->isDown = false;
    leader.checkAuthority(1500);
    BOOST_TEST(!leader.isLost);
}

//! Guards against two runs at once: a claim whose answer came late gave authority from the answer on.
BOOST_AUTO_TEST_CASE(authority_counts_from_the_claim_and_not_from_its_answer)
{
    Leader leader(std::chrono::milliseconds(1500));
    leader.checkAuthority(3000);
    BOOST_TEST(bool(leader.log));
}

//! Guards against two leaders: a node whose claim was answered only after another node had won a later term began to
//! lead.
BOOST_AUTO_TEST_CASE(claim_that_is_answered_after_a_later_term_has_begun_wins_nothing)
{
    Leader leader(std::chrono::milliseconds(4500));
    std::vector<std::string> winners;
    const auto candidate = [&](const char* name) {
        ElectionHooks hooks;
        hooks.leaderSeen = [](const std::optional<LeaderRow>&) {};
        hooks.won = [&winners, name](const WonElection&) { winners.emplace_back(name); };
        auto it = Election::create(leader.loop, leader.store, core::NodeId(name), { "127.0.0.1", 7001 }, leader.times,
            core::Duration(0), std::move(hooks));
        it->start();
        return it;
    };
    leader.store->commitAnswerDelay = {};
    const ElectionPtr other = candidate("n2");
    leader.advance(4500); // the claim of n1 has been answered
    BOOST_TEST(winners.size() == 1u);
    BOOST_TEST(!leader.log);
}

//! Guards against a small VM that leads a large fleet because it suspected the former leader before the larger ones
//! did: nodes poll the leader at different times, so they suspect it up to a second apart.
BOOST_AUTO_TEST_CASE(an_outclassed_node_waits_for_nodes_that_suspect_the_leader_later)
{
    Leader leader;
    std::vector<std::string> winners;
    const auto candidate = [&](const char* name) {
        ElectionHooks hooks;
        hooks.leaderSeen = [](const std::optional<LeaderRow>&) {};
        hooks.won = [&winners, name](const WonElection&) { winners.emplace_back(name); };
        auto it = Election::create(leader.loop, leader.store, core::NodeId(name), { "127.0.0.1", 7001 }, leader.times,
            core::Duration(0), std::move(hooks));
        it->start();
        return it;
    };
    const ElectionPtr small = candidate("small");
    const ElectionPtr large = candidate("large");
    small->setOutclassed(true);
    leader.advance(1000);
    leader.log.reset(); // no heartbeat follows
    small->setSuspected(true);
    leader.advance(900);
    large->setSuspected(true);
    leader.advance(1500);
    BOOST_TEST((winners == std::vector<std::string> { "large" }));
}

//! Random partitions of nodes, workers and store, with pauses and releases of leaders, on a paused clock.

#include "dispatch/tests/partitionedcell.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace sardinerun;
using namespace sardinerun::dispatch;
using namespace sardinerun::dispatch::testing;
using workflow::WorkflowOutcome;

namespace {

constexpr int nodeCount = 5;
constexpr int workerCount = 10;
constexpr int domainCount = 3;
constexpr core::Duration faultTime = std::chrono::seconds(60);
constexpr core::Duration settleTime = std::chrono::seconds(60); //!< covers authority, leases and the pending jobs

//! One run of a seed: jobs are submitted to random nodes while faults overlap; then all faults end.
class RandomPartitions {
public:
    explicit RandomPartitions(std::uint64_t seed, bool restartsWorkers = false)
        : m_seed(seed)
        , m_restartsWorkers(restartsWorkers)
        , m_random(seed)
        , m_cell(nodeCount, workerCount)
    {
    }

    void run()
    {
        m_cell.waitForLeader();
        const core::TimePoint until = m_cell.now() + faultTime;
        while (m_cell.now() < until) {
            submit();
            if (pick(0, 9) == 0)
                inject();
            m_cell.advance(ms(pick(20, 400)));
            endFaults(m_cell.now());
        }
        endFaults(core::TimePoint::max());
        m_cell.advance(settleTime);
        check();
    }

private:
    struct Fault {
        core::TimePoint until;
        std::function<void()> end;
    };

    int pick(int from, int to) { return std::uniform_int_distribution<int>(from, to)(m_random); }
    bool isLikely(int percent) { return pick(1, 100) <= percent; }

    void submit()
    {
        const std::string id = "job" + std::to_string(m_jobs++);
        const bool isGang = isLikely(15);
        for (int n = 0; n < 3; ++n) {
            const auto outcome
                = m_cell.submit(pick(0, nodeCount - 1), id, std::uint32_t(pick(1, 4)), pick(200, 5000), isGang);
            if (outcome == WorkflowOutcome::Accepted)
                m_accepted.push_back(id);
            if (outcome == WorkflowOutcome::Accepted || outcome == WorkflowOutcome::Refused)
                return;
        }
    }

    void inject()
    {
        using Kind = void (RandomPartitions::*)(core::TimePoint);
        static constexpr std::array<Kind, 6> kinds { &RandomPartitions::cutStore, &RandomPartitions::cutStore,
            &RandomPartitions::cutDomain, &RandomPartitions::cutPaths, &RandomPartitions::pauseLeader,
            &RandomPartitions::loseAnswers };
        // Most often several at once: that is what parts two leaders.
        const int count = pick(1, 3);
        for (int n = 0; n < count; ++n)
            (this->*kinds[std::size_t(pick(0, int(kinds.size()) - 1))])(m_cell.now() + ms(pick(1000, 25'000)));
        if (isLikely(8))
            releaseLeader();
        if (m_restartsWorkers && isLikely(40))
            m_cell.restartWorker(pick(0, workerCount - 1));
    }

    void endFaults(core::TimePoint now)
    {
        for (auto it = m_faults.begin(); it != m_faults.end();) {
            if (it->until > now) {
                ++it;
                continue;
            }
            it->end();
            it = m_faults.erase(it);
        }
    }

    //! The store turns the leader, and perhaps other nodes, away, or does not answer them.
    void cutStore(core::TimePoint until)
    {
        const int leader = m_cell.leader();
        const StoreLink link = isLikely(50) ? StoreLink::Silent : StoreLink::TurnedAway;
        for (int n = 0; n < nodeCount; ++n) {
            if (n != leader && !isLikely(15))
                continue;
            Links& links = m_cell.node(n).links;
            links.store = link;
            m_faults.push_back({ until, [&links] { links.store = StoreLink::Up; } });
        }
    }

    //! Nodes and workers of one failure domain lose the others; the store is on one side, on both or on neither.
    void cutDomain(core::TimePoint until)
    {
        const int domain = pick(0, domainCount - 1);
        const int storeSide = pick(0, 3);
        const bool holdsBack = isLikely(50);
        for (int n = 0; n < nodeCount; ++n) {
            const bool isInside = n % domainCount == domain;
            if (storeSide == 3 || (storeSide == 2 && isInside) || (storeSide == 1 && !isInside)) {
                Links& links = m_cell.node(n).links;
                links.store = StoreLink::Silent;
                m_faults.push_back({ until, [&links] { links.store = StoreLink::Up; } });
            }
            for (int other = 0; other < n; ++other) {
                if ((other % domainCount == domain) != isInside)
                    cutNodes(n, other, until);
            }
            for (int w = 0; w < workerCount; ++w) {
                if ((w % domainCount == domain) != isInside)
                    cutWorker(n, w, holdsBack, until);
            }
        }
    }

    //! Each worker loses the paths to some nodes.
    void cutPaths(core::TimePoint until)
    {
        const int share = pick(20, 80);
        const bool holdsBack = isLikely(50);
        for (int w = 0; w < workerCount; ++w) {
            for (int n = 0; n < nodeCount; ++n) {
                if (isLikely(share))
                    cutWorker(n, w, holdsBack, until);
            }
        }
    }

    void cutNodes(int a, int b, core::TimePoint until)
    {
        m_cell.setNodeCut(a, b, true);
        m_faults.push_back({ until, [this, a, b] { m_cell.setNodeCut(a, b, false); } });
    }

    //! One of the links may heal earlier than the others.
    void cutWorker(int n, int worker, bool holdsBack, core::TimePoint until)
    {
        m_cell.node(n).links.holdsBack = holdsBack;
        m_cell.setWorkerCut(n, worker, true);
        m_faults.push_back({ until - ms(isLikely(20) ? pick(0, 3000) : 0),
            [this, n, worker] { m_cell.setWorkerCut(n, worker, false); } });
    }

    void pauseLeader(core::TimePoint until)
    {
        const int leader = m_cell.leader();
        if (leader < 0)
            return;
        m_cell.node(leader).loop->setPaused(true);
        m_faults.push_back({ std::min(until, m_cell.now() + ms(15'000)),
            [this, leader] { m_cell.node(leader).loop->setPaused(false); } });
    }

    void loseAnswers(core::TimePoint) { m_cell.store->losesAnswers = pick(1, 3); }

    //! At most two nodes leave, as a node that has stepped down does not stand for election any more.
    void releaseLeader()
    {
        const int leader = m_cell.leader();
        if (leader >= 0 && m_released++ < 2)
            m_cell.node(leader).task->address().send(StepDown {});
    }

    void check()
    {
        for (const std::string& it : m_cell.ranTwice)
            BOOST_ERROR("seed " << m_seed << ": " << it);
        const int leader = m_cell.leader();
        BOOST_REQUIRE_MESSAGE(leader >= 0, "seed " << m_seed << ": no leader at the end");
        std::size_t lost = 0;
        for (const std::string& it : m_accepted)
            lost += m_cell.stateOf(leader, it) != workflow::JobState::Completed;
        BOOST_TEST(lost == 0u,
            "seed " << m_seed << ": " << lost << " of " << m_accepted.size() << " accepted jobs are not complete");
        BOOST_TEST(!m_accepted.empty(), "seed " << m_seed << ": no job was accepted");
    }

    std::uint64_t m_seed;
    bool m_restartsWorkers;
    std::mt19937_64 m_random;
    PartitionedCell m_cell;
    std::vector<Fault> m_faults;
    std::vector<std::string> m_accepted;
    int m_jobs = 0;
    int m_released = 0;
};

//! Returns a number from the environment, so that more seeds can be run by hand.
std::uint64_t numberFrom(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

} // namespace

//! Guards against tasks that run twice, or never, when leaders and workers are parted in any way.
BOOST_AUTO_TEST_CASE(no_task_runs_twice_or_never_in_random_partitions)
{
    const std::uint64_t first = numberFrom("SARDINERUN_FIRST_SEED", 1);
    const std::uint64_t count = numberFrom("SARDINERUN_SEEDS", 20);
    for (std::uint64_t seed = first; seed < first + count; ++seed)
        RandomPartitions(seed).run();
}

BOOST_AUTO_TEST_SUITE(restarts)

//! Guards against orders of a former leader that a worker carries out because it has restarted and forgotten its fence.
BOOST_AUTO_TEST_CASE(no_task_runs_twice_or_never_in_random_partitions_with_restarts_of_workers)
{
    const std::uint64_t first = numberFrom("SARDINERUN_FIRST_SEED", 22'070);
    const std::uint64_t count = numberFrom("SARDINERUN_SEEDS", 10);
    for (std::uint64_t seed = first; seed < first + count; ++seed)
        RandomPartitions(seed, true).run();
}

BOOST_AUTO_TEST_SUITE_END()

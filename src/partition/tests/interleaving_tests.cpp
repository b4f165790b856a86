#define BOOST_TEST_MODULE interleaving
#include "partition/tests/smallcell.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

//! Random orders of faults against the promises of the brief. The seed is fixed by RC_PARAMS in CMakeLists.txt;
//! scripts/longtests runs more of them with fresh seeds.

using namespace sardinerun;
using namespace sardinerun::partition;
using namespace sardinerun::partition::testing;
using namespace std::chrono_literals;

namespace {

const core::Resources workerSize { core::MilliCpu(4000), core::MebiBytes(8000), {} };
constexpr std::uint32_t partitions = 3;
constexpr int workers = 6;

//! Faults and work, drawn one after the other.
class Storm {
public:
    explicit Storm(SmallCell& cell)
        : m_cell(cell)
    {
    }

    void event(std::uint32_t n)
    {
        using Event = void (Storm::*)(std::uint32_t);
        static constexpr std::array<Event, 14> events { &Storm::submit, &Storm::submit, &Storm::submit, &Storm::submit,
            &Storm::submitTogether, &Storm::submitOnce, &Storm::takeOverPaused, &Storm::takeOverEnded,
            &Storm::cutWorker, &Storm::muteWorker, &Storm::restartWorker, &Storm::failStore, &Storm::cancel,
            &Storm::dropMessages };
        (this->*events[n % events.size()])(n / events.size());
        for (std::uint32_t it = 0; it < 1 + n % 23; ++it)
            m_cell.step();
    }

    //! All faults end; accepted work must then come to its end.
    void calm()
    {
        m_cell.storeFault = FakeStore::Fault::None;
        m_cell.cutWorkers.clear();
        m_cell.muteWorkers.clear();
        m_cell.dropsMessages = false;
        m_cell.endFormer();
    }

private:
    static core::VmId vm(std::uint32_t n) { return core::VmId("w" + std::to_string(n % workers)); }

    jobs::JobSpec next(std::uint32_t n)
    {
        auto spec = jobSpec("j" + std::to_string(++m_jobs), 1 + n % 4, 500 + 500 * (n % 5));
        spec.runTime = std::chrono::milliseconds(200 + 300 * (n % 7));
        spec.urgency = jobs::allUrgencies[n % 3];
        return spec;
    }
    void submit(std::uint32_t n) { m_ids.push_back(m_cell.submit(next(n))); }
    void submitTogether(std::uint32_t n)
    {
        auto spec = next(n);
        spec.kind = jobs::JobKind::Gang;
        m_ids.push_back(m_cell.submit(spec));
    }
    void submitOnce(std::uint32_t n)
    {
        auto spec = next(n);
        spec.isRepeatable = false;
        m_ids.push_back(m_cell.submit(spec));
    }
    void takeOverPaused(std::uint32_t n) { m_cell.takeOver(n % partitions, false); }
    void takeOverEnded(std::uint32_t n) { m_cell.takeOver(n % partitions, true); }
    void cutWorker(std::uint32_t n) { toggle(m_cell.cutWorkers, vm(n)); }
    void muteWorker(std::uint32_t n) { toggle(m_cell.muteWorkers, vm(n)); }
    void restartWorker(std::uint32_t n) { m_cell.restartWorker(vm(n)); }
    void failStore(std::uint32_t n) { m_cell.storeFault = static_cast<FakeStore::Fault>(n % 4); }
    void dropMessages(std::uint32_t n) { m_cell.dropsMessages = n % 2 == 0; }
    void cancel(std::uint32_t n)
    {
        if (!m_ids.empty())
            m_cell.cancel({ m_ids[n % m_ids.size()] }, protocol::Token(5));
    }

    static void toggle(std::set<core::VmId>& set, const core::VmId& id)
    {
        if (!set.insert(id).second)
            set.erase(id);
    }

    SmallCell& m_cell;
    std::vector<core::JobId> m_ids;
    int m_jobs = 0;
};

void checkEnds(SmallCell& cell)
{
    for (const auto& [job, outcome] : cell.record.outcomes) {
        if (outcome != protocol::SubmitOutcome::Accepted)
            continue;
        const jobs::JobStatus status = cell.statusOf(job);
        if (!jobs::isEnded(status.state))
            throw Broken("accepted work did not end: " + job.value());
        for (std::uint32_t n = 0; n < status.spec.taskCount && status.state == jobs::JobState::Succeeded; ++n) {
            if (cell.record.successes[{ job, core::TaskIndex(n) }] < 1)
                throw Broken("work was reported as done and was not: " + job.value());
        }
    }
}

void replay(const std::vector<std::uint32_t>& events)
{
    SmallCell cell(partitions, workers, workerSize);
    Storm storm(cell);
    for (const std::uint32_t it : events)
        storm.event(it);
    storm.calm();
    cell.run(60s);
    checkEnds(cell);
}

} // namespace

BOOST_AUTO_TEST_CASE(noOrderOfFaultsBreaksAPromise)
{
    BOOST_TEST(rc::check("promises hold", replay));
}

//! Orders that broke a promise once, as found and shrunk.
BOOST_AUTO_TEST_CASE(ordersThatBrokeAPromiseHoldNow)
{
    const std::vector<std::vector<std::uint32_t>> orders {
        { 344, 410 },
        { 2698948, 3678790, 1125116 },
        { 33366, 42820, 14826, 41510, 55360, 18010, 65214, 58337, 10478 },
        { 122475989, 0, 992018413, 1724763428, 4021002474 },
    };
    for (std::size_t n = 0; n < orders.size(); ++n) {
        try {
            replay(orders[n]);
        } catch (const Broken& it) {
            BOOST_ERROR("order " << n << ": " << it.what());
        }
    }
}

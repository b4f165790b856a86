#define BOOST_TEST_MODULE interleaving
#include "partition/tests/simulatedcell.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

//! Checks the guarantees of the scheduler under random sequences of faults. RC_PARAMS in CMakeLists.txt fixes the seed;
//! scripts/longtests runs more sequences with new seeds.

using namespace sardinerun;
using namespace sardinerun::partition;
using namespace sardinerun::partition::testing;
using namespace std::chrono_literals;

namespace {

const core::Resources workerSize { core::MilliCpu(4000), core::MebiBytes(8000), {} };
constexpr std::uint32_t partitions = 3;
constexpr int workers = 6;

//! Applies faults, submissions and cancellations, each selected by a number.
class FaultInjector {
public:
    explicit FaultInjector(SimulatedCell& cell)
        : m_cell(cell)
    {
    }

    void inject(std::uint32_t n)
    {
        using Action = void (FaultInjector::*)(std::uint32_t);
        static constexpr std::array<Action, 14> actions { &FaultInjector::submit, &FaultInjector::submit,
            &FaultInjector::submit, &FaultInjector::submit, &FaultInjector::submitGang,
            &FaultInjector::submitNonRepeatable, &FaultInjector::takeOverFromPausedOwner,
            &FaultInjector::takeOverFromEndedOwner, &FaultInjector::toggleUnreachable, &FaultInjector::toggleAnswerLoss,
            &FaultInjector::restartWorker, &FaultInjector::setStoreFault, &FaultInjector::cancel,
            &FaultInjector::setMessageLoss };
        (this->*actions[n % actions.size()])(n / actions.size());
        for (std::uint32_t it = 0; it < 1 + n % 23; ++it)
            m_cell.step();
    }

    //! Ends all faults. All accepted jobs must end after that.
    void endFaults()
    {
        m_cell.storeFault = FakeStore::Fault::None;
        m_cell.unreachableWorkers.clear();
        m_cell.workersLosingAnswers.clear();
        m_cell.dropsMessages = false;
        m_cell.endFormerOwners();
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
    void submitGang(std::uint32_t n)
    {
        auto spec = next(n);
        spec.kind = jobs::JobKind::Gang;
        m_ids.push_back(m_cell.submit(spec));
    }
    void submitNonRepeatable(std::uint32_t n)
    {
        auto spec = next(n);
        spec.isRepeatable = false;
        m_ids.push_back(m_cell.submit(spec));
    }
    void takeOverFromPausedOwner(std::uint32_t n) { m_cell.takeOver(n % partitions, false); }
    void takeOverFromEndedOwner(std::uint32_t n) { m_cell.takeOver(n % partitions, true); }
    void toggleUnreachable(std::uint32_t n) { toggle(m_cell.unreachableWorkers, vm(n)); }
    void toggleAnswerLoss(std::uint32_t n) { toggle(m_cell.workersLosingAnswers, vm(n)); }
    void restartWorker(std::uint32_t n) { m_cell.restartWorker(vm(n)); }
    void setStoreFault(std::uint32_t n) { m_cell.storeFault = static_cast<FakeStore::Fault>(n % 4); }
    void setMessageLoss(std::uint32_t n) { m_cell.dropsMessages = n % 2 == 0; }
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

    SimulatedCell& m_cell;
    std::vector<core::JobId> m_ids;
    int m_jobs = 0;
};

void checkOutcomes(SimulatedCell& cell)
{
    for (const auto& [job, outcome] : cell.record.outcomes) {
        if (outcome != protocol::SubmitOutcome::Accepted)
            continue;
        const jobs::JobStatus status = cell.statusOf(job);
        if (!jobs::isEnded(status.state))
            throw InvariantViolation("an accepted job did not end: " + job.value());
        for (std::uint32_t n = 0; n < status.spec.taskCount && status.state == jobs::JobState::Succeeded; ++n) {
            if (cell.record.successes[{ job, core::TaskIndex(n) }] < 1)
                throw InvariantViolation(
                    "a job was reported as succeeded with a task that did not succeed: " + job.value());
        }
    }
}

void replay(const std::vector<std::uint32_t>& actions)
{
    SimulatedCell cell(partitions, workers, workerSize);
    FaultInjector injector(cell);
    for (const std::uint32_t it : actions)
        injector.inject(it);
    injector.endFaults();
    cell.run(60s);
    checkOutcomes(cell);
}

} // namespace

BOOST_AUTO_TEST_CASE(noOrderOfFaultsBreaksAGuarantee)
{
    BOOST_TEST(rc::check("promises hold", replay));
}

//! Shrunk sequences that broke a guarantee in earlier versions.
BOOST_AUTO_TEST_CASE(ordersThatOnceBrokeAGuarantee)
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
        } catch (const InvariantViolation& it) {
            BOOST_ERROR("order " << n << ": " << it.what());
        }
    }
}

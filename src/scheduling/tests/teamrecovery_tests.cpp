//! Caps, keys and rates of teams when a leader, a worker or the store fails halfway.

#include "scheduling/tests/cell.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::scheduling;
using namespace sardinerun::scheduling::testing;
using fleet::EndKind;
using workflow::WorkflowOutcome;

namespace {

//! A leader with two workers of four cores each and team "a", which may run two cores at once.
struct CappedCell : Cell {
    CappedCell()
    {
        queue.isPublic = false;
        queue.stretch = 100;
        setCap(2000);
        lead();
    }
    void setCap(std::int64_t milliCpu)
    {
        teams::Team team;
        team.id = core::TeamId("a");
        team.cap.cpu = core::MilliCpu(milliCpu);
        teams = { team };
    }
    std::size_t startsOf(const std::string& job)
    {
        std::size_t n = 0;
        for (const auto& [id, worker] : workers->workers)
            n += std::size_t(std::count_if(worker.starts.begin(), worker.starts.end(),
                [&job](const fleet::StartOrder& it) { return it.runId.task.job.value() == job; }));
        return n;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(team_recovery)

//! Guards against a dropped team without a cap under a leader that has never known the team.
BOOST_AUTO_TEST_CASE(a_dropped_team_keeps_its_cap_under_the_next_leader)
{
    CappedCell cell;
    cell.submitFor("a", jobOf("wide", 6, 1000));
    cell.advance(ms(300));
    cell.teams.clear();
    cell.configure();
    cell.lead(ms(1000));
    BOOST_TEST(cell.running() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

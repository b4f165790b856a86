//! Teams that share a fleet: caps, shares, and a team that submits more than its rate.

#include "scheduling/fairorder.h"
#include "scheduling/tests/cell.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::scheduling;
using namespace sardinerun::scheduling::testing;
using fleet::EndKind;
using workflow::WorkflowOutcome;

namespace {

teams::Team teamOf(const std::string& id, std::int64_t capMilliCpu, int weight = 1)
{
    teams::Team it;
    it.id = core::TeamId(id);
    it.weight = weight;
    it.cap.cpu = core::MilliCpu(capMilliCpu);
    return it;
}

//! A leader with two workers of four cores each and two teams; "a" may run two cores at once.
struct TeamsCell : Cell {
    TeamsCell()
    {
        queue.isPublic = false;
        teams = { teamOf("a", 2000), teamOf("b", 0) };
        lead();
    }
};

core::Resources milliCpu(std::int64_t n)
{
    return { core::MilliCpu(n), core::MebiBytes(0), core::Accelerators(0) };
}

core::TimePoint at(std::int64_t n)
{
    return core::TimePoint(ms(n));
}

std::size_t startsOf(Cell& cell, const std::string& job)
{
    std::size_t n = 0;
    for (const auto& [id, worker] : cell.workers->workers)
        n += std::size_t(std::count_if(worker.starts.begin(), worker.starts.end(),
            [&job](const fleet::StartOrder& it) { return it.runId.task.job.value() == job; }));
    return n;
}

} // namespace

BOOST_AUTO_TEST_SUITE(team_sharing)

//! Guards against a step that brings its team above its cap because room is free.
BOOST_AUTO_TEST_CASE(a_step_wider_than_the_cap_runs_in_waves)
{
    TeamsCell cell;
    const auto wide = jobOf("wide", 5, 1000);
    BOOST_TEST((cell.submitFor("a", wide).outcome == WorkflowOutcome::Accepted));
    cell.advance(ms(500));
    BOOST_TEST(cell.running() == 2u);
    cell.endAll(EndKind::Done);
    cell.advance(ms(500));
    BOOST_TEST(cell.running() == 2u);
    cell.endAll(EndKind::Done);
    cell.advance(ms(500));
    cell.endAll(EndKind::Done);
    cell.advance(ms(500));
    BOOST_TEST(startsOf(cell, "wide") == 5u);
}

//! Guards against a job that waits for ever for a cap that it can never meet.
BOOST_AUTO_TEST_CASE(what_can_never_run_within_the_cap_is_refused_for_good)
{
    TeamsCell cell;
    for (const auto& spec : { jobOf("large", 1, 3000), jobOf("gang", 3, 1000, true) }) {
        const auto answer = cell.submitFor("a", spec);
        BOOST_TEST((answer.outcome == WorkflowOutcome::Refused));
        BOOST_TEST(answer.retryAfter.count() == 0);
        BOOST_TEST((cell.submitFor("b", spec).outcome == WorkflowOutcome::Accepted));
    }
}

//! Guards against a team at its cap that reserves room or counts as work ahead of others.
BOOST_AUTO_TEST_CASE(a_team_that_waits_for_its_cap_holds_nobody_back)
{
    TeamsCell cell;
    cell.submitFor("a", jobOf("first", 2, 1000));
    cell.advance(ms(100));
    cell.submitFor("a", jobOf("gang", 2, 1000, true));
    cell.advance(ms(100));
    BOOST_TEST((cell.submitFor("b", jobOf("other", 6, 1000)).outcome == WorkflowOutcome::Accepted));
    cell.advance(ms(500));
    BOOST_TEST(startsOf(cell, "gang") == 0u);
    BOOST_TEST(startsOf(cell, "other") == 6u);
}

//! Guards against a gang that never starts, since single tasks of its team take each bit of the cap that becomes free.
BOOST_AUTO_TEST_CASE(single_tasks_of_a_team_do_not_keep_its_gang_waiting_for_ever)
{
    TeamsCell cell;
    cell.queue.stretch = 100;
    cell.configure();
    cell.submitFor("a", jobOf("s0", 1, 1000));
    cell.submitFor("a", jobOf("s1", 1, 1000));
    cell.advance(ms(100));
    BOOST_TEST((cell.submitFor("a", jobOf("gang", 2, 1000, true)).outcome == WorkflowOutcome::Accepted));
    for (int n = 2; n < 40 && startsOf(cell, "gang") == 0; ++n) {
        cell.submitFor("a", jobOf("s" + std::to_string(n), 1, 1000));
        bool hasEnded = false; // one run at a time
        for (auto& [id, it] : cell.workers->workers) {
            if (!it.running.empty() && !std::exchange(hasEnded, true))
                it.end(fleet::RunId(it.running.begin()->first), EndKind::Done);
        }
        cell.advance(ms(200));
    }
    BOOST_TEST(startsOf(cell, "gang") == 2u);
}

//! Guards against starts by a new leader while it does not know yet what a former one has started for the team.
BOOST_AUTO_TEST_CASE(a_new_leader_counts_runs_that_it_has_not_heard_of_yet)
{
    TeamsCell cell;
    cell.submitFor("a", jobOf("first", 2, 1000));
    cell.advance(ms(300));
    BOOST_TEST(cell.running() == 2u);
    for (const char* id : { "w1", "w2" })
        cell.worker(id).isSilent = !cell.worker(id).running.empty();
    cell.lead(ms(300));
    cell.submitFor("a", jobOf("second", 1, 1000));
    cell.advance(ms(400));
    BOOST_TEST(startsOf(cell, "second") == 0u);
}

//! Guards against a cap that is lowered below what runs and stops accepted work.
BOOST_AUTO_TEST_CASE(a_lowered_cap_stops_nothing_and_starts_nothing)
{
    TeamsCell cell;
    cell.submitFor("a", jobOf("first", 4, 1000));
    cell.advance(ms(300));
    cell.teams = { teamOf("a", 1000), teamOf("b", 0) };
    cell.configure();
    cell.advance(ms(500));
    BOOST_TEST(cell.running() == 2u);
    for (auto& [id, it] : cell.workers->workers) {
        if (!it.running.empty()) {
            it.end(fleet::RunId(it.running.begin()->first), EndKind::Done);
            break;
        }
    }
    cell.advance(ms(500));
    BOOST_TEST(cell.running() == 1u);
}

//! Guards against callers who read or cancel the jobs of another team.
BOOST_AUTO_TEST_CASE(another_team_neither_reads_nor_cancels_a_job)
{
    TeamsCell cell;
    const auto spec = jobOf("job", 1, 1000);
    cell.submitFor("a", spec);
    for (const auto kind : { workflow::CallKind::Submit, workflow::CallKind::Read, workflow::CallKind::Cancel }) {
        BOOST_TEST((cell.callEngine(kind, spec, ms(400), "/q/", "b").outcome == WorkflowOutcome::OtherTeam));
        BOOST_TEST((cell.callEngine(kind, spec).outcome == WorkflowOutcome::NoKey));
    }
    BOOST_TEST(
        (cell.callEngine(workflow::CallKind::Read, spec, ms(400), "/q/", "a").outcome == WorkflowOutcome::Found));
    cell.lead(ms(600));
    BOOST_TEST(
        (cell.callEngine(workflow::CallKind::Read, spec, ms(400), "/q/", "b").outcome == WorkflowOutcome::OtherTeam));
    BOOST_TEST(
        (cell.callEngine(workflow::CallKind::Read, spec, ms(400), "/q/", "a").outcome == WorkflowOutcome::Found));
}

//! Load: one team submits many times its rate while the fleet is nearly full. Guards against other teams that pay.
BOOST_AUTO_TEST_CASE(the_excess_of_a_team_is_refused_while_the_fleet_is_full)
{
    Cell cell;
    cell.queue.isPublic = false;
    cell.queue.stretch = 20;
    cell.teams = { teamOf("a", 0), teamOf("b", 0) };
    for (teams::Team& it : cell.teams)
        it.guaranteedJobsPerSecond = 1;
    cell.lead();
    std::size_t accepted = 0;
    std::vector<core::Duration> retries;
    for (int n = 0; n < 30; ++n) {
        const auto answer = cell.submitFor("a", jobOf("a" + std::to_string(n), 1, 1000));
        if (answer.outcome == WorkflowOutcome::Accepted)
            ++accepted;
        else
            retries.push_back(answer.retryAfter);
    }
    BOOST_TEST(accepted < 10u);
    BOOST_TEST_REQUIRE(retries.size() > 5u);
    BOOST_TEST((retries[5] > retries[0])); // they don't come back as a wave
    BOOST_TEST((cell.submitFor("b", jobOf("b", 1, 1000)).outcome == WorkflowOutcome::Accepted));
    cell.advance(ms(300));
    BOOST_TEST(startsOf(cell, "b") == 1u);
}

//! Guards against an order in which a team with much waiting work comes before one that uses less of its share.
BOOST_AUTO_TEST_CASE(teams_below_their_share_come_first)
{
    teams::UsageLedger usage;
    usage.setTeams({ teamOf("a", 0, 1), teamOf("b", 0, 3) });
    usage.setCapacity(milliCpu(8000));
    usage.add(core::TeamId("a"), milliCpu(3000));
    usage.add(core::TeamId("b"), milliCpu(3000));
    const core::TeamId a("a");
    const core::TeamId b("b");
    // "a" is above its quarter, "b" below its three quarters, until its first work is counted.
    const std::vector<WaitingWork> work { { a, milliCpu(1000), at(1) }, { b, milliCpu(4000), at(2) },
        { b, milliCpu(8000), at(3) }, { a, milliCpu(1000), at(4) } };
    BOOST_TEST((fairOrder(work, usage) == std::vector<std::size_t> { 1, 2, 0, 3 }));
}

//! Guards against a change of the order where no teams are configured, or where all of them are below their share.
BOOST_AUTO_TEST_CASE(below_the_share_the_latest_start_decides)
{
    teams::UsageLedger usage;
    usage.setTeams({ teamOf("a", 0), teamOf("b", 0) });
    usage.setCapacity(milliCpu(80000));
    const core::TeamId a("a");
    const core::TeamId b("b");
    const std::vector<WaitingWork> work { { b, milliCpu(100), at(3) }, { a, milliCpu(100), at(1) },
        { b, milliCpu(100), at(2) }, { a, milliCpu(100), at(4) } };
    BOOST_TEST((fairOrder(work, usage) == std::vector<std::size_t> { 1, 2, 0, 3 }));
}

BOOST_AUTO_TEST_SUITE_END()

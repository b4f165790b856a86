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
    //! Lets a new leader take over that does not reach the workers which run something. Others have free room.
    void leadWithoutBusyWorkers()
    {
        for (auto& [id, it] : workers->workers)
            it.isSilent = !it.running.empty();
        addWorker("w3");
        addWorker("w4");
        lead(ms(300));
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

//! Guards against a job that is read or cancelled without its team's key by the path of another, public queue.
BOOST_AUTO_TEST_CASE(the_path_of_a_public_queue_opens_no_job_of_another_queue)
{
    CappedCell cell;
    workflow::QueuePolicy open = cell.queue;
    open.name = "open";
    open.pathPrefix = "/open/";
    open.isPublic = true;
    cell.moreQueues = { open };
    cell.configure();
    const auto spec = jobOf("job", 1, 1000);
    cell.submitFor("a", spec);
    for (const auto kind : { workflow::CallKind::Submit, workflow::CallKind::Read, workflow::CallKind::Cancel })
        BOOST_TEST((cell.callEngine(kind, spec, ms(400), "/open/").outcome == WorkflowOutcome::NoKey));
    const auto other = jobOf("other", 1, 1000);
    using workflow::CallKind;
    BOOST_TEST((cell.callEngine(CallKind::Submit, other, ms(400), "/open/").outcome == WorkflowOutcome::Accepted));
    BOOST_TEST((cell.callEngine(CallKind::Read, other, ms(400), "/open/").outcome == WorkflowOutcome::Found));
}

//! Guards against a forwarded call that names a team without showing a key of it.
BOOST_AUTO_TEST_CASE(the_leader_identifies_a_caller_by_the_key_alone)
{
    CappedCell cell;
    workflow::WorkflowCall call;
    call.kind = workflow::CallKind::Submit;
    call.host = "h";
    call.path = "/q/job";
    call.spec = jobOf("job", 1, 1000);
    call.team = core::TeamId("a");
    std::optional<WorkflowOutcome> got;
    cell.engine->handle(call, [&got](const workflow::WorkflowResult& answer) { got = answer.outcome; });
    cell.advance(ms(500));
    BOOST_TEST_REQUIRE(got.has_value());
    BOOST_TEST((*got == WorkflowOutcome::NoKey));
    BOOST_TEST(cell.running() == 0u);
}

//! Guards against runs of a cancelled job that a new leader does not count, as the job has ended.
BOOST_AUTO_TEST_CASE(a_new_leader_counts_runs_of_a_cancelled_job_that_it_has_not_heard_of)
{
    CappedCell cell;
    const auto first = jobOf("first", 2, 1000);
    cell.submitFor("a", first);
    cell.advance(ms(300));
    for (auto& [id, it] : cell.workers->workers)
        it.isSilent = true; // they receive no stop orders
    cell.callEngine(workflow::CallKind::Cancel, first, ms(400), "/q/", "a");
    BOOST_TEST(cell.running() == 2u);
    cell.leadWithoutBusyWorkers();
    cell.submitFor("a", jobOf("second", 2, 1000));
    cell.advance(ms(400));
    BOOST_TEST(cell.startsOf("second") == 0u);
}

//! Guards against runs of a step that a new leader does not count, as the end of the step before was not persisted.
BOOST_AUTO_TEST_CASE(a_new_leader_counts_runs_of_steps_that_its_records_do_not_show_as_open)
{
    CappedCell cell;
    auto first = jobOf("first", 1, 1000);
    first.steps.push_back(first.steps[0]);
    first.steps[1].count = 2;
    first.steps[1].after = { 0 };
    cell.submitFor("a", first);
    cell.advance(ms(300));
    cell.store->isDown = true;
    cell.endAll(EndKind::Done);
    cell.advance(ms(300));
    BOOST_TEST(cell.running() == 2u);
    cell.engine.reset();
    cell.store->isDown = false;
    cell.leadWithoutBusyWorkers();
    cell.submitFor("a", jobOf("second", 2, 1000));
    cell.advance(ms(400));
    BOOST_TEST(cell.running() <= 2u);
}

//! Guards against tasks on spare CPU beyond the size of a silent worker, which a new leader does not count.
BOOST_AUTO_TEST_CASE(a_new_leader_counts_tasks_on_spare_cpu_beyond_the_size_of_a_silent_worker)
{
    CappedCell cell;
    cell.entries.pop_back();
    cell.setCap(8000);
    cell.lead();
    auto first = jobOf("first", 8, 1000);
    first.steps[0].usesSpareCpu = true;
    cell.submitFor("a", first);
    cell.advance(ms(300));
    BOOST_TEST(cell.worker("w1").running.size() == 8u);
    cell.leadWithoutBusyWorkers();
    cell.submitFor("a", jobOf("second", 2, 1000));
    cell.advance(ms(400));
    BOOST_TEST(cell.startsOf("second") == 0u);
}

//! Guards against a silent worker that is no longer listed, so its size is unknown and was taken for 0.
BOOST_AUTO_TEST_CASE(a_new_leader_counts_runs_on_a_silent_worker_that_is_not_listed)
{
    CappedCell cell;
    cell.submitFor("a", jobOf("first", 2, 1000));
    cell.advance(ms(300));
    BOOST_TEST(cell.running() == 2u);
    cell.entries.clear();
    cell.leadWithoutBusyWorkers();
    cell.submitFor("a", jobOf("second", 2, 1000));
    cell.advance(ms(400));
    BOOST_TEST(cell.startsOf("second") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

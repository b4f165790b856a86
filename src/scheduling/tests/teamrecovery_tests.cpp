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

//! Guards against a job that runs, or counts towards the cap, though its leader ended before its record was written.
BOOST_AUTO_TEST_CASE(a_job_that_its_leader_did_not_record_occupies_nothing)
{
    CappedCell cell;
    const auto lost = jobOf("lost", 2, 1000);
    cell.store->isDown = true;
    bool isAnswered = false;
    cell.engine->handle(cell.callOf(workflow::CallKind::Submit, lost, "/q/", "a"),
        [&isAnswered](const workflow::WorkflowResult& it) { isAnswered = it.outcome == WorkflowOutcome::Accepted; });
    cell.advance(ms(50));
    cell.engine.reset();
    cell.store->isDown = false;
    cell.lead();
    BOOST_TEST(!isAnswered);
    cell.submitFor("a", jobOf("next", 2, 1000));
    cell.advance(ms(300));
    BOOST_TEST(cell.startsOf("lost") == 0u);
    BOOST_TEST(cell.startsOf("next") == 2u);
}

//! Guards against a job that is counted or started twice after the answer to the write of its record was lost.
BOOST_AUTO_TEST_CASE(a_job_whose_record_was_confirmed_by_no_answer_runs_once)
{
    CappedCell cell;
    cell.store->losesAnswers = 1;
    const auto job = jobOf("job", 2, 1000);
    cell.submitFor("a", job);
    cell.submitFor("a", job); // the caller tries again
    cell.advance(ms(500));
    BOOST_TEST(cell.startsOf("job") == 2u);
    cell.endAll(EndKind::Done);
    cell.submitFor("a", jobOf("next", 3, 1000));
    cell.advance(ms(500));
    BOOST_TEST(cell.startsOf("job") == 2u);
    BOOST_TEST(cell.running() == 2u);
}

//! Guards against a key that is served as the node that took the call has not learned yet that it is withdrawn.
BOOST_AUTO_TEST_CASE(a_key_that_only_an_older_configuration_knows_is_rejected_by_the_leader)
{
    CappedCell cell;
    cell.teams.clear();
    cell.configure();
    auto call = cell.callOf(workflow::CallKind::Submit, jobOf("job", 1, 1000), "/q/", "a");
    call.knownConfig = core::ConfigVersion(1);
    std::optional<WorkflowOutcome> got;
    cell.engine->handle(call, [&got](const workflow::WorkflowResult& it) { got = it.outcome; });
    cell.advance(ms(300));
    BOOST_TEST((got == WorkflowOutcome::NoKey));
    BOOST_TEST(cell.running() == 0u);
}

//! Guards against usage that stays counted, or is counted for another team, when a worker restarts.
BOOST_AUTO_TEST_CASE(a_restarted_worker_frees_the_caps_of_the_teams_whose_tasks_it_ran)
{
    CappedCell cell;
    cell.teams.push_back(cell.teams.front());
    cell.teams.back().id = core::TeamId("b");
    cell.entries.pop_back();
    cell.worker("w1").startedAt = fleet::WorkerStartTime(1);
    cell.lead();
    cell.submitFor("a", jobOf("ofA", 2, 1000));
    cell.submitFor("b", jobOf("ofB", 2, 1000));
    cell.advance(ms(300));
    BOOST_TEST(cell.running() == 4u);
    cell.callEngine(workflow::CallKind::Cancel, jobOf("ofA", 2, 1000), ms(400), "/q/", "a");
    cell.worker("w1").restart(cell.loop->now());
    cell.advance(ms(3000));
    BOOST_TEST(cell.startsOf("ofB") == 4u); // started again
    cell.submitFor("a", jobOf("next", 3, 1000));
    cell.advance(ms(500));
    BOOST_TEST(cell.startsOf("next") == 2u);
    BOOST_TEST(cell.running() == 4u);
}

//! Guards against refusals that are not true, and against work that is lost, when the store is away during a flood.
BOOST_AUTO_TEST_CASE(what_is_refused_in_a_flood_while_the_store_is_away_has_not_run)
{
    CappedCell cell;
    cell.teams.front().guaranteedJobsPerSecond = 1;
    cell.configure();
    std::vector<std::string> refused;
    std::vector<std::string> accepted;
    for (int n = 0; n < 20; ++n) {
        cell.store->isDown = n >= 3 && n < 15;
        const std::string id = "j" + std::to_string(n);
        const auto outcome = cell.submitFor("a", jobOf(id, 1, 500)).outcome;
        if (outcome == WorkflowOutcome::Accepted)
            accepted.push_back(id);
        else if (outcome != WorkflowOutcome::Uncertain)
            refused.push_back(id);
    }
    for (int n = 0; n < 40; ++n) {
        cell.advance(ms(200));
        cell.endAll(EndKind::Done);
    }
    BOOST_TEST(refused.size() >= 10u);
    for (const std::string& it : refused)
        BOOST_TEST(cell.startsOf(it) == 0u, it);
    for (const std::string& it : accepted)
        BOOST_TEST(cell.startsOf(it) == 1u, it);
}

//! Guards against accepted work that is dropped, or still readable by the key, when a key is withdrawn.
BOOST_AUTO_TEST_CASE(a_job_goes_on_when_its_key_is_withdrawn_and_nobody_reads_it_with_that_key)
{
    CappedCell cell;
    const auto job = jobOf("job", 4, 1000);
    cell.submitFor("a", job);
    cell.advance(ms(300));
    const auto former = cell.teams;
    cell.teams.clear();
    cell.configure();
    for (int n = 0; n < 2; ++n) {
        BOOST_TEST(cell.running() == 2u);
        cell.endAll(EndKind::Done);
        cell.advance(ms(500));
    }
    for (const auto kind : { workflow::CallKind::Read, workflow::CallKind::Cancel, workflow::CallKind::Submit })
        BOOST_TEST((cell.callEngine(kind, job, ms(400), "/q/", "a").outcome == WorkflowOutcome::NoKey));
    cell.teams = former;
    cell.configure();
    const auto answer = cell.callEngine(workflow::CallKind::Read, job, ms(400), "/q/", "a");
    BOOST_TEST((answer.state == workflow::JobState::Completed));
}

//! Guards against excess that a new leader takes for work within the rate, so that it goes before other teams' work.
BOOST_AUTO_TEST_CASE(excess_stays_excess_under_the_next_leader)
{
    CappedCell cell;
    cell.setCap(0);
    cell.teams.front().guaranteedJobsPerSecond = 1;
    cell.teams.push_back(cell.teams.front());
    cell.teams.back().id = core::TeamId("b");
    cell.lead();
    for (int n = 0; n < 5; ++n) // the bucket holds the jobs of two seconds and three more
        cell.submitFor("a", jobOf("usual" + std::to_string(n), 1, 10));
    cell.submitFor("a", jobOf("excess", 4, 900));
    cell.submitFor("b", jobOf("other", 4, 900));
    for (auto& [id, it] : cell.workers->workers)
        it.isSilent = true; // so that none of the two jobs goes on
    cell.engine.reset();
    for (auto& [id, it] : cell.workers->workers) {
        it.isSilent = false;
        it.loseState();
    }
    cell.entries.resize(1); // room for one of the two
    cell.lead(ms(15'000));
    BOOST_TEST(cell.startsOf("other") >= 4u);
    BOOST_TEST(cell.worker("w1").running.size() >= 4u);
    for (const auto& [id, run] : cell.worker("w1").running)
        BOOST_TEST(id.task.job.value() != "excess");
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE scheduling
#include "scheduling/reservation.h"
#include "scheduling/speedtracker.h"
#include "scheduling/tests/cell.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>

using namespace sardinerun;
using namespace sardinerun::scheduling;
using namespace sardinerun::scheduling::testing;
using fleet::EndKind;
using workflow::JobState;
using workflow::WorkflowOutcome;

BOOST_AUTO_TEST_CASE(a_job_is_kept_started_ended_and_shown)
{
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 3, 1000);
    BOOST_TEST((cell.submit(job) == WorkflowOutcome::Accepted));
    cell.advance(ms(100));
    BOOST_TEST(cell.running() == 3u);
    BOOST_TEST((cell.stateOf(job) == JobState::Running));
    cell.endAll(EndKind::Done);
    cell.advance(ms(100));
    BOOST_TEST((cell.stateOf(job) == JobState::Completed));
    BOOST_TEST(cell.starts() == 3u);
    cell.advance(ms(1500));
    BOOST_TEST(cell.worker("w1").ended.empty()); // forgotten once kept
    BOOST_TEST(cell.worker("w2").ended.empty());
}

BOOST_AUTO_TEST_CASE(a_second_submission_of_the_same_job_is_the_same_job)
{
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 1, 1000);
    BOOST_TEST((cell.submit(job) == WorkflowOutcome::Accepted));
    cell.advance(ms(50));
    BOOST_TEST((cell.submit(job) == WorkflowOutcome::Accepted));
    cell.advance(ms(50));
    BOOST_TEST(cell.starts() == 1u);
}

BOOST_AUTO_TEST_CASE(room_is_never_exceeded)
{
    Cell cell;
    cell.lead();
    cell.submit(jobOf("a", 6, 1500));
    cell.submit(jobOf("b", 6, 1500));
    cell.advance(ms(200));
    BOOST_TEST(cell.worker("w1").running.size() == 2u);
    BOOST_TEST(cell.worker("w2").running.size() == 2u);
    cell.endAll(EndKind::Done);
    cell.advance(ms(200));
    BOOST_TEST(cell.running() == 4u);
}

BOOST_AUTO_TEST_CASE(what_no_worker_can_hold_is_refused_at_once)
{
    Cell cell;
    cell.lead();
    const auto answer = cell.ask(workflow::CallKind::Submit, jobOf("a", 1, 5000));
    BOOST_TEST((answer.outcome == WorkflowOutcome::Refused));
    BOOST_TEST(answer.retryAfter.count() == 0);
    cell.advance(ms(500));
    BOOST_TEST(cell.starts() == 0u);
}

BOOST_AUTO_TEST_CASE(a_gang_starts_whole_or_not_at_all)
{
    Cell cell;
    cell.lead();
    cell.submit(jobOf("small", 1, 4000));
    cell.advance(ms(50));
    cell.submit(jobOf("gang", 3, 2000, true));
    cell.advance(ms(300));
    BOOST_TEST(cell.running() == 1u);
    cell.endAll(EndKind::Done);
    cell.advance(ms(300));
    BOOST_TEST(cell.running() == 3u);
}

BOOST_AUTO_TEST_CASE(a_gang_ends_with_one_member_and_starts_anew_as_a_whole_when_one_fails)
{
    Cell cell;
    cell.lead();
    const auto job = jobOf("gang", 4, 2000, true);
    cell.submit(job);
    cell.advance(ms(100));
    BOOST_TEST(cell.running() == 4u);
    FakeWorker& worker = cell.worker("w1");
    const fleet::RunId failed = worker.running.begin()->first;
    worker.end(failed, EndKind::Failed);
    cell.advance(ms(600));
    BOOST_TEST(cell.running() == 4u);
    BOOST_TEST(cell.starts() == 8u);
    const fleet::RunId again = worker.running.begin()->first;
    BOOST_TEST((again.run > failed.run));
    worker.end(again, EndKind::Done);
    cell.advance(ms(300));
    BOOST_TEST((cell.stateOf(job) == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(steps_follow_one_another)
{
    Cell cell;
    cell.lead();
    auto job = jobOf("a", 2, 1000);
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = { 0 };
    cell.submit(job);
    cell.advance(ms(100));
    BOOST_TEST(cell.running() == 2u);
    cell.endAll(EndKind::Done);
    cell.advance(ms(100));
    BOOST_TEST(cell.running() == 2u);
    BOOST_TEST(cell.starts() == 4u);
    cell.endAll(EndKind::Done);
    cell.advance(ms(100));
    BOOST_TEST((cell.stateOf(job) == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(a_task_that_fails_too_often_fails_the_job)
{
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 1, 1000);
    cell.submit(job);
    for (int n = 0; n < 5; ++n) {
        cell.advance(ms(200));
        cell.endAll(EndKind::Failed);
    }
    cell.advance(ms(200));
    BOOST_TEST((cell.stateOf(job) == JobState::Failed));
    BOOST_TEST(cell.starts() == 2u);
}

BOOST_AUTO_TEST_CASE(a_cancelled_job_is_stopped_and_starts_no_more)
{
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 6, 2000);
    cell.submit(job);
    cell.advance(ms(100));
    BOOST_TEST((cell.ask(workflow::CallKind::Cancel, job).outcome == WorkflowOutcome::Cancelled));
    cell.advance(ms(500));
    BOOST_TEST(cell.running() == 0u);
    BOOST_TEST(cell.starts() == 4u);
    BOOST_TEST((cell.stateOf(job) == JobState::Cancelled));
}

BOOST_AUTO_TEST_CASE(a_job_is_found_only_under_a_queue_that_exists)
{
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 1, 1000);
    cell.submit(job);
    BOOST_TEST((cell.ask(workflow::CallKind::Read, job).outcome == WorkflowOutcome::Found));
    BOOST_TEST((cell.ask(workflow::CallKind::Read, job, ms(400), "/other/").outcome == WorkflowOutcome::NoQueue));
    BOOST_TEST((cell.ask(workflow::CallKind::Cancel, job, ms(400), "/other/").outcome == WorkflowOutcome::NoQueue));
    cell.advance(ms(100));
    BOOST_TEST(cell.running() == 1u);
}

BOOST_AUTO_TEST_CASE(occurrences_start_when_they_are_due_and_may_overlap)
{
    Cell cell;
    cell.lead();
    auto job = jobOf("a", 1, 1000);
    job.occurrences = 3;
    job.firstDueAt = core::WallTime(cell.loop->wallNow().value() + 500);
    job.interval = ms(1000);
    cell.submit(job);
    cell.advance(ms(400));
    BOOST_TEST(cell.starts() == 0u);
    cell.advance(ms(300));
    BOOST_TEST(cell.starts() == 1u);
    cell.advance(ms(1000));
    BOOST_TEST(cell.starts() == 2u); // the first one still runs
    BOOST_TEST(cell.running() == 2u);
    cell.advance(ms(1000));
    BOOST_TEST(cell.starts() == 3u);
    cell.endAll(EndKind::Done);
    cell.advance(ms(200));
    BOOST_TEST((cell.stateOf(job) == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(a_long_running_task_is_started_again_however_it_ends)
{
    Cell cell;
    cell.lead();
    auto job = jobOf("a", 2, 1000);
    job.steps[0].isLongRunning = true;
    cell.submit(job);
    cell.advance(ms(100));
    BOOST_TEST(cell.starts() == 2u);
    for (const EndKind kind : { EndKind::Done, EndKind::Failed, EndKind::Failed, EndKind::Failed, EndKind::Stopped }) {
        cell.endAll(kind);
        cell.advance(ms(3000));
        BOOST_TEST(cell.running() == 2u);
    }
    BOOST_TEST((cell.stateOf(job) == JobState::Running));
}

BOOST_AUTO_TEST_CASE(work_on_left_over_processors_is_held_back_beside_a_service_over_its_target)
{
    Cell cell;
    cell.entries.pop_back(); // one worker
    cell.lead();
    auto service = jobOf("a", 1, 4000);
    service.steps[0].isLongRunning = true;
    service.steps[0].latencyTarget = ms(100);
    auto filling = jobOf("b", 1, 4000);
    filling.steps[0].usesSpareCpu = true;
    filling.steps[0].estimate = ms(60000);
    cell.submit(service);
    cell.submit(filling);
    cell.advance(ms(200));
    BOOST_TEST(cell.running() == 2u);
    FakeWorker& worker = cell.worker("w1");
    const auto setTail = [&](std::int64_t tail) { worker.running.begin()->second.load = tail; };
    const auto limitCpu = [&] { return worker.cpuLimits.empty() ? 100 : worker.cpuLimits.begin()->second; };
    setTail(150);
    cell.advance(ms(2500)); // two reports: well before the four seconds in which it must be over
    BOOST_TEST(limitCpu() == 0);
    cell.advance(ms(5000));
    BOOST_TEST(cell.starts() == 2u); // standing still is not its fault
    setTail(30);
    cell.advance(ms(20000));
    BOOST_TEST(limitCpu() == 100);
}

BOOST_AUTO_TEST_CASE(a_start_whose_answer_was_lost_is_settled_before_the_next)
{
    Cell cell;
    cell.lead();
    cell.worker("w1").losesStarts = 1;
    cell.worker("w2").losesStarts = 1;
    const auto job = jobOf("a", 1, 1000);
    cell.submit(job);
    std::size_t most = 0;
    for (int n = 0; n < 300; ++n) {
        cell.advance(ms(10));
        most = std::max(most, cell.running());
    }
    BOOST_TEST(most == 1u);
    BOOST_TEST(cell.running() == 1u);
    BOOST_TEST(cell.starts() >= 2u);
}

BOOST_AUTO_TEST_CASE(an_order_that_is_carried_out_late_runs_nothing_twice)
{
    Cell cell;
    cell.lead();
    cell.worker("w1").delaysStarts = 1;
    cell.worker("w2").delaysStarts = 1;
    cell.submit(jobOf("a", 1, 1000));
    cell.advance(ms(3000));
    BOOST_TEST(cell.running() == 1u);
    cell.workers->carryOutDelayedStarts(core::VmId("w1"));
    cell.workers->carryOutDelayedStarts(core::VmId("w2"));
    BOOST_TEST(cell.running() == 1u);
}

BOOST_AUTO_TEST_CASE(a_silent_worker_loses_its_tasks_only_when_its_lease_is_over)
{
    Cell cell;
    cell.lead();
    cell.submit(jobOf("a", 1, 1000));
    cell.advance(ms(300));
    const std::string first = cell.worker("w1").running.empty() ? "w2" : "w1";
    const std::string other = first == "w1" ? "w2" : "w1";
    cell.worker(first).isSilent = true;
    cell.advance(ms(3000));
    BOOST_TEST(cell.worker(other).running.empty()); // it may still run there
    cell.advance(ms(5000));
    BOOST_TEST(cell.worker(other).running.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_worker_that_was_born_again_has_lost_its_tasks_at_once)
{
    Cell cell;
    cell.worker("w1").startedAt = fleet::WorkerStartTime(5);
    cell.worker("w2").startedAt = fleet::WorkerStartTime(5);
    cell.lead();
    cell.submit(jobOf("a", 1, 1000));
    cell.advance(ms(300));
    FakeWorker& first = cell.worker("w1").running.empty() ? cell.worker("w2") : cell.worker("w1");
    first.loseState();
    first.startedAt = fleet::WorkerStartTime(9);
    cell.advance(ms(1500));
    BOOST_TEST(cell.running() == 1u);
    BOOST_TEST(cell.starts() == 2u);
}

//! Found by soak seed 2.
BOOST_AUTO_TEST_CASE(ends_of_a_former_life_do_not_let_the_worker_forget_those_of_the_next)
{
    Cell cell;
    cell.entries.pop_back(); // one worker
    FakeWorker& worker = cell.worker("w1");
    worker.startedAt = fleet::WorkerStartTime(1);
    cell.lead();
    cell.submit(jobOf("a", 3, 1000));
    cell.advance(ms(100));
    cell.store->isDown = true;
    cell.endAll(EndKind::Done); // seen, but not kept before the worker is born again
    cell.advance(ms(100));
    worker.loseState();
    worker.startedAt = fleet::WorkerStartTime(2);
    cell.advance(ms(1500));
    cell.store->isDown = false;
    cell.advance(ms(1000));
    cell.submit(jobOf("b", 3, 1000));
    cell.advance(ms(100));
    BOOST_REQUIRE(cell.running() == 3u);
    worker.end(fleet::RunId(worker.running.begin()->first), EndKind::Done);
    cell.advance(ms(500));
    cell.store->isDown = true;
    cell.endAll(EndKind::Done);
    cell.advance(ms(500));
    BOOST_TEST(worker.ended.size() == 2u); // listed until they are kept
    cell.store->isDown = false;
    cell.advance(ms(3000));
    BOOST_TEST((cell.stateOf(jobOf("b", 3, 1000)) == JobState::Completed));
    BOOST_TEST(cell.starts() == 6u);
}

//! A worker that crashed between a hold and the next one knows nothing of the numbers of its former life.
BOOST_AUTO_TEST_CASE(after_a_hold_without_answer_nothing_may_be_forgotten_until_the_worker_is_known_again)
{
    Cell cell;
    cell.entries.pop_back();
    FakeWorker& worker = cell.worker("w1");
    worker.startedAt = fleet::WorkerStartTime(1);
    cell.lead();
    cell.submit(jobOf("a", 3, 1000));
    cell.advance(ms(100));
    cell.endAll(EndKind::Done);
    cell.advance(ms(500)); // kept and forgotten, up to number 3
    cell.submit(jobOf("b", 2, 1000));
    cell.advance(ms(100));
    worker.isSilent = true;
    cell.advance(ms(1800));
    worker.loseState();
    worker.startedAt = fleet::WorkerStartTime(2);
    // An order of the former leader's kind that was on its way runs and ends in the new life.
    worker.running[{ { core::JobId("b"), 0, 0, 0 }, fleet::RunNumber(1) }] = {};
    worker.end({ { core::JobId("b"), 0, 0, 0 }, fleet::RunNumber(1) }, EndKind::Done);
    worker.isSilent = false;
    cell.advance(ms(3000));
    const auto starts = std::count_if(worker.starts.begin(), worker.starts.end(), [](const fleet::StartOrder& it) {
        return it.run.task == fleet::TaskId { core::JobId("b"), 0, 0, 0 };
    });
    BOOST_TEST(starts == 1);
}

BOOST_AUTO_TEST_CASE(a_new_leader_adopts_what_runs)
{
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 3, 1000);
    const auto gang = jobOf("gang", 4, 1000, true);
    cell.submit(job);
    cell.submit(gang);
    cell.advance(ms(200));
    BOOST_TEST(cell.running() == 7u);
    cell.lead();
    BOOST_TEST(cell.starts() == 7u);
    cell.endAll(EndKind::Done);
    cell.advance(ms(300));
    BOOST_TEST((cell.stateOf(job) == JobState::Completed));
    BOOST_TEST((cell.stateOf(gang) == JobState::Completed));
    BOOST_TEST(cell.starts() == 7u);
}

BOOST_AUTO_TEST_CASE(a_new_leader_refuses_nothing_because_workers_have_not_answered_yet)
{
    Cell cell;
    cell.lead();
    const auto running = jobOf("a", 4, 2000);
    cell.submit(running);
    cell.submit(jobOf("b", 1, 1000));
    cell.advance(ms(100));
    cell.workers->latency = ms(3000);
    cell.lead(ms(0));
    BOOST_TEST((cell.submit(jobOf("c", 1, 1000)) == WorkflowOutcome::Accepted));
}

BOOST_AUTO_TEST_CASE(a_new_leader_counts_failures_in_whatever_order_they_are_listed)
{
    // Two runs of one task failed on two workers while the store was away; the newer end is read first.
    Cell cell;
    cell.queue.maxAttempts = 2;
    cell.lead();
    const auto job = jobOf("a", 1, 1000);
    cell.submit(job);
    cell.advance(ms(200));
    cell.store->isDown = true;
    cell.endAll(EndKind::Failed);
    cell.advance(ms(300));
    cell.endAll(EndKind::Failed);
    BOOST_TEST(cell.starts() == 2u);
    cell.store->isDown = false;
    cell.engine.reset();
    cell.lead();
    BOOST_TEST((cell.stateOf(job) == JobState::Failed));
    BOOST_TEST(cell.starts() == 2u);
}

BOOST_AUTO_TEST_CASE(ends_of_a_job_are_forgotten_only_once_its_end_is_kept)
{
    // The worker left the register and came back while the store was away, so its ends were listed anew.
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 1, 1000);
    cell.submit(job);
    cell.advance(ms(200));
    const std::string name = cell.worker("w1").running.empty() ? "w2" : "w1";
    cell.store->isDown = true;
    cell.endAll(EndKind::Done);
    cell.advance(ms(300));
    const auto all = cell.entries;
    cell.engine->setWorkers({});
    cell.advance(ms(4000));
    cell.engine->setWorkers(all);
    cell.advance(ms(1000));
    BOOST_TEST(cell.worker(name).ended.size() == 1u);
    cell.store->isDown = false;
    cell.engine.reset();
    cell.lead();
    BOOST_TEST((cell.stateOf(job) == JobState::Completed));
    BOOST_TEST(cell.starts() == 1u);
}

BOOST_AUTO_TEST_CASE(a_new_leader_waits_for_silent_workers_before_it_starts_recovered_tasks)
{
    Cell cell;
    cell.lead();
    const auto job = jobOf("a", 1, 1000);
    cell.submit(job);
    cell.advance(ms(200));
    const std::string first = cell.worker("w1").running.empty() ? "w2" : "w1";
    const std::string other = first == "w1" ? "w2" : "w1";
    cell.worker(first).isSilent = true;
    cell.lead();
    BOOST_TEST(cell.worker(other).running.empty());
    BOOST_TEST((cell.submit(jobOf("new", 1, 1000)) == WorkflowOutcome::Accepted));
    cell.advance(ms(200));
    BOOST_TEST(cell.worker(other).running.size() == 1u); // new work need not wait
    cell.advance(std::chrono::seconds(20));
    BOOST_TEST(cell.worker(other).running.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_run_that_is_stopped_holds_its_task_back)
{
    // A former leader had started a gang of which one member is gone, so the rest is stopped first.
    Cell cell;
    cell.lead();
    cell.submit(jobOf("gang", 4, 1000, true));
    cell.advance(ms(200));
    FakeWorker& worker = cell.worker("w1").running.empty() ? cell.worker("w2") : cell.worker("w1");
    worker.running.erase(worker.running.begin());
    cell.lead(ms(50));
    std::set<std::uint32_t> indexes;
    for (int n = 0; n < 200; ++n) {
        cell.advance(ms(5));
        indexes.clear();
        std::size_t runs = 0;
        for (auto& [id, it] : cell.workers->workers) {
            for (const auto& [name, run] : it.running) {
                indexes.insert(name.task.index);
                ++runs;
            }
        }
        BOOST_REQUIRE(indexes.size() == runs); // no member runs twice
    }
    BOOST_TEST(indexes.size() == 4u);
}

BOOST_AUTO_TEST_CASE(nothing_is_accepted_that_the_store_has_not_kept)
{
    Cell cell;
    cell.lead();
    cell.store->isDown = true;
    const auto job = jobOf("a", 1, 1000);
    BOOST_TEST((cell.submit(job) == WorkflowOutcome::NotNow));
    cell.advance(ms(500));
    cell.store->isDown = false;
    cell.advance(ms(2000));
    BOOST_TEST(cell.starts() == 0u);
    BOOST_TEST((cell.submit(job) == WorkflowOutcome::Accepted));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_of_the_store_neither_loses_nor_doubles)
{
    Cell cell;
    cell.lead();
    cell.store->losesAnswers = 1;
    BOOST_TEST((cell.submit(jobOf("a", 1, 1000)) == WorkflowOutcome::Accepted));
    cell.advance(ms(300));
    BOOST_TEST(cell.starts() == 1u);
    BOOST_TEST(!cell.isLeadershipLost);
}

//! Pattern: the store answers sixty times slower while many callers come.
BOOST_AUTO_TEST_CASE(what_a_slow_store_cannot_keep_in_time_is_refused_at_once)
{
    Cell cell;
    for (int n = 0; n < 30; ++n)
        cell.addWorker("more" + std::to_string(n), 40000);
    cell.lead();
    cell.store->latency = ms(400);
    cell.submit(jobOf("first", 1, 100));
    std::map<WorkflowOutcome, int> counts;
    int refusedAtOnce = 0;
    for (int n = 0; n < 600; ++n) {
        workflow::WorkflowCall call;
        call.kind = workflow::CallKind::Submit;
        call.host = "h";
        call.spec = jobOf("job" + std::to_string(n), 1, 100);
        call.path = "/q/" + call.spec.id.value();
        call.timeout = ms(1200);
        cell.engine->handle(call, [&counts](const workflow::WorkflowResult& it) { ++counts[it.outcome]; });
        refusedAtOnce = counts[WorkflowOutcome::NotNow];
    }
    cell.advance(ms(3000));
    BOOST_TEST(refusedAtOnce >= 200);
    BOOST_TEST(counts[WorkflowOutcome::Accepted] >= 100);
    BOOST_TEST(counts[WorkflowOutcome::Uncertain] == 0);
    BOOST_TEST(counts[WorkflowOutcome::NotNow] == refusedAtOnce); // nobody waits in vain
}

BOOST_AUTO_TEST_CASE(a_waiting_record_does_not_wait_for_the_next_beat)
{
    Cell cell;
    cell.lead();
    cell.advance(ms(1700)); // a heartbeat was written, the next one is far
    const core::TimePoint before = cell.loop->now();
    BOOST_TEST((cell.submit(jobOf("a", 1, 1000)) == WorkflowOutcome::Accepted));
    BOOST_TEST((cell.loop->now() - before < ms(60)));
}

BOOST_AUTO_TEST_CASE(a_leader_that_releases_while_a_beat_is_written_still_says_so)
{
    Cell cell;
    cell.lead();
    for (int n = 0; n < 100; ++n) { // into the time of some heartbeat's writing
        Cell other;
        other.lead();
        other.advance(ms(700 + n * 2));
        bool isDone = false;
        other.engine->release(false, [&isDone] { isDone = true; });
        other.advance(ms(100));
        BOOST_REQUIRE(isDone);
        const auto row = lead::decodeLeaderRow(other.store->rows[lead::leaderKey()].value);
        BOOST_REQUIRE(row->isReleased);
    }
}

BOOST_AUTO_TEST_CASE(a_leader_that_beats_keeps_its_leadership)
{
    Cell cell;
    cell.lead();
    const EnginePtr first = cell.engine;
    cell.elect(ms(3000));
    BOOST_TEST((cell.engine == first));
    BOOST_TEST(!cell.isLeadershipLost);
}

BOOST_AUTO_TEST_CASE(a_task_that_stands_still_is_started_elsewhere)
{
    Cell cell;
    cell.lead();
    cell.worker("w1").isHung = true;
    cell.submit(jobOf("a", 1, 4000));
    cell.submit(jobOf("b", 1, 4000));
    cell.advance(ms(300));
    BOOST_TEST(cell.running() == 2u);
    cell.worker("w2").end(cell.worker("w2").running.begin()->first, EndKind::Done);
    cell.advance(ms(4000));
    BOOST_TEST(cell.worker("w2").running.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_gang_gets_room_although_single_tasks_would_take_each_piece)
{
    // Heavy days: wide gangs wait while a stream of single tasks of a less urgent queue fills what becomes free.
    Cell cell;
    workflow::QueuePolicy low = cell.queue;
    low.name = "low";
    low.pathPrefix = "/low/";
    low.priority = 2;
    cell.queue.priority = 1;
    cell.moreQueues = { low };
    cell.lead();
    int n = 0;
    const auto feed = [&] {
        auto spec = jobOf("s" + std::to_string(n++), 4, 1000);
        spec.steps[0].estimate = ms(200);
        cell.ask(workflow::CallKind::Submit, spec, ms(400), "/low/");
    };
    feed();
    feed();
    feed();
    cell.submit(jobOf("gang", 2, 4000, true));
    bool hasRun = false;
    for (int turn = 0; turn < 40 && !hasRun; ++turn) {
        // One task ends at a time.
        for (const char* id : { "w1", "w2" }) {
            auto& running = cell.worker(id).running;
            if (!running.empty())
                cell.worker(id).end(running.begin()->first, EndKind::Done);
            cell.advance(ms(50));
        }
        if (turn % 2 == 0)
            feed();
        for (const auto& [name, run] : cell.worker("w1").running)
            hasRun = hasRun || name.task.job.value() == "gang";
    }
    BOOST_TEST(hasRun);
}

//! Pattern: under overload, work that cannot be in time any more takes the room of work that still can.
BOOST_AUTO_TEST_CASE(what_can_still_be_in_time_comes_before_what_cannot)
{
    Cell cell;
    cell.entries.pop_back(); // one worker
    cell.lead();
    cell.submit(jobOf("occupies", 1, 4000));
    cell.advance(ms(100));
    cell.submit(jobOf("hopeless", 1, 4000)); // in time if it starts within four seconds
    cell.advance(ms(500));
    cell.submit(jobOf("hopeful", 1, 4000));
    for (int n = 0; n < 42; ++n) {
        cell.advance(ms(100));
        cell.worker("w1").running.begin()->second.percent = n * 2; // it makes progress
    }
    BOOST_REQUIRE(cell.starts() == 1u);
    cell.endAll(EndKind::Done);
    cell.advance(ms(100));
    BOOST_REQUIRE(cell.starts() == 2u);
    BOOST_TEST(cell.worker("w1").starts.back().run.task.job.value() == "hopeful");
}

BOOST_AUTO_TEST_CASE(room_for_a_gang_is_kept_where_it_is_free_soonest)
{
    Demand demand;
    demand.need = { core::MilliCpu(2000), core::MebiBytes(0), core::Accelerators(0) };
    demand.count = 3;
    const core::Resources whole { core::MilliCpu(4000), core::MebiBytes(0), core::Accelerators(0) };
    std::deque<RoomEvent> events;
    const auto worker = [&](const char* id, std::int64_t room, std::int64_t in) {
        FutureWorker it;
        it.now.worker = core::VmId(id);
        it.now.capacity = whole;
        it.now.room = { core::MilliCpu(room), core::MebiBytes(0), core::Accelerators(0) };
        const core::Resources freed { core::MilliCpu(4000 - room), core::MebiBytes(0), core::Accelerators(0) };
        it.events = std::span(&events.emplace_back(RoomEvent { ms(in), freed }), 1);
        return it;
    };
    const auto it = reserve(demand, { worker("slow", 0, 900), worker("half", 2000, 500), worker("soon", 0, 100) });
    BOOST_REQUIRE(bool(it));
    BOOST_TEST(it->kept.size() == 2u);
    BOOST_TEST(it->kept.at(core::VmId("soon")).cpu.value() == 4000);
    BOOST_TEST(it->kept.at(core::VmId("half")).cpu.value() == 2000);
    BOOST_TEST((it->completeIn == ms(100)));
    demand.count = 7;
    BOOST_TEST(!reserve(demand, { worker("slow", 0, 900), worker("half", 2000, 500), worker("soon", 0, 100) }));
}

BOOST_AUTO_TEST_CASE(a_slow_worker_is_found_although_estimates_are_far_off)
{
    SpeedTracker tracker;
    core::TimePoint now { std::chrono::hours(1) };
    std::uint64_t state = 7;
    const auto noise = [&state] { // between a quarter and four times
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        return std::exp((double(state >> 40) / double(1 << 24) - 0.5) * 2.7);
    };
    for (int round = 0; round < 200; ++round) {
        now += ms(50);
        for (int n = 0; n < 10; ++n) {
            const double speed = n == 3 && round >= 150 ? 0.15 : 1;
            tracker.onProgress(core::VmId("w" + std::to_string(n)), "q",
                { 0.2 * speed, ms(200), core::Duration(std::int64_t(1'000'000 * noise())) }, now);
        }
        BOOST_REQUIRE(round >= 150 || !tracker.isSlow(core::VmId("w3"), now));
        BOOST_REQUIRE(!tracker.isSlow(core::VmId("w5"), now));
    }
    BOOST_TEST(tracker.isSlow(core::VmId("w3"), now));
    BOOST_TEST(!tracker.isSlow(core::VmId("w3"), now + std::chrono::seconds(5))); // it is tried again
}

BOOST_AUTO_TEST_CASE(an_outage_for_all_changes_no_leader_although_the_leader_asks_to_be_followed)
{
    Cell cell;
    cell.lead();
    const EnginePtr first = cell.engine;
    cell.elect(ms(100));
    cell.store->isDown = true;
    for (int n = 0; n < 10; ++n) {
        cell.election->invite(core::Epoch(1));
        cell.advance(ms(350));
    }
    cell.store->isDown = false;
    cell.advance(ms(3000));
    BOOST_TEST((cell.engine == first));
    BOOST_TEST(!cell.isLeadershipLost);
}

BOOST_AUTO_TEST_CASE(a_leader_that_asks_is_followed_by_the_node_that_suits_best)
{
    Cell cell;
    cell.lead();
    std::string winner;
    const auto candidate = [&](const char* name, core::Duration candidacyDelay) {
        lead::ElectionHooks hooks;
        hooks.leaderSeen = [](const std::optional<lead::LeaderRow>&) {};
        hooks.won = [&winner, name](const lead::WonElection&) { winner = winner.empty() ? name : winner; };
        auto it = lead::Election::create(cell.loop, cell.store, core::NodeId(name), { "127.0.0.1", 7000 },
            cell.leadTimes, candidacyDelay, std::move(hooks));
        it->start();
        return it;
    };
    const auto small = candidate("small", ms(600));
    const auto large = candidate("large", ms(0));
    cell.advance(ms(200));
    cell.engine.reset(); // its heartbeats stay away
    cell.advance(ms(1000));
    small->invite(core::Epoch(1));
    cell.advance(ms(20));
    large->invite(core::Epoch(1));
    cell.advance(ms(1100));
    BOOST_TEST(winner == "large");
}

BOOST_AUTO_TEST_CASE(a_leader_that_asks_is_followed_where_the_store_answers)
{
    Cell cell;
    cell.lead();
    cell.elect(ms(100));
    cell.engine.reset(); // its heartbeats stay away
    cell.former.reset();
    cell.election->invite(core::Epoch(1));
    cell.advance(ms(1400)); // well before the silence that others wait for
    BOOST_TEST(bool(cell.engine));
}

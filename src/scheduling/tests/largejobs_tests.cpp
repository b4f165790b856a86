//! Tests of jobs at the limits of what a caller may submit: many occurrences, tasks and failures.

#include "scheduling/internal/jobs.h"
#include "scheduling/jobmemory.h"
#include "scheduling/tests/cell.h"
#include "workflow/workflowcodec.h"

#include <boost/test/unit_test.hpp>
#include <malloc.h>

using namespace sardinerun;
using namespace sardinerun::scheduling;
using namespace sardinerun::scheduling::testing;
using fleet::EndKind;
using workflow::JobState;
using workflow::WorkflowOutcome;

namespace {

constexpr std::uint32_t mostOccurrences = 10'000;

//! A job of two short steps that run once a minute.
workflow::JobSpec scheduledJob(const Cell& cell, const std::string& id)
{
    workflow::JobSpec spec = jobOf(id, 1, 1000);
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().after = { 0 };
    spec.occurrences = mostOccurrences;
    spec.firstDueAt = cell.loop->wallNow();
    spec.interval = std::chrono::minutes(1);
    return spec;
}

std::size_t storedRows(const Cell& cell, const std::string& table)
{
    return static_cast<std::size_t>(std::count_if(cell.store->rows.begin(), cell.store->rows.end(),
        [&table](const auto& it) { return it.first.table == table; }));
}

std::size_t largestStoredValue(const Cell& cell)
{
    std::size_t bytes = 0;
    for (const auto& [key, row] : cell.store->rows)
        bytes = std::max(bytes, row.value.size());
    return bytes;
}

} // namespace

//! Guards against the progress of one job that outgrows its row, so that the store rejects all writes of the leader.
BOOST_AUTO_TEST_CASE(job_of_many_occurrences_does_not_stop_other_jobs)
{
    Cell cell;
    cell.lead();
    const auto scheduled = scheduledJob(cell, "scheduled");
    BOOST_TEST((cell.submit(scheduled) == WorkflowOutcome::Accepted));
    cell.advance(ms(300));
    BOOST_TEST(cell.running() == 1u);
    cell.endAll(EndKind::Done);
    cell.advance(ms(500));
    const auto other = jobOf("other", 1, 1000);
    BOOST_TEST((cell.submit(other) == WorkflowOutcome::Accepted));
    cell.advance(ms(300));
    cell.endAll(EndKind::Done);
    cell.advance(ms(500));
    BOOST_TEST((cell.stateOf(other) == JobState::Completed));
    BOOST_TEST((cell.callEngine(workflow::CallKind::Cancel, scheduled).outcome == WorkflowOutcome::Cancelled));
    for (auto& [id, it] : cell.workers->workers)
        BOOST_TEST(it.ended.empty()); // all ends are acknowledged
    BOOST_TEST(largestStoredValue(cell) <= store::maxValueBytes);
}

BOOST_AUTO_TEST_CASE(job_of_many_occurrences_goes_on_under_a_new_leader)
{
    Cell cell;
    cell.lead();
    const auto scheduled = scheduledJob(cell, "scheduled");
    cell.submit(scheduled);
    cell.advance(ms(300));
    cell.endAll(EndKind::Done);
    cell.advance(ms(300));
    cell.lead();
    cell.advance(ms(1000));
    BOOST_TEST(cell.starts() == 2u); // the second step runs, the first one does not start again
    cell.endAll(EndKind::Done);
    cell.advance(ms(60'000));
    BOOST_TEST(cell.starts() == 3u); // the next occurrence is due
}

//! Guards against failures that are not persisted, or counted twice, as they are stored beside the progress.
BOOST_AUTO_TEST_CASE(failures_of_a_large_job_are_counted_across_leaders)
{
    Cell cell;
    cell.queue.maxAttempts = 3;
    cell.lead();
    auto job = jobOf("a", 1000, 40);
    job.steps[0].need.memory = core::MebiBytes(1);
    BOOST_TEST((cell.submit(job) == WorkflowOutcome::Accepted));
    for (int n = 0; n < 2; ++n) {
        cell.advance(ms(500));
        cell.endAll(EndKind::Failed);
        cell.advance(ms(1000));
        for (auto& [id, it] : cell.workers->workers)
            BOOST_TEST(it.ended.empty());
        BOOST_TEST((cell.stateOf(job) == JobState::Running));
        cell.endAll(EndKind::Stopped);
        cell.lead();
    }
    BOOST_TEST(storedRows(cell, "failures") > 0u);
    BOOST_TEST(largestStoredValue(cell) <= store::maxValueBytes);
    cell.advance(ms(20'000)); // set-aside workers are tried again
    cell.endAll(EndKind::Failed);
    cell.advance(ms(1000));
    BOOST_TEST((cell.stateOf(job) == JobState::Failed));
    BOOST_TEST(storedRows(cell, "failures") == 0u);
}

//! Guards against a record of failures that grows for as long as a task that lasts fails again and again.
BOOST_AUTO_TEST_CASE(failures_of_a_long_running_task_are_not_recorded)
{
    Cell cell;
    cell.lead();
    auto job = jobOf("a", 2, 1000);
    job.steps[0].isLongRunning = true;
    cell.submit(job);
    cell.advance(ms(300));
    const std::size_t before = largestStoredValue(cell);
    for (int n = 0; n < 200; ++n) {
        cell.endAll(EndKind::Failed);
        cell.advance(ms(200));
    }
    cell.advance(ms(20'000));
    BOOST_TEST(largestStoredValue(cell) <= before + 100);
    for (auto& [id, it] : cell.workers->workers)
        BOOST_TEST(it.ended.empty());
    BOOST_TEST(cell.running() == 2u);
}

//! Guards against a job whose record cannot be read and that is dropped: its caller would be told that it is unknown.
BOOST_AUTO_TEST_CASE(job_with_an_unreadable_record_is_held)
{
    Cell cell;
    cell.lead();
    const auto unreadable = jobOf("a", 1, 1000);
    const auto withoutProgress = jobOf("b", 1, 1000);
    cell.submit(unreadable);
    cell.submit(withoutProgress);
    cell.advance(ms(100));
    cell.store->rows[{ "jobs", "", "a" }].value = "{\"spec\":[]}";
    store::StoredRow& progress = cell.store->rows[{ "progress", "", "b" }];
    progress.key = { "progress", "", "b" };
    progress.value = "{\"stages\":3}";
    cell.lead();
    cell.advance(ms(1000));
    for (const auto& it : { unreadable, withoutProgress }) {
        BOOST_TEST((cell.callEngine(workflow::CallKind::Read, it).outcome == WorkflowOutcome::NotNow));
        BOOST_TEST((cell.callEngine(workflow::CallKind::Cancel, it).outcome == WorkflowOutcome::NotNow));
        BOOST_TEST((cell.submit(it) == WorkflowOutcome::NotNow));
    }
    const auto other = jobOf("c", 1, 1000);
    BOOST_TEST((cell.submit(other) == WorkflowOutcome::Accepted));
}

//! Guards against a submission that is refused although it will run, or that stops others.
BOOST_AUTO_TEST_CASE(job_whose_record_the_store_rejects_is_refused_alone)
{
    Cell cell;
    cell.lead();
    cell.store->rejects = [](const store::RowUpdate& it) { return it.value && it.key.key == "bad"; };
    workflow::WorkflowCall call;
    call.kind = workflow::CallKind::Submit;
    call.host = "h";
    call.path = "/q/bad";
    call.spec = jobOf("bad", 1, 1000);
    std::optional<WorkflowOutcome> outcome;
    cell.engine->handle(call, [&outcome](const workflow::WorkflowResult& it) { outcome = it.outcome; });
    const auto good = jobOf("good", 1, 1000);
    BOOST_TEST((cell.submit(good) == WorkflowOutcome::Accepted));
    cell.advance(ms(500));
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((*outcome == WorkflowOutcome::Refused));
    BOOST_TEST(cell.starts() == 1u);
    BOOST_TEST((cell.callEngine(workflow::CallKind::Read, call.spec).outcome == WorkflowOutcome::NoJob));
}

//! Guards against a leader that holds more tasks than its VM has memory for.
BOOST_AUTO_TEST_CASE(jobs_are_refused_while_too_many_tasks_are_held)
{
    Cell cell;
    cell.lead();
    std::vector<workflow::JobSpec> accepted;
    std::size_t bytes = 0;
    workflow::WorkflowResult answer;
    for (int n = 0; n < 10 && accepted.size() == std::size_t(n); ++n) {
        auto job = scheduledJob(cell, "scheduled-" + std::to_string(n));
        job.firstDueAt = core::WallTime(job.firstDueAt.value() + 3'600'000);
        answer = cell.callEngine(workflow::CallKind::Submit, job);
        if (answer.outcome == WorkflowOutcome::Accepted) {
            accepted.push_back(job);
            bytes += jobBytesOf(job);
        }
    }
    BOOST_REQUIRE(accepted.size() >= 2u);
    BOOST_TEST(bytes <= maxJobBytes);
    BOOST_TEST(bytes + jobBytesOf(accepted.front()) > maxJobBytes);
    BOOST_TEST((answer.outcome == WorkflowOutcome::Refused));
    BOOST_TEST((answer.retryAfter > core::Duration(0)));
    cell.callEngine(workflow::CallKind::Cancel, accepted.front());
    cell.advance(ms(100));
    BOOST_TEST((cell.submit(jobOf("a", 1, 1000)) == WorkflowOutcome::Accepted));
}

//! Guards against many small jobs that are legal, each due in a year, and together exhaust the memory of every leader
//! in turn.
BOOST_AUTO_TEST_CASE(jobs_are_refused_while_their_payloads_take_too_much_memory)
{
    Cell cell;
    cell.lead();
    std::size_t bytes = 0;
    workflow::WorkflowResult answer;
    for (int n = 0; n < 20'000; ++n) {
        auto job = jobOf("due-" + std::to_string(n), 1, 1000);
        job.payload = std::string(4000, 'x');
        job.occurrences = 1;
        job.firstDueAt = core::WallTime(cell.loop->wallNow().value() + 31'536'000'000);
        answer = cell.callEngine(workflow::CallKind::Submit, job);
        if (answer.outcome != WorkflowOutcome::Accepted)
            break;
        bytes += jobBytesOf(job);
    }
    BOOST_TEST((answer.outcome == WorkflowOutcome::Refused));
    BOOST_TEST((answer.retryAfter > core::Duration(0)));
    BOOST_TEST(bytes <= maxJobBytes);
}

//! Guards against jobs that have ended and keep their payload and tasks until their retention has passed.
BOOST_AUTO_TEST_CASE(a_job_that_has_ended_keeps_only_its_state)
{
    auto spec = jobOf("0123456789abcdef", 1000, 1000);
    spec.payload = std::string(4000, 'x');
    const std::size_t before = mallinfo2().uordblks;
    const auto job = std::make_shared<Job>(
        makeJob({ spec, {}, {}, {}, false, {}, JobState::Completed, { workflow::initialProgress(1000) }, {} }));
    job->releaseDetails();
    BOOST_TEST(mallinfo2().uordblks - before <= endedJobBytes);
}

//! Guards against an estimate that is below what a job takes.
BOOST_AUTO_TEST_CASE(a_job_takes_no_more_memory_than_estimated)
{
    Cell cell;
    auto small = jobOf("0123456789abcdef", 3, 1000);
    small.payload = std::string(4000, 'x');
    auto wide = jobOf("0123456789abcdef", 1000, 1000);
    for (const workflow::JobSpec& spec : { small, wide, scheduledJob(cell, "0123456789abcdef") }) {
        constexpr std::size_t count = 20;
        const std::size_t before = mallinfo2().uordblks;
        std::vector<std::shared_ptr<Job>> jobs;
        for (std::size_t n = 0; n < count; ++n) {
            workflow::JobRecord record;
            record.spec = spec;
            record.queue.name = record.queue.pathPrefix = "/a-queue-of-some-length/";
            record.queue.host = "a-host-of-some-length.example";
            record.stages.reserve(workflow::stageCount(spec));
            for (std::size_t k = 0; k < workflow::stageCount(spec); ++k)
                record.stages.push_back(workflow::initialProgress(spec.steps[k % spec.steps.size()].count));
            jobs.push_back(std::make_shared<Job>(makeJob(std::move(record))));
        }
        BOOST_TEST((mallinfo2().uordblks - before) / count <= jobBytesOf(spec));
    }
}

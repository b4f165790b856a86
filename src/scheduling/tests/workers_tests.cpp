//! Tests of the leader's exchange with workers: lost and late answers, leases, restarts, and slow or hung workers.

#include "scheduling/speedtracker.h"
#include "scheduling/tests/cell.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace sardinerun;
using namespace sardinerun::scheduling;
using namespace sardinerun::scheduling::testing;
using fleet::EndKind;
using workflow::JobState;

namespace {

//! A leader with one worker, in its first incarnation.
struct OneWorkerCell : Cell {
    OneWorkerCell()
    {
        entries.pop_back();
        worker("w1").startedAt = fleet::WorkerStartTime(1);
        lead();
    }
};

std::ptrdiff_t startsOf(const FakeWorker& worker, const fleet::TaskId& task)
{
    return std::count_if(worker.starts.begin(), worker.starts.end(),
        [&task](const fleet::StartOrder& it) { return it.runId.task == task; });
}

} // namespace

BOOST_AUTO_TEST_CASE(start_with_a_lost_answer_is_resolved_before_the_next_start)
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
    BOOST_TEST(cell.starts() == 1u); // the report of the worker confirms it
}

BOOST_AUTO_TEST_CASE(delayed_start_order_runs_no_task_twice)
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

BOOST_AUTO_TEST_CASE(tasks_of_an_unresponsive_worker_are_restarted_only_after_its_lease_has_expired)
{
    Cell cell;
    cell.lead();
    cell.submit(jobOf("a", 1, 1000));
    cell.advance(ms(300));
    const std::string first = cell.worker("w1").running.empty() ? "w2" : "w1";
    const std::string other = first == "w1" ? "w2" : "w1";
    cell.worker(first).isSilent = true;
    cell.advance(ms(3000));
    BOOST_TEST(cell.worker(other).running.empty()); // the run may still be alive on the other worker
    cell.advance(ms(5000));
    BOOST_TEST(cell.worker(other).running.size() == 1u);
}

BOOST_AUTO_TEST_CASE(tasks_of_a_restarted_worker_are_restarted_immediately)
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

//! Found by soak seed 2: acknowledgements for a former incarnation let the worker discard ends of the next one, as the
//! numbering of ends starts again with each incarnation.
BOOST_AUTO_TEST_CASE(acknowledged_ends_of_a_former_incarnation_do_not_affect_the_next)
{
    OneWorkerCell cell;
    FakeWorker& worker = cell.worker("w1");
    cell.submit(jobOf("a", 3, 1000));
    cell.advance(ms(100));
    cell.store->isDown = true;
    cell.endAll(EndKind::Done); // reported, but not persisted before the worker restarts
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
    BOOST_TEST(worker.ended.size() == 2u); // listed until they are persisted
    cell.store->isDown = false;
    cell.advance(ms(3000));
    BOOST_TEST((cell.stateOf(jobOf("b", 3, 1000)) == JobState::Completed));
    BOOST_TEST(cell.starts() == 6u);
}

//! A worker that restarts between two lease renewals numbers its ends from the beginning, so acknowledged numbers of
//! the former incarnation would discard ends of the new one.
BOOST_AUTO_TEST_CASE(after_a_failed_renewal_no_end_is_acknowledged_until_the_worker_has_reported)
{
    OneWorkerCell cell;
    FakeWorker& worker = cell.worker("w1");
    cell.submit(jobOf("a", 3, 1000));
    cell.advance(ms(100));
    cell.endAll(EndKind::Done);
    cell.advance(ms(500)); // persisted and acknowledged up to number 3
    cell.submit(jobOf("b", 2, 1000));
    cell.advance(ms(100));
    worker.isSilent = true;
    cell.advance(ms(1800));
    worker.loseState();
    worker.startedAt = fleet::WorkerStartTime(2);
    // A delayed start order is carried out by the new incarnation, and the run ends.
    worker.running[{ { core::JobId("b"), 0, 0, 0 }, fleet::RunNumber(1) }] = {};
    worker.end({ { core::JobId("b"), 0, 0, 0 }, fleet::RunNumber(1) }, EndKind::Done);
    worker.isSilent = false;
    cell.advance(ms(3000));
    BOOST_TEST(startsOf(worker, { core::JobId("b"), 0, 0, 0 }) == 1);
}

//! Found by soak seeds 17 and 25: a worker restarted while a renewal for its former incarnation was on its way, which
//! then discarded an end of the new one, so that a task which was done ran again.
BOOST_AUTO_TEST_CASE(renewal_that_reaches_the_next_incarnation_acknowledges_nothing)
{
    OneWorkerCell cell;
    FakeWorker& worker = cell.worker("w1");
    cell.submit(jobOf("a", 3, 1000));
    cell.advance(ms(100));
    cell.endAll(EndKind::Done);
    cell.advance(ms(1000)); // persisted and acknowledged up to number 3
    cell.submit(jobOf("b", 1, 1000));
    cell.advance(ms(100));
    BOOST_REQUIRE(cell.running() == 1u);
    const fleet::RunId run { { core::JobId("b"), 0, 0, 0 }, fleet::RunNumber(1) };
    cell.workers->renewalArrives = [&cell, &worker, &run](const core::VmId&) {
        if (worker.startedAt == fleet::WorkerStartTime(2))
            return;
        // The start order, too, was carried out only by the new incarnation.
        worker.restart(cell.loop->now());
        worker.running[run] = {};
        worker.end(run, EndKind::Done);
    };
    cell.advance(ms(4000));
    BOOST_TEST((worker.startedAt == fleet::WorkerStartTime(2)));
    BOOST_TEST(startsOf(worker, run.task) == 1);
    BOOST_TEST((cell.stateOf(jobOf("b", 1, 1000)) == JobState::Completed));
    BOOST_TEST(worker.ended.empty()); // acknowledged once the new incarnation has reported
}

//! Guards against a lease of twice the length that the next leader waits for: a start for the former incarnation
//! reaches the next one, whose clock counts anew, so it takes the end of the lease for any time and grants its maximum.
BOOST_AUTO_TEST_CASE(start_for_the_former_incarnation_gives_the_next_one_no_lease)
{
    OneWorkerCell cell;
    FakeWorker& worker = cell.worker("w1");
    cell.advance(ms(60'000));
    worker.restart(cell.loop->now()); // not noticed yet
    cell.submit(jobOf("a", 3, 1000));
    std::int64_t longestLease = 0;
    for (int n = 0; n < 100; ++n) {
        cell.advance(ms(10));
        longestLease = std::max(longestLease, worker.leaseUntil - cell.workers->clockOf(worker));
    }
    BOOST_TEST(longestLease <= cell.times.lease / ms(1));
    BOOST_TEST(cell.running() == 3u);
    BOOST_TEST(worker.starts.size() == 3u);
}

//! The same order, the change of leader behind it and a worker that is cut off: the task must not run twice.
BOOST_AUTO_TEST_CASE(worker_that_restarts_and_is_cut_off_runs_no_task_beside_its_next_leader)
{
    Cell cell;
    const std::vector<fleet::WorkerEntry> both = cell.entries;
    cell.entries.pop_back();
    FakeWorker& first = cell.worker("w1");
    first.startedAt = fleet::WorkerStartTime(1);
    cell.lead();
    cell.advance(ms(60'000));
    first.restart(cell.loop->now());
    cell.submit(jobOf("a", 1, 1000));
    cell.advance(ms(200));
    first.isSilent = true;
    cell.entries = both;
    cell.lead(ms(0));
    cell.engine->setFormerLeaderGone();
    for (int n = 0; n < 2000; ++n) {
        cell.advance(ms(10));
        if (cell.workers->clockOf(first) > first.leaseUntil)
            first.running.clear();
        BOOST_REQUIRE(cell.running() <= 1u);
    }
    BOOST_TEST(cell.running() == 1u);
}

//! Guards against a start that is never sent, since each of its connections is new.
BOOST_AUTO_TEST_CASE(start_on_a_new_connection_to_the_known_incarnation_is_sent_after_its_report)
{
    OneWorkerCell cell;
    FakeWorker& worker = cell.worker("w1");
    cell.workers->percentOf
        = [&cell, begun = cell.loop->now()](const fleet::RunId&) { return int((cell.loop->now() - begun) / ms(50)); };
    worker.newConnections = 2;
    cell.submit(jobOf("a", 1, 1000));
    cell.advance(ms(60));
    BOOST_TEST(cell.running() == 1u);
    BOOST_TEST(worker.newConnections == 0);
    worker.newConnections = 1'000'000; // the worker ends each connection after its answer
    cell.submit(jobOf("b", 1, 1000));
    cell.advance(ms(1000));
    BOOST_TEST(cell.running() == 1u);
    worker.newConnections = 0;
    cell.advance(ms(1000));
    BOOST_TEST(cell.running() == 2u);
    BOOST_TEST(worker.starts.size() == 2u);
}

//! Guards against giving up starts on new connections over a slow link: until the report comes they are only in doubt.
BOOST_AUTO_TEST_CASE(start_on_a_new_connection_waits_for_a_late_report)
{
    OneWorkerCell cell;
    FakeWorker& worker = cell.worker("w1");
    worker.answerDelay = ms(700);
    worker.reportDelay = ms(700);
    worker.newConnections = 3;
    cell.submit(jobOf("a", 3, 1000));
    cell.advance(ms(4000));
    BOOST_TEST(cell.running() == 3u);
    BOOST_TEST(worker.starts.size() == 3u);
    for (const fleet::StartOrder& it : worker.starts)
        BOOST_TEST(it.runId.run.value() <= 3); // the first run of each task
}

//! Guards against a task running twice: a start order for the former incarnation of a worker has a lease on the former
//! clock, which the next incarnation takes for its longest lease. If that one turns silent, its run lasts that long.
BOOST_AUTO_TEST_CASE(lease_of_an_order_for_the_former_incarnation_is_waited_for)
{
    Cell cell;
    const std::vector<fleet::WorkerEntry> both = cell.entries;
    cell.entries.pop_back();
    FakeWorker& first = cell.worker("w1");
    first.startedAt = fleet::WorkerStartTime(1);
    cell.lead();
    cell.submit(jobOf("a", 1, 1000));
    cell.advance(ms(100));
    BOOST_REQUIRE(cell.running() == 1u);
    const fleet::RunId run { { core::JobId("a"), 0, 0, 0 }, fleet::RunNumber(1) };
    cell.workers->renewalArrives = [&cell, &first, &run](const core::VmId&) {
        if (first.startedAt == fleet::WorkerStartTime(2))
            return;
        // The start order was carried out by the new incarnation, too.
        first.restart(cell.loop->now());
        first.running[run] = { run, "", 0, 0 };
        first.leaseUntil = core::toMs(cell.workers->longestLease);
    };
    while (first.startedAt == fleet::WorkerStartTime(1))
        cell.advance(ms(10));
    cell.advance(ms(1050)); // it has reported
    first.isSilent = true;
    cell.engine->setWorkers(both);
    const FakeWorker& second = cell.worker("w2");
    for (int n = 0; n < 2000 && second.starts.empty(); ++n)
        cell.advance(ms(10));
    BOOST_TEST(second.starts.size() == 1u);
    BOOST_TEST(cell.workers->clockOf(first) >= first.leaseUntil);
}

//! Guards against leases on the clock of an incarnation that has ended.
BOOST_AUTO_TEST_CASE(late_answer_of_a_former_incarnation_does_not_set_the_clock)
{
    OneWorkerCell cell;
    FakeWorker& worker = cell.worker("w1");
    worker.answerDelay = ms(2000);
    cell.submit(jobOf("a", 1, 1000));
    cell.advance(ms(50));
    BOOST_REQUIRE(cell.running() == 1u);
    worker.answerDelay = ms(0);
    worker.restart(cell.loop->now());
    cell.advance(ms(1500)); // the new incarnation has reported
    worker.leaseUntil = 0;
    cell.advance(ms(3000));
    BOOST_TEST(worker.leaseUntil > 0);
    BOOST_TEST(worker.leaseUntil <= cell.workers->clockOf(worker) + core::toMs(cell.times.lease));
}

//! Guards against runs counting as lost, and starting again, when a report of a former incarnation arrives late.
BOOST_AUTO_TEST_CASE(late_report_of_a_former_incarnation_is_ignored)
{
    OneWorkerCell cell;
    FakeWorker& worker = cell.worker("w1");
    cell.advance(ms(100));
    fleet::WorkerReport late;
    late.clock = fleet::WorkerClock(cell.workers->clockOf(worker));
    late.startedAt = worker.startedAt;
    worker.restart(cell.loop->now());
    cell.advance(ms(2000));
    cell.submit(jobOf("b", 1, 1000));
    cell.advance(ms(50));
    BOOST_REQUIRE(worker.starts.size() == 1u);
    worker.overtakenReport = late;
    cell.advance(ms(3000));
    BOOST_TEST(!worker.overtakenReport.has_value());
    BOOST_TEST(worker.starts.size() == 1u);
    BOOST_TEST(cell.running() == 1u);
}

BOOST_AUTO_TEST_CASE(task_is_not_restarted_while_its_former_run_is_being_stopped)
{
    // One member of a gang of the former leader is lost, so the remaining members are stopped first.
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
            for (const auto& [runId, run] : it.running) {
                indexes.insert(runId.task.index);
                ++runs;
            }
        }
        BOOST_REQUIRE(indexes.size() == runs); // no member runs twice
    }
    BOOST_TEST(indexes.size() == 4u);
}

BOOST_AUTO_TEST_CASE(hung_task_is_restarted_on_another_worker)
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

BOOST_AUTO_TEST_CASE(slow_worker_is_detected_despite_inaccurate_estimates)
{
    SpeedTracker tracker;
    core::TimePoint now { std::chrono::hours(1) };
    std::uint64_t state = 7;
    const auto noise = [&state] { // factor between 1/4 and 4
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
    BOOST_TEST(!tracker.isSlow(core::VmId("w3"), now + std::chrono::seconds(5))); // the worker is used again
}

//! Guards against stopping and repeating work whose start was confirmed late, for example over a congested link.
BOOST_AUTO_TEST_CASE(run_whose_start_is_confirmed_late_goes_on)
{
    OneWorkerCell cell;
    FakeWorker& worker = cell.worker("w1");
    worker.answerDelay = ms(900);
    cell.submit(jobOf("a", 3, 1000));
    cell.advance(ms(3000));
    BOOST_TEST(cell.running() == 3u);
    BOOST_TEST(worker.starts.size() == 3u);
    BOOST_TEST(worker.ended.empty()); // none was stopped
    cell.endAll(EndKind::Done);
    cell.advance(ms(500));
    BOOST_TEST((cell.stateOf(jobOf("a", 3, 1000)) == JobState::Completed));
}

//! Guards against repeating work that has run, since the answer to its start was lost.
BOOST_AUTO_TEST_CASE(run_whose_start_was_confirmed_by_a_lost_answer_goes_on)
{
    OneWorkerCell cell;
    FakeWorker& worker = cell.worker("w1");
    worker.losesStarts = 2;
    cell.submit(jobOf("a", 3, 1000));
    cell.advance(ms(4500));
    BOOST_TEST(cell.running() == 3u);
    BOOST_TEST(worker.starts.size() == 3u);
    BOOST_TEST(worker.ended.empty());
}

//! Guards against gangs that fall apart, since one answer was late.
BOOST_AUTO_TEST_CASE(gang_goes_on_when_the_start_of_a_member_is_confirmed_late)
{
    Cell cell;
    cell.lead();
    cell.worker("w2").answerDelay = ms(700);
    cell.submit(jobOf("gang", 6, 1000, true));
    cell.advance(ms(2500));
    BOOST_TEST(cell.running() == 6u);
    BOOST_TEST(cell.starts() == 6u);
}

//! Guards against giving up workers whose reports take longer than usual, for example over a congested link.
BOOST_AUTO_TEST_CASE(worker_whose_reports_are_late_keeps_its_runs)
{
    OneWorkerCell cell;
    FakeWorker& worker = cell.worker("w1");
    cell.submit(jobOf("a", 2, 1000));
    cell.advance(ms(100));
    worker.reportDelay = ms(1200);
    cell.advance(ms(20000));
    BOOST_TEST(cell.running() == 2u); // its lease was renewed all the while
    BOOST_TEST(worker.starts.size() == 2u);
    cell.endAll(EndKind::Done);
    cell.advance(ms(4000));
    BOOST_TEST((cell.stateOf(jobOf("a", 2, 1000)) == JobState::Completed));
    BOOST_TEST(worker.starts.size() == 2u);
}

//! Guards against repeating work of a worker that is alive: it is in the registry and has finished its run, only its
//! reports do not arrive until shortly after its lease.
BOOST_AUTO_TEST_CASE(run_that_ended_while_reports_were_lost_is_not_repeated)
{
    Cell cell;
    cell.lead();
    cell.submit(jobOf("a", 1, 1000));
    cell.advance(ms(300));
    FakeWorker& worker = cell.worker("w1").running.empty() ? cell.worker("w2") : cell.worker("w1");
    worker.losesReports = true;
    cell.advance(ms(1500));
    cell.endAll(EndKind::Done);
    for (int n = 0; n < 1000 && cell.workers->clockOf(worker) <= worker.leaseUntil + 800; ++n)
        cell.advance(ms(10));
    worker.losesReports = false;
    cell.advance(ms(3000));
    BOOST_TEST(cell.starts() == 1u);
    BOOST_TEST((cell.stateOf(jobOf("a", 1, 1000)) == JobState::Completed));
}

//! Guards against a leader that gives up the work of a fleet, since its own link or processor is congested.
BOOST_AUTO_TEST_CASE(silence_of_many_workers_at_once_is_doubted_for_longer)
{
    Cell cell;
    cell.entries.clear();
    for (int n = 0; n < 12; ++n)
        cell.addWorker("w" + std::to_string(n));
    cell.lead();
    cell.submit(jobOf("a", 12, 4000));
    cell.advance(ms(300));
    BOOST_REQUIRE(cell.running() == 12u);
    for (int n = 0; n < 5; ++n)
        cell.worker("w" + std::to_string(n)).losesReports = true;
    cell.advance(ms(1000));
    cell.endAll(EndKind::Done);
    cell.advance(ms(7500)); // the leases have expired, and the other workers have room
    for (int n = 0; n < 5; ++n)
        cell.worker("w" + std::to_string(n)).losesReports = false;
    cell.advance(ms(3000));
    BOOST_TEST(cell.starts() == 12u);
    BOOST_TEST((cell.stateOf(jobOf("a", 12, 4000)) == JobState::Completed));
}

//! Guards against counting a run as lost because an older report, which does not list it yet, arrives after its start.
BOOST_AUTO_TEST_CASE(report_that_was_overtaken_by_a_newer_one_is_ignored)
{
    OneWorkerCell cell;
    FakeWorker& worker = cell.worker("w1");
    cell.submit(jobOf("a", 1, 1000));
    cell.advance(ms(1500));
    fleet::WorkerReport old;
    old.clock = fleet::WorkerClock(cell.workers->clockOf(worker));
    old.startedAt = worker.startedAt;
    old.running.push_back(worker.running.begin()->second);
    cell.endAll(EndKind::Done);
    cell.advance(ms(1000)); // the end is reported, persisted and acknowledged
    worker.overtakenReport = old;
    cell.advance(ms(1500));
    BOOST_TEST(!worker.overtakenReport.has_value());
    BOOST_TEST(worker.closed[old.running[0].runId.task].value() == 1); // no stop was ordered for the ended run
    cell.submit(jobOf("b", 4, 1000));
    cell.advance(ms(500));
    BOOST_TEST(cell.running() == 4u); // its room is free
}

//! Guards against runs that count as lost since their ends are not on the first page of a worker's report, as further
//! ends are listed only once the first ones are acknowledged.
BOOST_AUTO_TEST_CASE(run_whose_end_is_not_on_the_first_page_is_not_lost)
{
    OneWorkerCell cell;
    auto job = jobOf("a", 700, 5);
    job.steps[0].need.memory = core::MebiBytes(1);
    cell.submit(job);
    cell.advance(ms(3000));
    BOOST_REQUIRE(cell.starts() == 700u);
    cell.store->isDown = true; // nothing can be acknowledged
    cell.advance(ms(100));
    cell.endAll(EndKind::Done);
    cell.advance(ms(1500));
    cell.store->isDown = false;
    cell.advance(ms(3000));
    BOOST_TEST(cell.starts() == 700u);
    BOOST_TEST((cell.stateOf(job) == JobState::Completed));
}

//! Guards against work for a worker that came back smaller, by the capacity of its former incarnation.
BOOST_AUTO_TEST_CASE(restarted_worker_gets_no_work_by_its_former_entry)
{
    Cell cell;
    cell.entries.pop_back();
    cell.entries[0].startedAt = fleet::WorkerStartTime(1);
    FakeWorker& worker = cell.worker("w1");
    worker.startedAt = fleet::WorkerStartTime(1);
    cell.lead();
    worker.restart(cell.loop->now());
    cell.advance(ms(1500));
    cell.submit(jobOf("a", 1, 3000));
    cell.engine->setWorkers(cell.entries); // the entry lags
    cell.advance(ms(500));
    BOOST_TEST(worker.starts.empty());
    cell.entries[0].startedAt = worker.startedAt;
    cell.entries[0].capacity.cpu = core::MilliCpu(2000);
    cell.engine->setWorkers(cell.entries);
    cell.advance(ms(500));
    BOOST_TEST(worker.starts.empty()); // it can't hold the task
    cell.submit(jobOf("b", 1, 1000));
    cell.advance(ms(500));
    BOOST_TEST(worker.starts.size() == 1u);
}

//! Guards against a start that reaches the next incarnation of a worker and runs beside a second one: the first report
//! of that incarnation, sent before the order arrived, does not list it.
BOOST_AUTO_TEST_CASE(start_on_its_way_during_a_restart_runs_once)
{
    Cell cell;
    for (const char* it : { "w1", "w2" })
        cell.worker(it).startedAt = fleet::WorkerStartTime(1);
    cell.lead();
    cell.worker("w1").delaysStarts = 1;
    cell.worker("w2").delaysStarts = 1;
    cell.submit(jobOf("a", 1, 1000));
    cell.advance(ms(20));
    const std::string first = cell.worker("w1").delayedStarts.empty() ? "w2" : "w1";
    const std::string other = first == "w1" ? "w2" : "w1";
    cell.worker(other).delaysStarts = 0;
    cell.worker(first).restart(cell.loop->now());
    fleet::WorkerReport report;
    report.startedAt = cell.worker(first).startedAt;
    cell.worker(first).overtakenReport = report;
    cell.advance(ms(60)); // its first report is applied
    for (fleet::StartOrder& it : cell.worker(first).delayedStarts)
        it.leaseUntil = fleet::WorkerClock(1'000'000);
    cell.workers->carryOutDelayedStarts(core::VmId(first));
    std::size_t most = 0;
    for (int n = 0; n < 100; ++n) {
        cell.advance(ms(20));
        most = std::max(most, cell.running());
    }
    BOOST_TEST(most == 1u);
}

//! Guards against a leader that is cut off from the store and from most workers, and keeps runs alive on the others
//! while a later leader takes them for ended.
BOOST_AUTO_TEST_CASE(isolated_leader_without_authority_extends_no_leases)
{
    Cell cell;
    for (int n = 3; n <= 8; ++n)
        cell.addWorker("w" + std::to_string(n));
    cell.lead();
    cell.submit(jobOf("a", 8, 4000));
    cell.advance(ms(500));
    BOOST_REQUIRE(cell.running() == 8u);
    cell.store->isDown = true;
    for (int n = 2; n <= 8; ++n)
        cell.worker("w" + std::to_string(n)).isSilent = true;
    cell.advance(cell.leaderTimes.authorityTimeout + cell.times.lease * 11 / 10 + ms(200));
    BOOST_TEST(cell.worker("w1").running.empty()); // its lease has expired
}

//! Guards against work that is lost in a long outage of the store, and against leases that a leader without authority
//! extends although another node may lead.
BOOST_AUTO_TEST_CASE(leases_are_extended_in_a_long_outage_of_the_store_while_no_other_node_leads)
{
    Cell cell;
    cell.lead();
    cell.submit(jobOf("a", 2, 3000));
    cell.advance(ms(500));
    cell.store->isDown = true;
    for (int n = 0; n < 64; ++n) {
        cell.advance(cell.leaderTimes.replacementCheckPeriod);
        cell.engine->setUnreplacedUntil(cell.loop->now() + cell.leaderTimes.replacementCheckValidity);
    }
    BOOST_TEST(cell.running() == 2u);
    cell.advance(cell.leaderTimes.replacementCheckValidity + cell.times.lease * 11 / 10 + ms(200));
    BOOST_TEST(cell.running() == 0u);
}

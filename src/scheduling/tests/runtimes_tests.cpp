//! Tests of the uses of learned run times, each with the load that it is for.

#include "scheduling/tests/cell.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::scheduling;
using namespace sardinerun::scheduling::testing;
using fleet::EndKind;

namespace {

//! Workers whose tasks take times that their callers do not declare.
struct LearningCell : Cell {
    explicit LearningCell(bool learns = true)
    {
        learnedUses = learns ? LearnedUses::all() : LearnedUses::none();
        workers->percentOf = [this](const fleet::RunId& run) {
            const double share = double((loop->now() - m_startedAt[run]).count()) / double(realOf(run).count());
            return std::min(100, int(share * 100));
        };
        workers->started = [this](FakeWorker& worker, const fleet::StartOrder& order) {
            m_startedAt[order.runId] = loop->now();
            if (worker.isHung)
                return;
            loop->callAfter(realOf(order.runId), [&worker, run = order.runId] {
                if (worker.running.contains(run))
                    worker.end(run, EndKind::Done);
            });
        };
    }

    core::Duration realOf(const fleet::RunId& run) const
    {
        const auto it = real.find(run.task.job.value().substr(0, run.task.job.value().find('-')));
        return it == real.end() ? ms(1000) : it->second;
    }
    workflow::JobSpec kindOf(const std::string& id, core::Duration declared, std::int64_t milliCpu = 4000)
    {
        workflow::JobSpec spec = jobOf(id, 1, milliCpu);
        spec.steps[0].estimate = declared;
        spec.steps[0].image = id.substr(0, id.find('-'));
        return spec;
    }
    //! Runs jobs of a kind one after the other.
    void teach(const std::string& kind, core::Duration declared, int jobs)
    {
        for (int n = 0; n < jobs; ++n) {
            submit(kindOf(kind + "-" + std::to_string(n), declared));
            advance(real[kind] + ms(200));
        }
    }

    std::map<std::string, core::Duration> real; //!< run times by the part of a job's id before the hyphen

private:
    std::map<fleet::RunId, core::TimePoint> m_startedAt;
};

//! Starts two jobs of which only one fits, and returns the id of the one that starts first.
std::string firstOf(bool learns)
{
    LearningCell cell(learns);
    cell.real = { { "short", ms(3000) }, { "long", ms(400) }, { "block", ms(1500) } };
    cell.entries.pop_back();
    cell.queue.stretch = 10;
    cell.lead();
    cell.teach("short", ms(400), 10); // declared as short, is long
    cell.teach("long", ms(3000), 10);
    cell.submit(cell.kindOf("block-0", ms(1500)));
    cell.advance(ms(100));
    const std::size_t before = cell.starts();
    cell.submit(cell.kindOf("short-last", ms(400)));
    cell.submit(cell.kindOf("long-last", ms(3000)));
    while (cell.starts() == before)
        cell.advance(ms(50));
    return cell.worker("w1").starts.back().runId.task.job.value();
}

std::size_t startsOfLongTask(bool learns, core::Duration declared)
{
    LearningCell cell(learns);
    cell.real = { { "slow", std::chrono::seconds(250) } };
    cell.queue.maxAttempts = 5;
    cell.lead();
    cell.submit(cell.kindOf("slow-0", declared));
    cell.advance(std::chrono::seconds(300));
    return cell.starts();
}

} // namespace

BOOST_AUTO_TEST_SUITE(run_times)

//! Load: two kinds in one queue whose callers declare the opposite of how long they take. Guards against an order by
//! the declared estimates, which starts the job first that can wait longer.
BOOST_AUTO_TEST_CASE(the_order_follows_learned_run_times)
{
    BOOST_TEST(firstOf(true) == "long-last");
    BOOST_TEST(firstOf(false) == "short-last");
}

//! Load: a task whose first percent takes 2.5 s. Guards against stopping it again and again as hung.
BOOST_AUTO_TEST_CASE(a_task_with_slow_percents_is_not_stopped)
{
    BOOST_TEST(startsOfLongTask(true, std::chrono::seconds(250)) == 1u);
    BOOST_TEST(startsOfLongTask(false, std::chrono::seconds(250)) > 10u);
    // Declared much too short, it is stopped a few times at most.
    BOOST_TEST(startsOfLongTask(true, ms(1000)) <= 3u);
}

//! Load: long tasks that are declared as short, so that their runs seem to hang. Guards against workers that are set
//! aside for it, while an urgent job waits.
BOOST_AUTO_TEST_CASE(a_wrong_suspicion_does_not_set_its_worker_aside)
{
    const auto startsWithin = [](bool learns) {
        LearningCell cell(learns);
        cell.real = { { "slow", std::chrono::seconds(250) }, { "quick", ms(100) } };
        for (int n = 3; n <= 8; ++n)
            cell.addWorker("w" + std::to_string(n));
        cell.lead();
        for (int n = 0; n < 16; ++n)
            cell.submit(cell.kindOf("slow-" + std::to_string(n), ms(1000), 1000));
        cell.advance(ms(1900));
        cell.submit([&cell] {
            workflow::JobSpec spec = cell.kindOf("quick-0", ms(100), 1000);
            spec.steps[0].count = 64;
            return spec;
        }());
        cell.advance(ms(300));
        std::set<std::string> used;
        for (const auto& [id, it] : cell.workers->workers) {
            for (const auto& order : it.starts)
                if (order.runId.task.job.value() == "quick-0")
                    used.insert(id.value());
        }
        return used.size();
    };
    BOOST_TEST(startsWithin(true) == 8u);
    BOOST_TEST(startsWithin(false) < 8u);
}

//! Load: one worker hangs every task of a kind that is well known. Guards against it being used on and on.
BOOST_AUTO_TEST_CASE(a_worker_that_hangs_known_tasks_is_set_aside)
{
    LearningCell cell;
    cell.real = { { "quick", ms(300) } };
    for (int n = 3; n <= 8; ++n)
        cell.addWorker("w" + std::to_string(n));
    cell.lead();
    cell.teach("quick", ms(300), 10);
    cell.worker("w1").isHung = true;
    for (int n = 0; n < 16; ++n)
        cell.submit(cell.kindOf("quick-more" + std::to_string(n), ms(300), 1000));
    cell.advance(ms(2500));
    const std::size_t before = cell.worker("w1").starts.size();
    for (int n = 0; n < 8; ++n)
        cell.submit(cell.kindOf("quick-last" + std::to_string(n), ms(300)));
    cell.advance(ms(500));
    BOOST_TEST(cell.worker("w1").starts.size() == before);
}

//! Load: a full queue of jobs that take a third of what is declared. Guards against refusals while there is time.
BOOST_AUTO_TEST_CASE(admission_counts_the_work_ahead_by_learned_run_times)
{
    const auto refusedOf = [](bool learns) {
        LearningCell cell(learns);
        cell.real = { { "over", ms(500) } };
        cell.queue.stretch = 2;
        cell.queue.latencyTarget = ms(2000);
        cell.lead();
        cell.teach("over", ms(5000), 10);
        int refused = 0;
        for (int n = 0; n < 8; ++n)
            refused += cell.submit(cell.kindOf("over-more" + std::to_string(n), ms(5000)))
                    == workflow::WorkflowOutcome::Accepted
                ? 0
                : 1;
        return refused;
    };
    BOOST_TEST(refusedOf(true) == 0);
    BOOST_TEST(refusedOf(false) > 0);
}

//! Load: jobs that take four times what is declared, so that they seem late while they wait. Guards against jobs in
//! time that are placed after others as late ones.
BOOST_AUTO_TEST_CASE(the_objective_counts_learned_run_times)
{
    const auto firstStarted = [](bool learns) {
        LearningCell cell(learns);
        cell.real = { { "under", ms(2000) }, { "block", ms(3500) }, { "other", ms(500) } };
        cell.entries.pop_back();
        cell.queue.stretch = 3;
        cell.queue.latencyTarget = ms(300);
        workflow::QueuePolicy patient = cell.queue;
        patient.name = "patient";
        patient.pathPrefix = "/patient/";
        patient.priority = 1;
        patient.latencyTarget = ms(60'000);
        cell.moreQueues.push_back(patient);
        cell.lead();
        cell.teach("under", ms(500), 10);
        cell.callEngine(workflow::CallKind::Submit, cell.kindOf("block-0", ms(3500)), ms(400), "/patient/");
        cell.advance(ms(100));
        const std::size_t before = cell.starts();
        cell.submit(cell.kindOf("under-last", ms(500)));
        cell.callEngine(workflow::CallKind::Submit, cell.kindOf("other-0", ms(500)), ms(400), "/patient/");
        while (cell.starts() == before)
            cell.advance(ms(50));
        return cell.worker("w1").starts.back().runId.task.job.value();
    };
    BOOST_TEST(firstStarted(true) == "under-last");
    BOOST_TEST(firstStarted(false) == "other-0");
}

BOOST_AUTO_TEST_SUITE_END()

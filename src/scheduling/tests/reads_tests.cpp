//! Tests of reads that wait for the final state of a job.

#include "scheduling/tests/cell.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::scheduling;
using namespace sardinerun::scheduling::testing;
using fleet::EndKind;
using workflow::JobState;
using workflow::WorkflowOutcome;

namespace {

//! A cell with a job of one task that runs.
struct ReadCell : Cell {
    ReadCell()
    {
        lead();
        submit(job);
        advance(ms(100));
    }
    //! Asks for the state of the job; its answers are added to `answers`.
    void ask(core::Duration timeout = ms(1000))
    {
        workflow::WorkflowCall call = callOf(workflow::CallKind::Read, job, "/q/", "");
        call.timeout = timeout;
        engine->handle(call, [this](const workflow::WorkflowResult& it) {
            BOOST_TEST((it.outcome == WorkflowOutcome::Found));
            answers.push_back(it.state);
        });
    }

    workflow::JobSpec job = jobOf("a", 1, 1000);
    std::vector<JobState> answers;
};

using States = std::vector<JobState>;

} // namespace

BOOST_AUTO_TEST_SUITE(reads)

//! Guards against an answer that is outdated at once, and against a second one when the time limit of the read passes.
BOOST_AUTO_TEST_CASE(read_while_the_last_task_ends_is_answered_once_with_the_final_state)
{
    ReadCell cell;
    cell.ask();
    cell.ask(ms(500)); // too short to wait
    BOOST_TEST((cell.answers == States { JobState::Running }));
    cell.endAll(EndKind::Done);
    cell.advance(ms(39));
    BOOST_TEST((cell.answers == States { JobState::Running, JobState::Completed }));
    cell.advance(ms(500));
    BOOST_TEST(cell.answers.size() == 2u);
}

//! Guards against reads that wait for a task that goes on.
BOOST_AUTO_TEST_CASE(read_of_a_job_that_goes_on_is_answered_after_40_ms)
{
    ReadCell cell;
    cell.ask();
    cell.advance(ms(39));
    BOOST_TEST(cell.answers.empty());
    cell.advance(ms(2));
    BOOST_TEST((cell.answers == States { JobState::Running }));
}

//! Guards against a final state that is shown before it is persisted, and against reads that wait as long as the store.
BOOST_AUTO_TEST_CASE(read_is_answered_with_the_former_state_while_the_store_is_slow)
{
    ReadCell cell;
    cell.store->commitAnswerDelay = ms(1000);
    cell.ask();
    cell.endAll(EndKind::Done);
    cell.advance(ms(180)); // 40 ms, and 150 ms more as the end is being persisted
    BOOST_TEST(cell.answers.empty());
    cell.advance(ms(15));
    BOOST_TEST((cell.answers == States { JobState::Running }));
    cell.ask();
    cell.advance(ms(145));
    BOOST_TEST(cell.answers.size() == 1u);
    cell.advance(ms(10));
    BOOST_TEST((cell.answers == States { JobState::Running, JobState::Running }));
    cell.advance(ms(1500));
    cell.ask();
    BOOST_TEST((cell.answers.back() == JobState::Completed));
    BOOST_TEST(cell.answers.size() == 3u);
}

//! Guards against a read that is lost with the engine, and against one whose timer answers it again afterwards.
BOOST_AUTO_TEST_CASE(read_is_answered_once_with_the_former_state_when_the_leadership_ends)
{
    ReadCell cell;
    cell.store->commitAnswerDelay = ms(1000);
    cell.ask();
    cell.endAll(EndKind::Done);
    cell.advance(ms(60));
    cell.ask();
    BOOST_TEST(cell.answers.empty());
    cell.engine.reset();
    cell.former.reset();
    BOOST_TEST((cell.answers == States { JobState::Running, JobState::Running }));
    cell.advance(ms(2000));
    BOOST_TEST(cell.answers.size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

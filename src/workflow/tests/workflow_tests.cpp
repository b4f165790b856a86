#define BOOST_TEST_MODULE workflow
#include "codec/json.h"
#include "workflow/workflowcodec.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::workflow;

namespace {

JobRecord sampleRecord()
{
    JobRecord it;
    it.spec.id = core::JobId("5c0e7a21d94b36f8");
    it.spec.payload = "text";
    StepSpec first;
    first.count = 2;
    first.need = { core::MilliCpu(500), core::MebiBytes(256), core::Accelerators(0) };
    first.estimate = std::chrono::milliseconds(900);
    StepSpec second = first;
    second.count = 1;
    second.after = { 0 };
    second.isGang = true;
    it.spec.steps = { first, second };
    it.queue.name = "q";
    it.queue.service = core::ServiceId("s");
    it.queue.advice = AdvicePolicy { std::chrono::milliseconds(10), std::chrono::microseconds(120),
        std::chrono::milliseconds(2500) };
    it.acceptedAt = core::WallTime(1'000);
    it.stages = { initialProgress(2), initialProgress(1) };
    it.stages[0].done[0] = true;
    it.stages[0].failedRuns[1].insert(3);
    it.stages[0].failedRuns[1].insert(5);
    return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_record_survives_its_encoding)
{
    const JobRecord from = sampleRecord();
    JobRecord to = decodeJob(encodeJob(from));
    decodeProgress(encodeProgress(from), to);
    BOOST_TEST(to.spec.steps.size() == 2u);
    BOOST_TEST(to.spec.steps[1].isGang);
    BOOST_TEST(to.spec.steps[1].after.size() == 1u);
    BOOST_TEST(to.queue.advice->perWorker.count() == 120);
    BOOST_TEST(to.stages[0].done[0]);
    BOOST_TEST((to.stages[0].failedRuns[1].recorded() == std::set<std::int64_t> { 3, 5 }));
}

//! Guards against progress that outgrows its row: the most stages and tasks that a submission may have.
BOOST_AUTO_TEST_CASE(the_progress_of_the_largest_jobs_fits_into_a_row)
{
    for (const std::size_t stages : { 1u, 4'000u, 20'000u }) {
        JobRecord from;
        from.spec.steps.resize(1);
        from.spec.steps[0].count = static_cast<std::uint32_t>(20'000 / stages);
        from.spec.occurrences = static_cast<std::uint32_t>(stages);
        from.queue.maxAttempts = UINT32_MAX;
        for (std::size_t n = 0; n < stages; ++n) {
            from.stages.push_back(initialProgress(20'000 / stages));
            from.stages[n].done[0] = n % 3 == 0;
        }
        const std::string text = encodeProgress(from);
        BOOST_TEST(text.size() <= 20'000u);
        JobRecord to = from;
        to.stages.assign(stages, initialProgress(20'000 / stages));
        decodeProgress(text, to);
        BOOST_TEST((to.stages.size() == from.stages.size()));
        BOOST_TEST(std::equal(from.stages.begin(), from.stages.end(), to.stages.begin(),
            [](const StageProgress& a, const StageProgress& b) { return a.done == b.done; }));
    }
}

//! Guards against failures that outgrow their row: each task fails more often than is recorded, in the latest terms.
BOOST_AUTO_TEST_CASE(the_failures_of_the_largest_jobs_fit_into_rows)
{
    JobRecord from;
    from.spec.steps.resize(1);
    from.spec.steps[0].count = 20'000;
    from.queue.maxAttempts = 1'000;
    from.stages = { initialProgress(20'000) };
    for (std::size_t task = 0; task < 20'000; ++task) {
        for (std::int64_t n = 0; n < 20; ++n)
            from.stages[0].failedRuns[task].insert(INT64_MAX - 20 + n);
    }
    BOOST_TEST(storesFailuresSeparately(from));
    BOOST_TEST(encodeProgress(from).size() < 20'000u);
    JobRecord to = from;
    to.stages = { initialProgress(20'000) };
    std::size_t largest = 0;
    for (const FailureBlock it : failureBlocks(from)) {
        const std::string text = encodeFailures(from, it);
        largest = std::max(largest, text.size());
        decodeFailures(text, to);
    }
    BOOST_TEST(largest <= 49'152u); // 64 KiB in base64
    BOOST_TEST((to.stages[0].failedRuns == from.stages[0].failedRuns));
    BOOST_TEST(to.stages[0].failedRuns[7].size() == 20u);
}

BOOST_AUTO_TEST_CASE(failures_beside_the_progress_fit_into_its_row)
{
    JobRecord from;
    from.spec.steps.resize(1);
    from.spec.steps[0].count = 150;
    from.queue.maxAttempts = 4;
    from.stages = { initialProgress(150) };
    for (std::size_t task = 0; task < 150; ++task) {
        for (std::int64_t n = 0; n < 4; ++n)
            from.stages[0].failedRuns[task].insert(INT64_MAX - 4 + n);
    }
    BOOST_TEST(!storesFailuresSeparately(from));
    const std::string text = encodeProgress(from);
    BOOST_TEST(text.size() <= 49'152u);
    JobRecord to = from;
    to.stages = { initialProgress(150) };
    decodeProgress(text, to);
    BOOST_TEST((to.stages[0].failedRuns == from.stages[0].failedRuns));
}

BOOST_AUTO_TEST_CASE(a_failed_run_counts_once_also_after_its_number_was_dropped)
{
    FailedRuns failed;
    for (std::int64_t n = 1; n <= 40; ++n)
        BOOST_TEST(failed.insert(n));
    BOOST_TEST(failed.size() == 40u);
    BOOST_TEST(failed.recorded().size() == FailedRuns::maxRecorded);
    BOOST_TEST(!failed.insert(3));
    BOOST_TEST(!failed.insert(40));
    BOOST_TEST(failed.size() == 40u);
}

BOOST_AUTO_TEST_CASE(an_ended_job_is_stored_without_its_steps)
{
    JobRecord from = sampleRecord();
    from.state = JobState::Cancelled;
    JobRecord to;
    decodeProgress(encodeProgress(from), to);
    BOOST_TEST((to.state == JobState::Cancelled));
    BOOST_TEST(to.queue.name == "q");
}

BOOST_AUTO_TEST_CASE(a_damaged_record_is_rejected)
{
    JobRecord record = decodeJob(encodeJob(sampleRecord()));
    BOOST_CHECK_THROW(decodeJob("[]"), codec::DecodeError);
    BOOST_CHECK_THROW(decodeProgress("{\"stages\":[\"dd\"]}", record), codec::DecodeError);
    BOOST_CHECK_THROW(decodeProgress("{\"state\":9}", record), codec::DecodeError);
}

BOOST_AUTO_TEST_CASE(the_longest_prefix_on_the_host_selects_the_queue)
{
    QueueConfig config;
    QueuePolicy wide;
    wide.name = "wide";
    wide.host = "a.example";
    wide.pathPrefix = "/a/";
    QueuePolicy narrow = wide;
    narrow.name = "narrow";
    narrow.pathPrefix = "/a/b/";
    config.queues = { wide, narrow };
    BOOST_TEST(config.find("a.example", "/a/b/1")->name == "narrow");
    BOOST_TEST(config.find("a.example", "/a/1")->name == "wide");
    BOOST_TEST(!config.find("b.example", "/a/1"));
}

BOOST_AUTO_TEST_CASE(the_critical_path_follows_the_steps)
{
    const JobRecord record = sampleRecord();
    BOOST_TEST(criticalPath(record.spec).count() == 1'800'000);
}

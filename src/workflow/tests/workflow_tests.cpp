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
    it.stages = { { { true, false }, { {}, { 3, 5 } } }, { { false }, { {} } } };
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
    BOOST_TEST((to.stages[0].failedRuns[1] == std::set<std::int64_t> { 3, 5 }));
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

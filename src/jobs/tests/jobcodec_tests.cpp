#define BOOST_TEST_MODULE jobs
#include "jobs/jobcodec.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace std::chrono_literals;

namespace {

jobs::JobSnapshot sampleSnapshot()
{
    jobs::JobSnapshot it;
    it.spec.id = core::JobId("j-1");
    it.spec.team = core::TeamId("mixing-room");
    it.spec.workload = "glaze-run";
    it.spec.kind = jobs::JobKind::Gang;
    it.spec.taskCount = 3;
    it.spec.taskResources = { core::MilliCpu(500), core::MebiBytes(128), core::Accelerators(1) };
    it.spec.runTime = 2500ms;
    it.spec.deadline = core::WallTime(1'700'000'000'000);
    it.acceptedAt = core::WallTime(1'699'999'999'000);
    it.ended = { jobs::TaskState::Waiting, jobs::TaskState::Succeeded, jobs::TaskState::Unknown };
    return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(aSnapshotIsUnchangedAfterEncodingAndDecoding)
{
    const Json::Value value = codec::parseJson(codec::writeJson(jobs::encodeSnapshot(sampleSnapshot())));
    BOOST_TEST((jobs::decodeSnapshot(codec::ObjectReader(value)) == sampleSnapshot()));
}

BOOST_AUTO_TEST_CASE(aSnapshotWithTheWrongNumberOfTasksIsRejected)
{
    Json::Value value = jobs::encodeSnapshot(sampleSnapshot());
    value["ended"] = "ww";
    BOOST_CHECK_THROW(jobs::decodeSnapshot(codec::ObjectReader(value)), codec::DecodeError);
    value["ended"] = "wx?";
    BOOST_CHECK_THROW(jobs::decodeSnapshot(codec::ObjectReader(value)), codec::DecodeError);
}

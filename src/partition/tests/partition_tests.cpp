#define BOOST_TEST_MODULE partition
#include "partition/tests/simulatedcell.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::partition;
using namespace sardinerun::partition::testing;
using namespace std::chrono_literals;

namespace {

const core::Resources workerSize { core::MilliCpu(4000), core::MebiBytes(8000), {} };

int startsOf(const SimulatedCell& cell, const std::string& job)
{
    int n = 0;
    for (const auto& [task, starts] : cell.record.starts) {
        if (task.first.value() == job)
            n += starts;
    }
    return n;
}

} // namespace

BOOST_AUTO_TEST_CASE(aBatchJobIsAcceptedPlacedRunAndReported)
{
    SimulatedCell cell(2, 4, workerSize);
    cell.submit(jobSpec("a", 5));
    BOOST_TEST(cell.runUntilDone(10s));
    BOOST_TEST((cell.record.outcomes.at(core::JobId("a")) == protocol::SubmitOutcome::Accepted));
    BOOST_TEST((cell.statusOf(core::JobId("a")).state == jobs::JobState::Succeeded));
    BOOST_TEST(startsOf(cell, "a") == 5);
}

BOOST_AUTO_TEST_CASE(attemptNumbersAreNotReusedByALaterOwner)
{
    // With 64 numbers in an epoch, a task that was preempted more often used numbers of the next owner.
    constexpr std::uint64_t manyRestarts = 1'000'000;
    const std::uint64_t last = firstAttemptOf(core::Epoch(7)).value() + manyRestarts;
    BOOST_TEST(last < firstAttemptOf(core::Epoch(8)).value());
}

BOOST_AUTO_TEST_CASE(aJobThatCanNeverRunIsRefusedAndDoesNotRun)
{
    SimulatedCell cell(2, 4, workerSize);
    cell.submit(jobSpec("a", 1, 4001));
    cell.run(5s);
    BOOST_TEST((cell.record.outcomes.at(core::JobId("a")) == protocol::SubmitOutcome::Refused));
    BOOST_TEST(startsOf(cell, "a") == 0);
}

BOOST_AUTO_TEST_CASE(tasksThatDoNotFitAtHomeStartInOtherPartitions)
{
    SimulatedCell cell(3, 9, workerSize);
    cell.run(1s);
    auto spec = jobSpec("a", 36);
    spec.runTime = 20s;
    cell.submit(spec);
    cell.run(10s);
    BOOST_TEST(cell.statusOf(core::JobId("a")).running == 36U);
}

BOOST_AUTO_TEST_CASE(aGangStartsTogetherAcrossPartitions)
{
    SimulatedCell cell(3, 9, workerSize);
    cell.run(1s);
    auto spec = jobSpec("a", 9, 4000);
    spec.kind = jobs::JobKind::Gang;
    spec.runTime = 3s;
    cell.submit(spec);
    while (startsOf(cell, "a") == 0)
        cell.step();
    cell.run(300ms);
    BOOST_TEST(startsOf(cell, "a") == 9);
    BOOST_TEST(cell.runUntilDone(20s));
    BOOST_TEST((cell.statusOf(core::JobId("a")).state == jobs::JobState::Succeeded));
}

BOOST_AUTO_TEST_CASE(twoGangsThatDoNotFitTogetherBothRun)
{
    SimulatedCell cell(3, 9, workerSize);
    cell.run(1s);
    for (const char* id : { "a", "b" }) {
        auto spec = jobSpec(id, 6, 4000);
        spec.kind = jobs::JobKind::Gang;
        cell.submit(spec);
    }
    BOOST_TEST(cell.runUntilDone(60s));
    BOOST_TEST(startsOf(cell, "a") == 6);
    BOOST_TEST(startsOf(cell, "b") == 6);
}

BOOST_AUTO_TEST_CASE(aNewOwnerAdoptsRunningTasksAndStartsOnlyTheOthers)
{
    SimulatedCell cell(1, 1, workerSize);
    cell.submit(jobSpec("a", 8));
    cell.run(500ms);
    BOOST_TEST(startsOf(cell, "a") == 4);
    cell.takeOver(0, false);
    BOOST_TEST(cell.runUntilDone(20s));
    BOOST_TEST(startsOf(cell, "a") == 8);
    BOOST_TEST((cell.statusOf(core::JobId("a")).state == jobs::JobState::Succeeded));
}

BOOST_AUTO_TEST_CASE(theLossOfAWorkerStartsItsTasksElsewhereOnlyAfterItsLease)
{
    SimulatedCell cell(1, 2, workerSize);
    auto spec = jobSpec("a", 8);
    spec.runTime = 30s;
    cell.submit(spec);
    cell.run(1s);
    BOOST_TEST(cell.statusOf(core::JobId("a")).running == 8U);
    cell.unreachableWorkers.insert(core::VmId("w0"));
    cell.run(5s);
    BOOST_TEST(cell.statusOf(core::JobId("a")).running == 8U); // still counted: the lease has not expired
    cell.run(4s);
    BOOST_TEST(cell.statusOf(core::JobId("a")).running == 4U);
    cell.unreachableWorkers.clear();
    BOOST_TEST(cell.runUntilDone(90s));
}

BOOST_AUTO_TEST_CASE(aNonRepeatableTaskIsUnknownWhenItsWorkerIsLost)
{
    SimulatedCell cell(1, 1, workerSize);
    auto spec = jobSpec("a", 1);
    spec.isRepeatable = false;
    spec.runTime = 30s;
    cell.submit(spec);
    cell.run(1s);
    cell.restartWorker(core::VmId("w0"));
    BOOST_TEST(cell.runUntilDone(10s));
    BOOST_TEST((cell.statusOf(core::JobId("a")).state == jobs::JobState::Unknown));
    BOOST_TEST(startsOf(cell, "a") == 1);
}

BOOST_AUTO_TEST_CASE(aNonRepeatableTaskThatNeverStartedRunsAfterATakeover)
{
    SimulatedCell cell(1, 1, workerSize);
    cell.unreachableWorkers.insert(core::VmId("w0"));
    auto spec = jobSpec("a", 1);
    spec.isRepeatable = false;
    cell.submit(spec);
    cell.run(500ms);
    cell.takeOver(0, true);
    cell.unreachableWorkers.clear();
    BOOST_TEST(cell.runUntilDone(30s));
    BOOST_TEST((cell.statusOf(core::JobId("a")).state == jobs::JobState::Succeeded));
}

//! Guards against a lease that counts from the newest of many notices that the former owner is gone, and never ends.
BOOST_AUTO_TEST_CASE(aWorkerThatWasLostWithItsOwnerIsGivenUpAfterItsLease)
{
    SimulatedCell cell(1, 2, workerSize);
    auto spec = jobSpec("a", 8);
    spec.runTime = 3s;
    cell.submit(spec);
    cell.run(1s);
    cell.unreachableWorkers.insert(core::VmId("w0"));
    cell.takeOver(0, true);
    bool isRecovered = false;
    for (int n = 0; n < 20 && !isRecovered; ++n) {
        cell.run(500ms);
        cell.repeatFormerOwnerGone(0);
        isRecovered = cell.view(0).isRecovered;
    }
    BOOST_TEST(isRecovered);
    BOOST_TEST(cell.runUntilDone(20s));
}

//! Guards against a home that was replaced making a capacity forget an end which its successor has not recorded.
BOOST_AUTO_TEST_CASE(aHomeThatWasReplacedAcknowledgesNoEnd)
{
    SimulatedCell cell(1, 1, workerSize);
    cell.submit(jobSpec("a", 1));
    cell.takeOver(0, true);
    cell.run(300ms);
    BOOST_TEST(startsOf(cell, "a") == 1);
    cell.storeFault = services::testing::FakeStore::Fault::Down; // the end can't be recorded
    cell.run(2s);
    BOOST_TEST(cell.record.successes.size() == 1U);
    const core::AttemptNumber first = cell.lastStarted().attempt;
    cell.send(core::PartitionId(0),
        protocol::EndsPersisted { { core::PartitionId(0), core::Epoch(1) }, core::PartitionId(0),
            { { core::JobId("a"), core::TaskIndex(0), first } } });
    cell.run(1s);
    cell.storeFault = services::testing::FakeStore::Fault::None;
    cell.takeOver(0, true);
    BOOST_TEST(cell.runUntilDone(20s));
    BOOST_TEST(startsOf(cell, "a") == 1);
}

//! Guards against an owner that was replaced starting again what its successor reaches and it does not.
BOOST_AUTO_TEST_CASE(anOwnerThatWasReplacedDoesNotRestartTheTasksOfASilentWorker)
{
    SimulatedCell cell(1, 2, workerSize);
    auto spec = jobSpec("a", 1);
    spec.runTime = 60s;
    cell.submit(spec);
    cell.run(1s);
    const core::VmId busy
        = cell.worker(core::VmId("w0")).running().cpu.value() > 0 ? core::VmId("w0") : core::VmId("w1");
    const core::VmId idle = busy == core::VmId("w0") ? core::VmId("w1") : core::VmId("w0");
    cell.unreachableForFormerOwners = { busy };
    cell.unreachableForOwners = { idle };
    cell.takeOver(0, false);
    BOOST_REQUIRE_NO_THROW(cell.run(20s));
    BOOST_TEST(startsOf(cell, "a") == 1);
}

//! Guards against an owner that was paused using the session of a worker that lost its fence in a restart meanwhile.
BOOST_AUTO_TEST_CASE(anOwnerThatWasPausedAndReplacedUsesNoNewSession)
{
    SimulatedCell cell(1, 1, workerSize);
    auto spec = jobSpec("a", 1);
    spec.runTime = 60s;
    cell.submit(spec);
    cell.run(1s);
    cell.pausesFormerOwners = true;
    cell.takeOver(0, false);
    cell.run(5s);
    cell.restartWorker(core::VmId("w0"));
    cell.unreachableForOwners = { core::VmId("w0") };
    cell.pausesFormerOwners = false;
    cell.run(1s);
    BOOST_TEST(startsOf(cell, "a") == 1);
}

//! Guards against a home that was replaced denying a job that its successor has accepted, or the cancelling of it.
BOOST_AUTO_TEST_CASE(aHomeThatWasReplacedDeniesNoJob)
{
    SimulatedCell cell(1, 1, workerSize);
    auto spec = jobSpec("a", 1);
    spec.runTime = 60s;
    cell.submit(spec);
    cell.run(1s);
    cell.unreachableForFormerOwners = { core::VmId("w0") }; // or it learned there that it was replaced
    cell.takeOver(0, false);
    cell.submit(jobSpec("b", 1));
    cell.run(1s);
    BOOST_TEST((cell.record.outcomes.at(core::JobId("b")) == protocol::SubmitOutcome::Accepted));
    const auto read = [&](const char* job, std::uint64_t token) {
        cell.sendToFormerOwner(
            protocol::ReadJobs { { cell.caller, {}, protocol::Token(token) }, {}, core::JobId(job), {}, 1 });
    };
    read("a", 11);
    read("b", 12);
    cell.sendToFormerOwner(
        protocol::CancelJobs { { cell.caller, {}, protocol::Token(13) }, {}, { core::JobId("b") }, {} });
    cell.run(500ms);
    BOOST_TEST(cell.record.reads[protocol::Token(11)].jobs.size() == 1U);
    BOOST_TEST(!cell.record.reads.contains(protocol::Token(12)));
    BOOST_TEST(!cell.record.cancels.contains(protocol::Token(13)));
}

BOOST_AUTO_TEST_CASE(newJobsAreRefusedAndAcceptedJobsGoOnWhileTheStoreIsDown)
{
    SimulatedCell cell(1, 2, workerSize);
    cell.submit(jobSpec("a", 20));
    cell.run(200ms);
    cell.storeFault = FakeStore::Fault::Down;
    cell.submit(jobSpec("b", 1));
    cell.run(1h);
    BOOST_TEST((cell.record.outcomes.at(core::JobId("b")) == protocol::SubmitOutcome::Refused));
    BOOST_TEST(startsOf(cell, "a") == 20);
    BOOST_TEST((cell.statusOf(core::JobId("a")).state == jobs::JobState::Succeeded));
    cell.storeFault = FakeStore::Fault::None;
    cell.run(2s);
    cell.takeOver(0, true);
    cell.run(5s);
    BOOST_TEST(startsOf(cell, "a") == 20);
}

//! Guards against a partition without running jobs that refuses all new work for ever once the store was down.
BOOST_AUTO_TEST_CASE(anIdlePartitionAcceptsWorkAgainAfterAStoreOutage)
{
    SimulatedCell cell(1, 2, workerSize);
    cell.run(1s);
    cell.storeFault = FakeStore::Fault::Down;
    cell.submit(jobSpec("during", 1));
    cell.run(3s);
    BOOST_TEST((cell.record.outcomes.at(core::JobId("during")) == protocol::SubmitOutcome::Refused));
    cell.storeFault = FakeStore::Fault::None;
    cell.run(500ms);
    cell.submit(jobSpec("after", 1));
    cell.send(core::PartitionId(0),
        protocol::ClaimOnce { { cell.caller, {}, protocol::Token(1) }, core::PartitionId(0),
            { core::TeamId("dealers"), core::IdempotencyKey("fit-1") }, once::ClaimId("c"), 42 });
    cell.run(500ms);
    BOOST_TEST((cell.record.outcomes.at(core::JobId("after")) == protocol::SubmitOutcome::Accepted));
    BOOST_TEST((cell.record.claims.at(protocol::Token(1)).result == once::ClaimResult::Granted));
    BOOST_TEST(cell.runUntilDone(10s));
    BOOST_TEST(startsOf(cell, "during") == 0);
}

BOOST_AUTO_TEST_CASE(manyCancellationsTakeOneMessageForEachPartition)
{
    SimulatedCell cell(2, 4, workerSize);
    std::vector<core::JobId> ids;
    for (int n = 0; n < 200; ++n) {
        auto spec = jobSpec("j" + std::to_string(n), 1, 100);
        spec.runTime = 1h;
        ids.push_back(cell.submit(spec));
    }
    cell.run(5s);
    cell.cancel(ids, protocol::Token(7));
    cell.cancel(ids, protocol::Token(7));
    BOOST_TEST(cell.runUntilDone(10s));
    for (const core::JobId& it : ids)
        BOOST_TEST((cell.statusOf(it).state == jobs::JobState::Cancelled));
    BOOST_TEST(cell.view(0).committed.cpu.value() == 0);
}

BOOST_AUTO_TEST_CASE(aWorkerThatFailsEveryStartIsQuarantined)
{
    SimulatedCell cell(1, 5, workerSize);
    cell.worker(core::VmId("w0")).failsStarts = true;
    for (int n = 0; n < 60; ++n)
        cell.submit(jobSpec("j" + std::to_string(n), 1));
    BOOST_TEST(cell.runUntilDone(60s));
    for (int n = 0; n < 60; ++n)
        BOOST_TEST((cell.statusOf(core::JobId("j" + std::to_string(n))).state == jobs::JobState::Succeeded));
    BOOST_TEST(cell.view(0).quarantinedWorkers == 1U);
}

BOOST_AUTO_TEST_CASE(aTaskThatCouldNotStartIsTriedInAnotherPartition)
{
    // With one worker in a partition a failing worker cannot be quarantined, and the job was placed on it until it
    // failed.
    SimulatedCell cell(2, 4, workerSize);
    cell.run(1s);
    const core::PartitionId home = core::partitionOf("a", 2);
    for (int n = 0; n < 4; ++n) {
        const core::VmId id("w" + std::to_string(n));
        cell.worker(id).failsStarts = Partition::partitionOf(id, 2) == home;
    }
    cell.submit(jobSpec("a", 1));
    BOOST_TEST(cell.runUntilDone(10s));
    BOOST_TEST((cell.statusOf(core::JobId("a")).state == jobs::JobState::Succeeded));
}

BOOST_AUTO_TEST_CASE(aWorkerThatFailsForAWhileDoesNotFailTheJob)
{
    // Each accepted start used to reset the pause to its shortest, so that 15 attempts failed within a second.
    SimulatedCell cell(1, 1, workerSize);
    cell.run(1s);
    cell.worker(core::VmId("w0")).failsStarts = true;
    cell.submit(jobSpec("a", 1));
    cell.run(9s);
    cell.worker(core::VmId("w0")).failsStarts = false;
    BOOST_TEST(cell.runUntilDone(10s));
    BOOST_TEST((cell.statusOf(core::JobId("a")).state == jobs::JobState::Succeeded));
}

BOOST_AUTO_TEST_CASE(urgentJobsPreemptTasksOnBorrowedCapacity)
{
    SimulatedCell cell(1, 4, workerSize);
    Policy policy;
    policy.shares = { { 30, 30, 10 } };
    cell.setPolicy(policy);
    for (int n = 0; n < 40; ++n) {
        auto spec = jobSpec("low" + std::to_string(n), 1);
        spec.urgency = jobs::Urgency::Low;
        spec.runTime = 10min;
        cell.submit(spec);
    }
    cell.run(3s);
    BOOST_TEST(cell.view(0).committed.cpu.value() == 16000); // the low class has borrowed all capacity
    auto urgent = jobSpec("urgent", 4);
    urgent.urgency = jobs::Urgency::Urgent;
    cell.submit(urgent);
    cell.run(3900ms);
    BOOST_TEST(startsOf(cell, "urgent") == 4);
}

BOOST_AUTO_TEST_CASE(aClaimIsGrantedOnceAlsoAcrossATakeover)
{
    SimulatedCell cell(1, 0, workerSize);
    protocol::ClaimOnce claim { { cell.caller, {}, protocol::Token(1) }, core::PartitionId(0),
        { core::TeamId("dealers"), core::IdempotencyKey("fit-1") }, once::ClaimId("c"), 42 };
    cell.send(core::PartitionId(0), claim);
    cell.run(500ms);
    BOOST_TEST((cell.record.claims.at(protocol::Token(1)).result == once::ClaimResult::Granted));
    cell.takeOver(0, false);
    claim.requester.token = protocol::Token(2);
    cell.send(core::PartitionId(0), claim);
    cell.run(500ms);
    BOOST_TEST((cell.record.claims.at(protocol::Token(2)).result == once::ClaimResult::InProgress));
    protocol::FinishOnce finish { { cell.caller, {}, protocol::Token(3) }, core::PartitionId(0), claim.key, claim.claim,
        false, { 201, "text/plain", "fits", true } };
    cell.send(core::PartitionId(0), finish);
    cell.run(500ms);
    cell.takeOver(0, false);
    claim.requester.token = protocol::Token(4);
    cell.send(core::PartitionId(0), claim);
    cell.run(500ms);
    BOOST_TEST((cell.record.claims.at(protocol::Token(4)).result == once::ClaimResult::Replayed));
    BOOST_TEST(cell.record.claims.at(protocol::Token(4)).answer.body == "fits");
}

BOOST_AUTO_TEST_CASE(aClaimThatCannotBePersistedIsNotGranted)
{
    SimulatedCell cell(1, 0, workerSize);
    cell.storeFault = FakeStore::Fault::Down;
    cell.send(core::PartitionId(0),
        protocol::ClaimOnce { { cell.caller, {}, protocol::Token(1) }, core::PartitionId(0),
            { core::TeamId("dealers"), core::IdempotencyKey("fit-1") }, once::ClaimId("c"), 42 });
    cell.run(500ms);
    BOOST_TEST((cell.record.claims.at(protocol::Token(1)).result == once::ClaimResult::NotPersisted));
}

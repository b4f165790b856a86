#define BOOST_TEST_MODULE golden
#include "core/testing/golden.h"
#include "partition/tests/simulatedcell.h"

#include <boost/test/unit_test.hpp>

//! Compares the messages of whole sessions with golden files. SARDINERUN_RECORD=1 rewrites the files.

using namespace sardinerun;
using namespace sardinerun::partition;
using namespace sardinerun::partition::testing;
using namespace std::chrono_literals;

namespace {

const core::Resources workerSize { core::MilliCpu(4000), core::MebiBytes(8000), {} };

void compare(const SimulatedCell& cell, const std::string& name)
{
    const std::string path = std::string(SARDINERUN_TESTS_DIR) + "/golden/" + name + ".txt";
    std::string text;
    for (const std::string& it : cell.transcript)
        text += it + "\n";
    BOOST_TEST(core::testing::isGolden(path, text), name << " differs from " << path);
}

} // namespace

BOOST_AUTO_TEST_CASE(normal)
{
    SimulatedCell cell(2, 2, workerSize);
    cell.recordsTranscript = true;
    cell.submit(jobSpec("a", 3));
    cell.runUntilDone(10s);
    compare(cell, "normal");
}

BOOST_AUTO_TEST_CASE(refusal)
{
    SimulatedCell cell(1, 1, workerSize);
    cell.recordsTranscript = true;
    cell.submit(jobSpec("a", 1, 5000));
    cell.run(500ms);
    compare(cell, "refusal");
}

BOOST_AUTO_TEST_CASE(retry)
{
    SimulatedCell cell(1, 1, workerSize);
    cell.recordsTranscript = true;
    cell.worker(core::VmId("w0")).failsStarts = true;
    cell.submit(jobSpec("a", 1));
    cell.run(600ms);
    cell.worker(core::VmId("w0")).failsStarts = false;
    cell.runUntilDone(10s);
    compare(cell, "retry");
}

BOOST_AUTO_TEST_CASE(takeover)
{
    SimulatedCell cell(1, 1, workerSize);
    cell.recordsTranscript = true;
    cell.submit(jobSpec("a", 5));
    cell.run(500ms);
    cell.takeOver(0, false);
    cell.runUntilDone(20s);
    compare(cell, "takeover");
}

BOOST_AUTO_TEST_CASE(gangAcrossPartitions)
{
    SimulatedCell cell(2, 4, workerSize);
    cell.run(1s);
    cell.recordsTranscript = true;
    auto spec = jobSpec("a", 4, 4000);
    spec.kind = jobs::JobKind::Gang;
    cell.submit(spec);
    cell.runUntilDone(20s);
    compare(cell, "allatonce");
}

BOOST_AUTO_TEST_CASE(cancelWave)
{
    SimulatedCell cell(2, 4, workerSize);
    std::vector<core::JobId> ids;
    for (int n = 0; n < 8; ++n) {
        auto spec = jobSpec("j" + std::to_string(n), 1, 500);
        spec.runTime = 1h;
        ids.push_back(cell.submit(spec));
    }
    cell.run(2s);
    cell.recordsTranscript = true;
    cell.cancel(ids, protocol::Token(7));
    cell.runUntilDone(5s);
    compare(cell, "cancelwave");
}

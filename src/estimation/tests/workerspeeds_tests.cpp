#define BOOST_TEST_MODULE estimation
#include "estimation/workerspeeds.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

using namespace sardinerun;
using namespace sardinerun::estimation;

namespace {

//! Steps of some tasks on random workers whose speeds are known to the test.
struct Fleet {
    explicit Fleet(std::size_t workers, double spread, unsigned seed = 1)
        : random(seed)
    {
        std::normal_distribution<double> speed(0, spread);
        for (std::size_t n = 0; n < workers; ++n)
            speeds.push_back(speed(random));
    }
    core::VmId idOf(std::size_t n) const { return core::VmId("w" + std::to_string(n)); }
    std::string hardwareOf(std::size_t n) const { return n % 2 == 0 ? "a" : "b"; }
    //! Runs one step; the lengths of steps differ much, those of its tasks by `noise`.
    void runStep(std::size_t tasks, double noise)
    {
        std::normal_distribution<double> lengthOfStep(0, 1);
        std::normal_distribution<double> lengthOfTask(0, noise);
        const double length = lengthOfStep(random);
        StepSample step;
        for (std::size_t n = 0; n < tasks; ++n) {
            const std::size_t worker = random() % speeds.size();
            const double seconds = std::exp(length + lengthOfTask(random) - speeds[worker]);
            now += std::chrono::milliseconds(2);
            learned.onCompleted(idOf(worker), hardwareOf(worker),
                std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds)), step, now);
        }
    }
    double error() const
    {
        double sum = 0;
        for (std::size_t n = 0; n < speeds.size(); ++n) {
            const double difference = learned.speedOf(idOf(n), hardwareOf(n)).value() - speeds[n];
            sum += difference * difference;
        }
        return std::sqrt(sum / double(speeds.size()));
    }

    std::mt19937 random;
    std::vector<double> speeds;
    WorkerSpeeds learned;
    core::TimePoint now {};
};

} // namespace

//! Guards against speeds that take the lengths of tasks for those of workers.
BOOST_AUTO_TEST_CASE(speeds_are_learned_apart_from_the_lengths_of_steps)
{
    Fleet fleet(100, 0.2);
    for (int n = 0; n < 1000; ++n)
        fleet.runStep(3, 0.3);
    BOOST_TEST(fleet.error() < 0.11);
}

//! Guards against differences that are learned from noise: a fleet of equal workers is placed as before.
BOOST_AUTO_TEST_CASE(equal_workers_are_hardly_told_apart)
{
    Fleet fleet(100, 0);
    for (int n = 0; n < 100; ++n)
        fleet.runStep(3, 0.3);
    BOOST_TEST(fleet.error() < 0.08);
}

//! Guards against one task of seven times the length that marks its worker as slow.
BOOST_AUTO_TEST_CASE(one_long_task_does_not_mark_its_worker)
{
    WorkerSpeeds speeds;
    StepSample step;
    for (int n = 0; n < 5; ++n)
        speeds.onCompleted(core::VmId("w" + std::to_string(n)), "a", std::chrono::seconds(1), step, {});
    speeds.onCompleted(core::VmId("w9"), "a", std::chrono::seconds(7), step, {});
    BOOST_TEST(speeds.speedOf(core::VmId("w9"), "a").value() > -0.2);
}

//! Guards against a single task, which has nothing to be compared with, that changes a speed.
BOOST_AUTO_TEST_CASE(a_step_of_one_task_teaches_nothing)
{
    WorkerSpeeds speeds;
    StepSample step;
    speeds.onCompleted(core::VmId("w"), "a", std::chrono::seconds(9), step, {});
    BOOST_TEST(speeds.speedOf(core::VmId("w"), "a").value() == 0);
    BOOST_TEST(speeds.speedOf(core::VmId("unknown"), "c").value() == 0);
}

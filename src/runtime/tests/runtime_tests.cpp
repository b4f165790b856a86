#define BOOST_TEST_MODULE runtime
#include "runtime/eventloop.h"
#include "runtime/manualloop.h"
#include "runtime/task.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <future>

using namespace sardinerun;
using namespace std::chrono_literals;

namespace {

class Counter : public runtime::Task<int> {
public:
    using Task::Task;
    void receive(int n) override { total += n; }
    void countEvery(core::Duration period)
    {
        every(period, [this] { ++ticks; });
    }
    int total = 0;
    int ticks = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(messagesRunInOrderOnTheLoop)
{
    auto loop = std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>());
    auto counter = std::make_shared<Counter>(loop);
    counter->address().send(2);
    counter->address().send(3);
    BOOST_TEST(counter->total == 0);
    loop->runReady();
    BOOST_TEST(counter->total == 5);
}

BOOST_AUTO_TEST_CASE(aMessageForAnEndedTaskIsDropped)
{
    auto loop = std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>());
    auto counter = std::make_shared<Counter>(loop);
    auto address = counter->address();
    counter.reset();
    address.send(1);
    loop->runReady();
}

BOOST_AUTO_TEST_CASE(timersFollowThePausedClock)
{
    auto loop = std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>());
    auto counter = std::make_shared<Counter>(loop);
    counter->countEvery(10ms);
    loop->advance(9ms);
    BOOST_TEST(counter->ticks == 0);
    loop->advance(21ms);
    BOOST_TEST(counter->ticks == 3);
}

BOOST_AUTO_TEST_CASE(anEventLoopIsWokenByAMessageFromAnotherThread)
{
    auto loop = runtime::EventLoop::create("test", runtime::systemClock()).value();
    loop->start();
    std::promise<std::thread::id> done;
    loop->post([&done] { done.set_value(std::this_thread::get_id()); });
    BOOST_TEST((done.get_future().get() != std::this_thread::get_id()));
    loop->stop();
}

BOOST_AUTO_TEST_CASE(workThatPostsWorkDoesNotStarveTimers)
{
    // Guards against starvation: two state machines that kept answering each other's messages blocked the sockets and
    // timers of a node until its lease expired.
    auto loop = runtime::EventLoop::create("test", runtime::systemClock()).value();
    loop->start();
    std::atomic<bool> isFinished = false;
    std::promise<void> timerRan;
    std::function<void()> again = [&] {
        if (!isFinished)
            loop->post([&again] { again(); });
    };
    loop->post([&] {
        loop->callAfter(20ms, [&timerRan] { timerRan.set_value(); });
        again();
    });
    BOOST_TEST((timerRan.get_future().wait_for(5s) == std::future_status::ready));
    isFinished = true;
    loop->stop();
}

BOOST_AUTO_TEST_CASE(loopsCreatedByOneThreadDoNotShareBuffers)
{
    // Guards against corruption of the thread-local buffers of h2o: two loops whose queues had been created by one
    // thread shared its buffers when both read their queues.
    std::vector<runtime::EventLoopPtr> loops;
    for (int n = 0; n < 3; ++n)
        loops.push_back(runtime::EventLoop::create("test", runtime::systemClock()).value());
    for (const auto& it : loops)
        it->start();
    constexpr int rounds = 20'000;
    std::atomic<int> left = rounds * 3;
    std::promise<void> done;
    for (int n = 0; n < rounds; ++n) {
        for (const auto& it : loops) {
            it->post([&] {
                if (--left == 0)
                    done.set_value();
            });
        }
    }
    done.get_future().get();
    for (const auto& it : loops)
        it->stop();
}

BOOST_AUTO_TEST_CASE(postsFromOwnAndOtherThreadsAllRun)
{
    // Guards against a loop that, while running its own work, cleared the flag for a pending wake-up from another
    // thread.
    auto loop = runtime::EventLoop::create("test", runtime::systemClock()).value();
    loop->start();
    std::atomic<bool> isFinished = false;
    std::function<void()> again = [&] {
        if (!isFinished)
            loop->post([&again] { again(); });
    };
    loop->post([&again] { again(); });
    constexpr int rounds = 200'000;
    std::atomic<int> left = rounds;
    std::promise<void> done;
    for (int n = 0; n < rounds; ++n) {
        loop->post([&] {
            if (--left == 0)
                done.set_value();
        });
    }
    BOOST_TEST((done.get_future().wait_for(20s) == std::future_status::ready));
    isFinished = true;
    loop->stop();
}

BOOST_AUTO_TEST_CASE(replyThatIsDroppedSendsItsFallbackOnce)
{
    const auto loop = std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>());
    std::vector<int> answers;
    const auto makeReply = [&] {
        return runtime::Reply<int>(
            loop, [&answers](int it) { answers.push_back(it); }, [] { return -1; });
    };
    {
        const runtime::Reply<int> dropped = makeReply();
        const runtime::Reply<int> copy = dropped;
    }
    loop->runReady();
    BOOST_TEST(answers == std::vector<int>({ -1 }), boost::test_tools::per_element());
    {
        const runtime::Reply<int> answered = makeReply();
        const runtime::Reply<int> copy = answered;
        answered.send(1);
        copy.send(2);
    }
    loop->runReady();
    BOOST_TEST(answers == std::vector<int>({ -1, 1 }), boost::test_tools::per_element());
}

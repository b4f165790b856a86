#define BOOST_TEST_MODULE dispatch
#include "dispatch/callforwarder.h"
#include "dispatch/lagmeter.h"
#include "runtime/manualloop.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::dispatch;

namespace {

core::Duration ms(std::int64_t n)
{
    return std::chrono::milliseconds(n);
}

//! An HTTP client whose requests stay pending until the test answers them.
class PendingClient : public http::IHttpClient {
public:
    void send(http::ClientRequest, http::ClientCallback callback) override { pending.push_back(std::move(callback)); }

    std::vector<http::ClientCallback> pending;
};

//! A call forwarder on a node that follows a leader elsewhere.
struct FollowingForwarder {
    FollowingForwarder()
        : forwarder(CallForwarder::create(loop, client, {}))
    {
        lead::LeaderRow leader;
        leader.node = core::NodeId("n1");
        leader.address = { "127.0.0.1", 7000 };
        forwarder->address().send(LeaderUpdate { leader, false });
        loop->runReady();
    }

    void submit()
    {
        workflow::WorkflowCall call;
        call.kind = workflow::CallKind::Submit;
        forwarder->address().send(LeaderCall { call,
            runtime::Reply<workflow::WorkflowResult>(
                loop, [this](const workflow::WorkflowResult& it) { answers.push_back(it.outcome); }) });
        loop->runReady();
    }

    runtime::ManualLoopPtr loop = std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>());
    std::shared_ptr<PendingClient> client = std::make_shared<PendingClient>();
    CallForwarderPtr forwarder;
    std::vector<workflow::WorkflowOutcome> answers;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_leader_on_a_vm_that_became_slow_counts_as_overloaded)
{
    LagMeter meter(ms(50));
    core::TimePoint now { std::chrono::hours(1) };
    for (int n = 0; n < 100; ++n)
        meter.onTimer(now += ms(52));
    BOOST_TEST(!meter.isOverloaded());
    for (int n = 0; n < 4; ++n)
        meter.onTimer(now += ms(130));
    BOOST_TEST(meter.isOverloaded());
}

BOOST_AUTO_TEST_CASE(one_long_pause_is_no_overload)
{
    LagMeter meter(ms(50));
    core::TimePoint now { std::chrono::hours(1) };
    for (int n = 0; n < 20; ++n)
        meter.onTimer(now += n == 10 ? ms(4000) : ms(51));
    BOOST_TEST(!meter.isOverloaded());
}

BOOST_AUTO_TEST_CASE(submissions_are_rejected_immediately_while_the_leader_is_silent)
{
    FollowingForwarder it;
    it.submit();
    it.loop->advance(ms(700));
    it.submit();
    BOOST_TEST(it.client->pending.size() == 1u); // the second one was not sent
    BOOST_REQUIRE(it.answers.size() == 1u);
    BOOST_TEST((it.answers[0] == workflow::WorkflowOutcome::NotNow));
    workflow::WorkflowResult accepted;
    accepted.outcome = workflow::WorkflowOutcome::Accepted;
    it.client->pending[0](http::ClientResponse(http::Response { 200, {}, protocol::encodeResult(accepted), {} }));
    it.loop->runReady();
    BOOST_TEST(it.answers.size() == 2u);
    it.submit();
    BOOST_TEST(it.client->pending.size() == 2u); // the leader is no longer silent
}

BOOST_AUTO_TEST_CASE(a_new_leader_is_asked_although_the_former_one_was_silent)
{
    FollowingForwarder it;
    it.submit();
    it.loop->advance(ms(700));
    lead::LeaderRow leader;
    leader.node = core::NodeId("n2");
    leader.address = { "127.0.0.1", 7001 };
    it.forwarder->address().send(LeaderUpdate { leader, false });
    it.loop->runReady();
    it.submit();
    BOOST_TEST(it.client->pending.size() == 2u);
}

//! Guards against a node that refuses submissions for ever, since calls of a former leadership were never answered.
BOOST_AUTO_TEST_CASE(calls_that_a_former_leader_left_open_do_not_make_the_next_one_silent)
{
    FollowingForwarder it;
    it.submit();
    lead::LeaderRow leader;
    leader.node = core::NodeId("n2");
    leader.address = { "127.0.0.1", 7001 };
    it.forwarder->address().send(LeaderUpdate { leader, false });
    it.loop->advance(ms(700));
    it.submit();
    BOOST_TEST(it.client->pending.size() == 2u);
}

//! Guards against a caller that waits for an answer of its own node after that node has lost the leadership.
BOOST_AUTO_TEST_CASE(a_call_that_is_dropped_with_the_leadership_gets_an_uncertain_answer)
{
    FollowingForwarder it;
    lead::LeaderRow self;
    self.node = core::NodeId("n0");
    it.forwarder->address().send(LeaderUpdate { self, true }); // its leader task has ended
    it.submit();
    it.loop->runReady();
    BOOST_REQUIRE(it.answers.size() == 1u);
    BOOST_TEST((it.answers[0] == workflow::WorkflowOutcome::Uncertain));
}

//! Guards against a silent leader that nobody asks again, so that its silence never ends.
BOOST_AUTO_TEST_CASE(a_silent_leader_is_probed_while_submissions_are_rejected)
{
    FollowingForwarder it;
    it.submit();
    it.loop->advance(ms(1300));
    it.submit();
    BOOST_REQUIRE(it.answers.size() == 1u);
    BOOST_TEST((it.answers[0] == workflow::WorkflowOutcome::NotNow));
    BOOST_REQUIRE(it.client->pending.size() == 2u);
    it.submit();
    BOOST_TEST(it.client->pending.size() == 2u); // one probe at a time
    workflow::WorkflowResult counted;
    counted.outcome = workflow::WorkflowOutcome::Counted;
    it.client->pending[1](http::ClientResponse(http::Response { 200, {}, protocol::encodeResult(counted), {} }));
    it.loop->runReady();
    it.submit();
    BOOST_TEST(it.client->pending.size() == 3u); // the submission was sent
}

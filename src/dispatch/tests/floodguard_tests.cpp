#include "dispatch/callforwarder.h"
#include "runtime/manualloop.h"

#include <boost/test/unit_test.hpp>

using namespace sardinerun;
using namespace sardinerun::dispatch;
using namespace std::chrono_literals;

namespace {

const core::TeamId a("a");
const core::TeamId b("b");

core::JobId job(int n)
{
    return core::JobId("j" + std::to_string(n));
}

//! A leader that answers each submission 5 ms after it was sent: team "a" is over its rate from the first one on.
struct FloodedLeader : http::IHttpClient {
    explicit FloodedLeader(runtime::ILoopPtr loop)
        : loop(std::move(loop))
    {
    }
    void send(http::ClientRequest request, http::ClientCallback callback) override
    {
        const workflow::WorkflowCall call = protocol::decodeCall(request.body);
        ++asked[{ call.team, call.kind }];
        if (unanswered.contains(call.spec.id)) {
            loop->post([callback = std::move(callback)] {
                callback(core::Failure { http::ClientError { http::ClientError::Code::Broken, true, "reset" } });
            });
            return;
        }
        workflow::WorkflowResult it;
        it.outcome = call.kind == workflow::CallKind::Submit && call.team == a ? workflow::WorkflowOutcome::Refused
                                                                               : workflow::WorkflowOutcome::Accepted;
        it.retryAfter = 2s;
        it.isTeamOverRate = it.outcome == workflow::WorkflowOutcome::Refused;
        loop->callAfter(5ms, [callback = std::move(callback), it] {
            callback(http::ClientResponse(http::Response { 200, {}, protocol::encodeResult(it), {} }));
        });
    }
    runtime::ILoopPtr loop;
    std::set<core::JobId> unanswered; //!< jobs whose submissions may or may not take effect
    std::map<std::pair<core::TeamId, workflow::CallKind>, int> asked;
};

} // namespace

BOOST_AUTO_TEST_SUITE(flood_guard)

//! Guards against a flood that costs the leader an answer to each submission, and against one that holds back reads or
//! other teams. Load: 100 submissions and 10 reads a second of team "a", 10 submissions a second of "b", for 10 s.
BOOST_AUTO_TEST_CASE(a_flood_costs_the_leader_three_submissions_a_second)
{
    const auto loop = std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>());
    const auto leader = std::make_shared<FloodedLeader>(loop);
    const CallForwarderPtr forwarder = CallForwarder::create(loop, leader, {});
    lead::LeaderRow row;
    row.address = { "127.0.0.1", 7000 };
    forwarder->address().send(LeaderUpdate { row, false });
    std::map<workflow::WorkflowOutcome, int> answers;
    int ids = 0;
    const auto call = [&](const core::TeamId& team, workflow::CallKind kind) {
        workflow::WorkflowCall it;
        it.kind = kind;
        it.team = team;
        it.spec.id = job(++ids);
        forwarder->address().send(LeaderCall {
            it, runtime::Reply<workflow::WorkflowResult>(loop, [&](const workflow::WorkflowResult& answer) {
                ++answers[answer.outcome];
                BOOST_TEST((answer.outcome != workflow::WorkflowOutcome::Refused || answer.retryAfter >= 1500ms));
            }) });
    };
    for (int n = 0; n < 1000; ++n) {
        call(a, workflow::CallKind::Submit);
        if (n % 10 == 0) {
            call(a, workflow::CallKind::Read);
            call(b, workflow::CallKind::Submit);
        }
        loop->advance(10ms);
    }
    BOOST_TEST(answers[workflow::WorkflowOutcome::Refused] == 1000);
    BOOST_TEST((leader->asked[{ a, workflow::CallKind::Submit }] <= 34));
    BOOST_TEST((leader->asked[{ a, workflow::CallKind::Submit }] >= 30));
    BOOST_TEST((leader->asked[{ a, workflow::CallKind::Read }] == 100));
    BOOST_TEST((leader->asked[{ b, workflow::CallKind::Submit }] == 100));
}

//! Guards against a refusal of a job that runs: its first sending was not answered, or the answer may have been lost.
BOOST_AUTO_TEST_CASE(a_job_that_may_have_been_accepted_is_not_refused)
{
    FloodGuard guard;
    const core::TimePoint now { 1h };
    guard.onSent(job(1), now);
    guard.onSent(job(2), now);
    guard.onNotDone(job(2));
    guard.onSent(job(3), now); // sent twice, of which one was certainly not done
    guard.onSent(job(3), now);
    guard.onNotDone(job(3));
    guard.onOverRate(a, 10s, now);
    BOOST_TEST(!guard.refuse(a, job(1), now + 1ms));
    BOOST_TEST(guard.refuse(a, job(2), now + 1ms).has_value());
    BOOST_TEST(!guard.refuse(a, job(3), now + 1ms));
}

//! Guards against a node that forgets which jobs it has sent. Load: a submission without a definite answer, a flood,
//! and the submission again.
BOOST_AUTO_TEST_CASE(a_submission_without_a_definite_answer_is_sent_again_during_a_flood)
{
    const auto loop = std::make_shared<runtime::ManualLoop>(std::make_shared<runtime::ManualClock>());
    const auto leader = std::make_shared<FloodedLeader>(loop);
    leader->unanswered = { job(1) };
    const CallForwarderPtr forwarder = CallForwarder::create(loop, leader, {});
    lead::LeaderRow row;
    row.address = { "127.0.0.1", 7000 };
    forwarder->address().send(LeaderUpdate { row, false });
    std::vector<workflow::WorkflowOutcome> answers;
    for (const int n : { 1, 2, 3, 1 }) {
        workflow::WorkflowCall it;
        it.kind = workflow::CallKind::Submit;
        it.team = a;
        it.spec.id = job(n);
        forwarder->address().send(LeaderCall { it,
            runtime::Reply<workflow::WorkflowResult>(
                loop, [&](const workflow::WorkflowResult& answer) { answers.push_back(answer.outcome); }) });
        loop->advance(10ms);
    }
    using enum workflow::WorkflowOutcome;
    BOOST_TEST((answers == std::vector { Uncertain, Refused, Refused, Uncertain }));
    BOOST_TEST((leader->asked[{ a, workflow::CallKind::Submit }] == 3)); // not for job 3
}

//! Guards against a memory of sent jobs that grows without bound, and against a refusal of one that it has lost. Load:
//! 25,000 jobs within a second, then a flood.
BOOST_AUTO_TEST_CASE(nothing_is_refused_while_the_memory_of_sent_jobs_is_incomplete)
{
    FloodGuard guard;
    const core::TimePoint now { 1h };
    for (int n = 0; n < 25'000; ++n)
        guard.onSent(job(n), now);
    guard.onOverRate(a, 10s, now);
    BOOST_TEST(!guard.refuse(a, job(0), now + 1ms));
    BOOST_TEST(!guard.refuse(a, job(30'000), now + 1ms));
    guard.onOverRate(a, 10s, now + 61s);
    BOOST_TEST(guard.refuse(a, job(30'000), now + 61s).has_value());
}

//! Guards against refusals that go on after the leader accepts the team again, and against an answer to an earlier
//! submission that ends them.
BOOST_AUTO_TEST_CASE(refusals_end_when_the_leader_accepts_the_submission_that_asks_again)
{
    FloodGuard guard;
    const core::TimePoint now { 1h };
    guard.onOverRate(a, 10s, now);
    guard.onOtherAnswer(a, job(1)); // sent before the refusal
    BOOST_TEST(guard.refuse(a, job(2), now + 299ms).has_value());
    BOOST_TEST(!guard.refuse(b, job(3), now + 299ms));
    BOOST_TEST(!guard.refuse(a, job(4), now + 300ms)); // asks again
    BOOST_TEST(guard.refuse(a, job(5), now + 301ms).has_value());
    guard.onOtherAnswer(a, job(4));
    BOOST_TEST(!guard.refuse(a, job(6), now + 302ms));
}

//! Guards against refusals for ever after the answer to the submission that asks again is lost, and against refusals
//! for longer than the leader has asked for.
BOOST_AUTO_TEST_CASE(a_lost_answer_or_a_short_retry_time_ends_the_refusals_in_time)
{
    FloodGuard guard;
    const core::TimePoint now { 1h };
    guard.onOverRate(a, 50ms, now);
    BOOST_TEST(guard.refuse(a, job(1), now + 49ms).has_value());
    BOOST_TEST(!guard.refuse(a, job(2), now + 50ms));
    BOOST_TEST(guard.refuse(a, job(3), now + 349ms).has_value());
    BOOST_TEST(!guard.refuse(a, job(4), now + 350ms));
}

//! Guards against refusals of a team that has long been within its rate. Load: a refusal, and some jobs at once a
//! minute later.
BOOST_AUTO_TEST_CASE(an_old_refusal_by_the_leader_does_not_count)
{
    FloodGuard guard;
    const core::TimePoint now { 1h };
    guard.onOverRate(a, 2s, now);
    BOOST_TEST(!guard.refuse(a, job(1), now + 2s)); // asks again
    BOOST_TEST(guard.refuse(a, job(2), now + 2s).has_value());
    for (const int n : { 3, 4, 5 })
        BOOST_TEST(!guard.refuse(a, job(n), now + 60s));
}

BOOST_AUTO_TEST_SUITE_END()

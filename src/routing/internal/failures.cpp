#include "routing/irouter.h"

#include <array>

namespace sardinerun::routing {

namespace {

struct FailureText {
    Failure failure;
    int status;
    const char* type;
    const char* title;
};

//! Indexed by Failure.
constexpr std::array<FailureText, 11> failureTexts { {
    { Failure::Overloaded, 503, "overloaded", "No slot would be free in time" },
    { Failure::NoRunner, 503, "no-runner", "No runner of the service can be used" },
    { Failure::KeyMissing, 400, "key-missing", "This request may not be repeated and needs an Idempotency-Key" },
    { Failure::KeyMismatch, 422, "key-mismatch", "The Idempotency-Key was used for another request" },
    { Failure::InProgress, 409, "in-progress", "The first sending of this request has no answer yet" },
    { Failure::NotPersisted, 503, "not-kept", "The request could not be recorded" },
    { Failure::AnswerLost, 410, "answer-lost", "The request was run, and its answer is not kept" },
    { Failure::OutcomeUnknown, 502, "outcome-unknown", "The request may have been run" },
    { Failure::RunnerFailed, 502, "runner-failed", "The runners failed" },
    { Failure::TimedOut, 504, "timed-out", "No answer came in time" },
    { Failure::Stopping, 503, "stopping", "This node is stopping" },
} };

} // namespace

http::Response toResponse(const FailureAnswer& answer)
{
    const FailureText& text = failureTexts[static_cast<std::size_t>(answer.failure)];
    return http::toResponse(
        http::Problem { text.status, text.type, text.title, answer.executed, "", answer.retryAfter });
}

} // namespace sardinerun::routing

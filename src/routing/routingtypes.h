#pragma once

#include "configuration/configurationtypes.h"
#include "core/types.h"
#include "http/problem.h"
#include "once/claimtypes.h"
#include "services/servicestypes.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

//! Requests to services: admission, choice of a runner, retries and the answer to the caller.
namespace sardinerun::routing {

using http::Executed;

//! Why a request has no answer from a runner.
enum class Failure {
    Overloaded, //!< no slot is expected to become free in time
    NoRunner, //!< the service has no usable runner
    KeyMissing, //!< the request is not repeatable and has no idempotency key
    KeyMismatch, //!< the idempotency key was used for a different request
    InProgress, //!< an earlier request with this key has no answer yet
    NotPersisted, //!< the claim could not be persisted
    AnswerLost, //!< the request ran, but its answer is not stored
    OutcomeUnknown, //!< the request may have run
    RunnerFailed, //!< a repeatable request failed and has no retries left
    TimedOut,
    Stopping //!< this node accepts no new requests
};

//! The answer to the caller of a request that has no answer from a runner.
struct FailureAnswer {
    Failure failure = Failure::Overloaded;
    Executed executed = Executed::No;
    std::optional<core::Duration> retryAfter;
};

//! The outcome of one exchange with a runner.
struct Attempt {
    enum class Result {
        Answered,
        Refused, //!< the runner reported that it did not run the request
        NotSent, //!< the request was certainly not sent
        Broken //!< the exchange failed and the request may have run
    };
    Result result = Result::Broken;
    int status = 0;
    bool isRunnerLeaving = false; //!< as reported by the runner
};

//! Response header in which a runner reports its state. With status 503, both values mean that the runner did not run
//! the request.
inline constexpr const char* runnerStateHeader = "x-runner-state";
inline constexpr const char* runnerLeaving = "leaving";
inline constexpr const char* runnerBusy = "busy";

} // namespace sardinerun::routing

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

//! Requests to services: admission, choice of a runner, retries, and what the caller is told.
namespace sardinerun::routing {

using http::Executed;

//! Why a request got no answer of a runner.
enum class Failure {
    Overloaded, //!< no slot would be free in time
    NoRunner, //!< no runner of the service can be used
    KeyMissing, //!< it may not be repeated and carries no key
    KeyMismatch, //!< its key was used for another request
    InProgress, //!< its first sending has no answer yet
    NotPersisted, //!< its claim could not be kept
    AnswerLost, //!< it ran, and its answer is not kept
    OutcomeUnknown,
    RunnerFailed, //!< a repeatable request failed as often as it may
    TimedOut,
    Stopping
};

//! What the caller is told when there is no answer of a runner.
struct FailureAnswer {
    Failure failure = Failure::Overloaded;
    Executed ran = Executed::No;
    std::optional<core::Duration> retryAfter;
};

//! How one exchange with a runner ended.
struct Attempt {
    enum class Result {
        Answered,
        Refused, //!< the runner said that it did not run it
        NotSent,
        Broken //!< it may have run
    };
    Result result = Result::Broken;
    int status = 0;
    bool isRunnerLeaving = false;
};

//! The header by which a runner says that it did not run a request, and the value for "it is leaving".
inline constexpr const char* runnerStateHeader = "x-runner-state";
inline constexpr const char* runnerLeaving = "leaving";
inline constexpr const char* runnerBusy = "busy";

} // namespace sardinerun::routing

#pragma once

#include "routing/routingtypes.h"

namespace sardinerun::routing {

//! The next step of a request after an exchange with a runner.
enum class Action {
    Deliver, //!< pass the runner's answer to the caller
    Retry, //!< try another runner
    FailNotRun, //!< report to the caller that the request was not run
    FailUnknown //!< report to the caller that the request may have run
};

//! Decides synchronously whether one request is retried after each exchange.
//!
//! The separation between the router, which sends the request, and this decision follows "Traffic Server Layer 7
//! Working Group (Denver 2018 notes)": the result is passed to a "strategizer", which answers DONE or RETRY
//! synchronously, so the sender never has to roll back its state. bench/decisions measures the cost of a decision.
class RetryStrategy {
public:
    RetryStrategy(bool isRepeatable, int maxAttempts)
        : m_isRepeatable(isRepeatable)
        , m_attemptsLeft(maxAttempts)
    {
    }

    //! `hasRetryBudget`: the retry budget of the service allows another exchange now.
    Action decide(const Attempt& attempt, bool hasRetryBudget);

private:
    bool m_isRepeatable;
    int m_attemptsLeft;
};

} // namespace sardinerun::routing

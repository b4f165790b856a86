#pragma once

#include "routing/routingtypes.h"

namespace sardinerun::routing {

//! What to do after an exchange with a runner.
enum class Action {
    Deliver, //!< the answer is final
    Retry, //!< try another runner
    FailUnrun, //!< tell the caller that it was not run
    FailUnknown //!< tell the caller that it may have run
};

//! Decides for one request what follows each exchange, at once and without waiting.
//!
//! The split between the one that carries a request and the one that decides what follows is taken from "Traffic
//! Server Layer 7 Working Group (Denver 2018 notes)": the result goes to the strategizer, which answers DONE or RETRY
//! synchronously, so the carrier never has to roll its state back. bench/decisions gives the cost of a decision.
class Strategizer {
public:
    Strategizer(bool isRepeatable, int maxAttempts)
        : m_isRepeatable(isRepeatable)
        , m_attemptsLeft(maxAttempts)
    {
    }

    //! `hasRetryBudget`: the service may retry at this moment.
    Action decide(const Attempt& attempt, bool hasRetryBudget);

private:
    bool m_isRepeatable;
    int m_attemptsLeft;
};

} // namespace sardinerun::routing

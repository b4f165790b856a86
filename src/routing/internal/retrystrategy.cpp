#include "routing/internal/retrystrategy.h"

#include <array>

namespace sardinerun::routing {

namespace {

//! Whether a request may be retried after an exchange, and the action if it is not.
struct Rule {
    bool mayRetryNonRepeatable; //!< only if the request did not run
    bool mayRetryRepeatable;
    Action last; //!< when the request is not retried
};

//! Indexed by Attempt::Result.
constexpr std::array<Rule, 4> rules { {
    { false, false, Action::Deliver }, // Answered
    { true, true, Action::FailNotRun }, // Refused
    { true, true, Action::FailNotRun }, // NotSent
    { false, true, Action::FailUnknown }, // Broken
} };

} // namespace

Action RetryStrategy::decide(const Attempt& attempt, bool hasRetryBudget)
{
    const Rule& rule = rules[static_cast<std::size_t>(attempt.result)];
    --m_attemptsLeft;
    const bool mayRetry = m_isRepeatable ? rule.mayRetryRepeatable : rule.mayRetryNonRepeatable;
    return mayRetry && m_attemptsLeft > 0 && hasRetryBudget ? Action::Retry : rule.last;
}

} // namespace sardinerun::routing

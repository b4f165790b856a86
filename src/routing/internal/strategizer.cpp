#include "routing/internal/strategizer.h"

#include <array>

namespace sardinerun::routing {

namespace {

//! What an exchange means for a request: may it be tried again, and what is the caller told if not.
struct Rule {
    bool mayRetryOnce; //!< also when the request may not be repeated, since it did not run
    bool mayRetryRepeatable;
    Action last;
};

//! By Attempt::Result.
constexpr std::array<Rule, 4> rules { {
    { false, false, Action::Deliver }, // Answered
    { true, true, Action::FailUnrun }, // Refused
    { true, true, Action::FailUnrun }, // NotSent
    { false, true, Action::FailUnknown }, // Broken
} };

} // namespace

Action Strategizer::decide(const Attempt& attempt, bool hasRetryBudget)
{
    const Rule& rule = rules[static_cast<std::size_t>(attempt.result)];
    --m_attemptsLeft;
    const bool mayRetry = m_isRepeatable ? rule.mayRetryRepeatable : rule.mayRetryOnce;
    return mayRetry && m_attemptsLeft > 0 && hasRetryBudget ? Action::Retry : rule.last;
}

} // namespace sardinerun::routing

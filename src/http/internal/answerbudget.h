#pragma once

#include "http/h2oclient.h"
#include "http/internal/clientcall.h"

#include <unordered_set>
#include <vector>

namespace sardinerun::http {

//! Counts what a client receives, and chooses the answers to cut.
class AnswerBudget {
public:
    explicit AnswerBudget(const AnswerLimits& limits)
        : m_limits(limits)
    {
    }

    bool isEmpty() const { return m_calls.empty(); }
    //! Adds a call that has a connection or is connecting.
    void add(Call* call) { m_calls.insert(call); }
    void remove(Call* call);
    void count(Call* call, std::size_t bytes);
    //! Returns the call whose answer must be cut so that the answers in flight stay within the limit, if any.
    Call* callToCut() const;
    std::vector<Call*> callsWithLongHead() const;

private:
    AnswerLimits m_limits;
    std::unordered_set<Call*> m_calls;
    std::size_t m_heldBytes = 0;
};

} // namespace sardinerun::http

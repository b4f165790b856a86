#include "http/internal/answerbudget.h"

#include <algorithm>

namespace sardinerun::http {

void AnswerBudget::remove(Call* call)
{
    m_calls.erase(call);
    m_heldBytes -= call->heldBytes;
}

void AnswerBudget::count(Call* call, std::size_t bytes)
{
    call->heldBytes += bytes;
    m_heldBytes += bytes;
}

Call* AnswerBudget::callToCut() const
{
    if (m_heldBytes <= m_limits.totalBytes)
        return nullptr;
    const auto isSmaller = [](const Call* a, const Call* b) { return a->heldBytes < b->heldBytes; };
    Call* largest = *std::max_element(m_calls.begin(), m_calls.end(), isSmaller);
    return largest->heldBytes < m_heldBytes ? largest : nullptr;
}

std::vector<Call*> AnswerBudget::callsWithLongHead() const
{
    std::vector<Call*> result;
    for (Call* it : m_calls)
        if (it->isSent && !it->hasHead && it->client->sock->input->size > m_limits.headBytes)
            result.push_back(it);
    return result;
}

} // namespace sardinerun::http

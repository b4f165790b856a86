#pragma once

#include <algorithm>

namespace sardinerun::routing {

//! Limits retries to a percentage of the requests, so that retries cannot aggravate an overload.
class RetryBudget {
public:
    void setPercent(int percent) { m_perRequest = percent / 100.0; }
    void onRequest() { m_tokens = std::min(maxTokens, m_tokens + m_perRequest); }
    bool tryConsume()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    static constexpr double maxTokens = 10; //!< retries that may come in a burst after a time without retries
    double m_perRequest = 0.1;
    double m_tokens = maxTokens;
};

} // namespace sardinerun::routing

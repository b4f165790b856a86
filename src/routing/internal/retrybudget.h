#pragma once

#include <algorithm>

namespace sardinerun::routing {

//! Bounds retries to a part of the requests, so that they cannot make an overload worse.
class RetryBudget {
public:
    void setPercent(int percent) { m_perRequest = percent / 100.0; }
    void onRequest() { m_tokens = std::min(maxTokens, m_tokens + m_perRequest); }
    bool take()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    static constexpr double maxTokens = 10; //!< retries that may come at once after a quiet time
    double m_perRequest = 0.1;
    double m_tokens = maxTokens;
};

} // namespace sardinerun::routing

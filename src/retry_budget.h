// SPDX-License-Identifier: MIT
// Retry budget: limits retries to a fraction of the requests, so that they cannot amplify an overload.
#pragma once

#include <algorithm>

namespace Robinrail {

// Token bucket: each request adds a fraction of a token, and each retry consumes one
// (similar to the budget of Finagle's retry filter).
class RetryBudget
{
public:
    // Retries per request that are allowed in the long run, and the maximum burst of retries.
    explicit RetryBudget(double ratio = DefaultRatio, double burst = DefaultBurst)
        : m_ratio(ratio)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    void recordRequest()
    {
        m_tokens = std::min(m_burst, m_tokens + m_ratio);
    }

    // Consumes the token of one retry; false if the budget is exhausted.
    bool tryConsume()
    {
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    static constexpr double DefaultRatio = 0.2;
    static constexpr double DefaultBurst = 20.0;

    double m_ratio;
    double m_burst;
    double m_tokens;
};

} // namespace Robinrail

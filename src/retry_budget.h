// SPDX-License-Identifier: MIT
// Retry budget: keeps retries to a share of the requests, so that they cannot multiply an overload.
#pragma once

#include <algorithm>

namespace Robinrail {

// A token bucket that each request fills a little and each retry empties by one
// (the budget of Finagle's retry filter is kin).
class RetryBudget
{
public:
    // Retries per request that are allowed in the long run, and how many may come at once.
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

    // Takes one retry; false if the budget is spent.
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

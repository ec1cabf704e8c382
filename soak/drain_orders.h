// SPDX-License-Identifier: MIT
// Drain orders: a stand-in operator that empties a data centre, holds it so for some seconds, and takes it back, again and
// again, each order sent until it is taken.
#pragma once

#include "http.h"
#include "soak_types.h"

#include <optional>

namespace Robinrail::Soak {

class DrainOrders
{
public:
    DrainOrders(boost::asio::io_context &io, const Plan &plan, Promises &promises, std::uint64_t seed);

    void tick(TimePoint now);

    // Gives no more orders than it takes to have nothing drained.
    void finish();

    // Since when the data centre must get no new flow: a replica said so, and it was not taken back since.
    std::optional<TimePoint> drainedSince() const;

    // Whether nothing is drained and no order is under way.
    bool settled() const;

    std::size_t taken() const;

private:
    enum class Step : std::uint8_t {
        Resting,
        Draining, // The order is under way.
        Drained,
        TakingBack,
    };

    void enter(TimePoint now, Step step);
    void call(TimePoint now);
    void answered(Step step, const std::optional<HttpResponse> &reply);

    boost::asio::io_context &m_io;
    Plan m_plan;
    Promises &m_promises;
    Random m_random;
    Step m_step = Step::Resting;
    bool m_finishing = false;
    bool m_calling = false;
    TimePoint m_due; // Of the next call, or of the next order.
    Duration m_pause{};
    std::optional<TimePoint> m_drainedSince;
    std::size_t m_taken = 0;
};

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Drain orders: a stand-in operator that empties a data centre, holds it so for some seconds, and takes it back, again and
// again, each order sent until it is taken.
#pragma once

#include "http.h"
#include "soak_types.h"

#include <optional>

namespace Robinrail::Soak {

class DrainOperator
{
public:
    DrainOperator(boost::asio::io_context &io, const Topology &topology, Violations &violations, std::uint64_t seed);

    void tick(TimePoint now);

    // Gives no more orders than it takes to have nothing drained.
    void finish();

    // Since when the data centre must get no new flow: a replica said so, and it was not taken back since.
    std::optional<TimePoint> drainedSince() const;

    // Whether nothing is drained and no order is under way.
    bool idle() const;

    std::size_t acceptedCommands() const;

private:
    enum class Step : std::uint8_t {
        Idle,
        Draining, // The order is under way.
        Drained,
        Restoring,
    };

    void enterStep(TimePoint now, Step step);
    void sendCommand(TimePoint now);
    void handleReply(Step step, const std::optional<HttpReply> &reply);

    boost::asio::io_context &m_io;
    Topology m_topology;
    Violations &m_violations;
    Random m_random;
    Step m_step = Step::Idle;
    bool m_finishing = false;
    bool m_callPending = false;
    TimePoint m_nextActionAt; // Of the next call, or of the next order.
    Duration m_retryDelay{};
    std::optional<TimePoint> m_drainedSince;
    std::size_t m_acceptedCommands = 0;
};

} // namespace Robinrail::Soak

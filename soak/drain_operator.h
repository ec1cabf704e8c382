// SPDX-License-Identifier: MIT
// Drain operator: a simulated operator that repeatedly drains a data centre, keeps it drained for some seconds, and restores it.
// Each command is retried until it is accepted.
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

    // Begins no further drain and ends the current one.
    void finish();

    // Since when the data centre must get no new flow: when a replica accepted the drain. Empty once restoring has begun.
    std::optional<TimePoint> drainedSince() const;

    // Whether nothing is drained and no command is pending.
    bool idle() const;

    std::size_t acceptedCommands() const;

private:
    enum class Step : std::uint8_t {
        Idle,
        Draining, // The command is not accepted yet.
        Drained,
        Restoring,
    };

    void enterStep(TimePoint now, Step step);
    void sendCommand(TimePoint now);
    void handleReply(Step step, const std::optional<HttpResponse> &reply);

    boost::asio::io_context &m_io;
    Topology m_topology;
    Violations &m_violations;
    Random m_random;
    Step m_step = Step::Idle;
    bool m_finishing = false;
    bool m_callPending = false;
    TimePoint m_nextActionAt; // When to retry the command, or to send the next one.
    Duration m_retryDelay{};
    std::optional<TimePoint> m_drainedSince;
    std::size_t m_acceptedCommands = 0;
};

} // namespace Robinrail::Soak

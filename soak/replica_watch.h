// SPDX-License-Identifier: MIT
// Replica watch: asks each replica which version it has in force, and holds it to what was acknowledged before.
#pragma once

#include "soak_types.h"

#include <deque>
#include <optional>
#include <string_view>

namespace Robinrail::Soak {

// The routing version that a replica's metrics show; empty if they show none.
std::optional<std::uint64_t> routingVersionOf(std::string_view metrics);

// The highest version that each replica must hold by now: what was acknowledged ApplyTime ago.
class AcknowledgedVersions
{
public:
    void note(TimePoint now, std::uint64_t acknowledged);
    std::uint64_t due(TimePoint now);

private:
    struct Acknowledged {
        TimePoint at;
        std::uint64_t version = 0;
    };
    std::deque<Acknowledged> m_recent; // Oldest first.
    std::uint64_t m_due = 0;
};

class ReplicaWatch
{
public:
    ReplicaWatch(boost::asio::io_context &io, const Plan &plan, const Trouble &trouble, Promises &promises);

    // `acknowledged`: the highest version that an operator was told of.
    void tick(TimePoint now, std::uint64_t acknowledged);

    // Answers that were judged.
    std::size_t judged() const;

private:
    void ask(TimePoint now, std::size_t replica);
    void judge(TimePoint asked, std::size_t replica, std::uint64_t due, std::uint64_t held);

    boost::asio::io_context &m_io;
    Plan m_plan;
    const Trouble &m_trouble;
    Promises &m_promises;
    AcknowledgedVersions m_versions;
    TimePoint m_askDue;
    std::size_t m_judged = 0;
};

} // namespace Robinrail::Soak

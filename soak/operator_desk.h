// SPDX-License-Identifier: MIT
// Operator desk: stand-in operators that send routing documents, good and bad ones, resend them, race each
// other, and read back what was acknowledged.
#pragma once

#include "http.h"
#include "routing_table.h"
#include "soak_types.h"

#include <memory>
#include <optional>
#include <set>

namespace Robinrail::Soak {

class OperatorDesk
{
public:
    OperatorDesk(boost::asio::io_context &io, const Plan &plan, Promises &promises, std::uint64_t seed);

    void tick(TimePoint now);

    // Sends one more document, with or without the changing route. Documents drawn by lot keep that as it is.
    void change(TimePoint now, bool withChangingRoute);

    // Draws no more documents by lot; those under way go on.
    void finish();

    // Whether nothing is under way and a read after that gave the newest acknowledged document.
    bool settled() const;

    std::uint64_t acknowledged() const;

    // Since when the changing route must be gone: no document that may be in force has it.
    std::optional<TimePoint> routeGoneSince() const;

    std::size_t reads() const;

private:
    struct Order {
        std::uint64_t version = 0;
        std::string text;
        bool valid = true;
        std::size_t replica = 0;
        bool calling = false;
        TimePoint due;
        Duration pause{};
    };

    RoutingTable tableOf(std::uint64_t version) const;
    void drawChange(TimePoint now);
    void drawBad(TimePoint now);
    void add(TimePoint now, std::uint64_t version, std::string text, bool valid);
    void answered(const std::shared_ptr<Order> &order, const std::optional<HttpResponse> &reply);
    void read(TimePoint now);
    void followRoute(TimePoint now);
    void readBack(std::uint64_t floor, bool last, const HttpResponse &reply);

    boost::asio::io_context &m_io;
    Plan m_plan;
    Promises &m_promises;
    Random m_random;
    std::uint64_t m_version = 0; // Highest one sent.
    std::uint64_t m_acknowledged = 0;
    std::uint64_t m_seen = 0; // Highest one that a read gave.
    std::map<std::uint64_t, std::string> m_sent; // Valid texts by version.
    std::set<std::uint64_t> m_withRoute; // Versions that have the changing route.
    std::optional<TimePoint> m_routeGone;
    std::vector<std::shared_ptr<Order>> m_open;
    bool m_changingRoute = false;
    bool m_finishing = false;
    bool m_settled = false;
    std::size_t m_reads = 0;
    TimePoint m_changeDue;
    TimePoint m_readDue;
};

} // namespace Robinrail::Soak

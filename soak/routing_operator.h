// SPDX-License-Identifier: MIT
// Routing operator: simulated operators that submit valid and invalid routing documents, resubmit old ones, submit
// concurrently, and read back what was acknowledged.
#pragma once

#include "http.h"
#include "routing_table.h"
#include "soak_types.h"

#include <memory>
#include <optional>
#include <set>

namespace Robinrail::Soak {

class RoutingOperator
{
public:
    RoutingOperator(boost::asio::io_context &io, const Topology &topology, Violations &violations, std::uint64_t seed);

    void tick(TimePoint now);

    // Submits a new document with or without the changing route. Random changes leave that route as it is.
    void submitChange(TimePoint now, bool withChangingRoute);

    // Submits no further random changes; pending submissions continue.
    void finish();

    // Whether, after finish(), a read that began with no submission pending returned the newest acknowledged document.
    bool finalReadSucceeded() const;

    std::uint64_t acknowledged() const;

    // Since when no document that may be in force has the changing route; empty as long as one may have it.
    std::optional<TimePoint> routeRemovedSince() const;

    std::size_t reads() const;

private:
    struct Submission {
        std::uint64_t version = 0;
        std::string text;
        bool valid = true;
        std::size_t replica = 0;
        bool callPending = false;
        TimePoint nextCallAt;
        Duration retryDelay{};
    };

    RoutingTable makeTable(std::uint64_t version) const;
    void submitRandomChange(TimePoint now);
    void submitInvalidDocument(TimePoint now);
    void enqueue(TimePoint now, std::uint64_t version, std::string text, bool valid);
    void handleReply(const std::shared_ptr<Submission> &submission, const std::optional<HttpResponse> &reply);
    void requestRead(TimePoint now);
    void updateRouteRemoval(TimePoint now);
    void checkRead(std::uint64_t minVersion, bool isFinalRead, const HttpResponse &reply);

    boost::asio::io_context &m_io;
    Topology m_topology;
    Violations &m_violations;
    Random m_random;
    std::uint64_t m_lastVersion = 0; // Highest version submitted.
    std::uint64_t m_acknowledged = 0;
    std::uint64_t m_highestRead = 0; // Highest version that a read returned.
    std::map<std::uint64_t, std::string> m_sentDocuments; // Valid documents by version.
    std::set<std::uint64_t> m_versionsWithChangingRoute;
    std::optional<TimePoint> m_routeRemovedSince;
    std::vector<std::shared_ptr<Submission>> m_pending;
    bool m_changingRoute = false;
    bool m_finishing = false;
    bool m_finalReadSucceeded = false;
    std::size_t m_reads = 0;
    TimePoint m_nextChangeAt;
    TimePoint m_nextReadAt;
};

} // namespace Robinrail::Soak

// SPDX-License-Identifier: MIT
// Control daemon: runs a control core with sockets, storage and timers.
#pragma once

#include "control_core.h"
#include "http.h"
#include "reachability_tracker.h"
#include "replica_driver.h"
#include "rollout.h"
#include "secure_links.h"
#include "settings.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace Robinrail {

// Interval between calls of the core's tick().
inline constexpr std::chrono::milliseconds ControlTickInterval{15};

// Interval between the join requests of a replica that belongs to no cluster.
inline constexpr Duration JoinInterval = std::chrono::milliseconds(400);

class ControlDaemon
{
public:
    // `storage` must be open. `testFaults` enables the API call that drops traffic on links, for tests.
    ControlDaemon(boost::asio::io_context &io, ControlDaemonSettings file, RaftStorage storage, bool testFaults);

    // Binds the listening addresses and starts the timers; false if an address can't be bound.
    bool start();

private:
    struct PendingRequest {
        HttpResponder respond;
        std::function<HttpResponse()> read; // Makes the response of a read once a quorum has confirmed it; empty for a change.
    };

    void tick();
    void scheduleFlush();
    void flush();
    void sendRaft(const RaftSend &send);
    void requestJoin(TimePoint now);
    void completeRequest(const ControlReply &reply);
    void offerVersions();
    void offerTo(LinkHandle link, BalancerId balancer);
    void sendHeartbeats(TimePoint now);

    void onMessage(LinkHandle link, const Hello &peer, const LinkMessage &message);
    void onRaft(const RaftEnvelope &envelope);

    void handleHttp(const HttpRequest &request, const HttpResponder &respond);
    void handleRead(const HttpRequest &request, const HttpResponder &respond);
    void submitChange(const HttpRequest &request, const HttpResponder &respond);
    HttpResponse readState(const HttpRequest &request) const;
    HttpResponse status() const;
    HttpResponse metrics() const;
    HttpResponse setTestFaults(const HttpRequest &request);
    HttpResponse notLeaderResponse() const;

    boost::asio::io_context &m_io;
    ControlDaemonSettings m_file;
    bool m_testFaults;
    ReplicaDriver<ControlState> m_driver;
    SecureLinks m_links;
    HttpServer m_http;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    RolloutTracker m_tracker;
    std::map<LinkHandle, std::uint64_t> m_offered; // Newest version offered on each link.
    std::map<std::uint64_t, PendingRequest> m_pendingRequests; // By ticket.
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_offeredCommitIndex = 0; // Commit index at the last offer to all subscribers.
    ReachabilityTracker m_reach;
    bool m_flushScheduled = false;
    TimePoint m_nextJoin;
    TimePoint m_nextHeartbeat;
};

} // namespace Robinrail

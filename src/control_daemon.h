// SPDX-License-Identifier: MIT
// Control daemon: sockets, files and timers around a control core.
#pragma once

#include "control_core.h"
#include "http.h"
#include "reach_watch.h"
#include "replica_driver.h"
#include "rollout.h"
#include "secure_links.h"
#include "settings.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace Robinrail {

// The core's clock runs in steps of this.
inline constexpr std::chrono::milliseconds ControlTick{15};

// A replica without a cluster asks to be taken in this often.
inline constexpr Duration JoinInterval = std::chrono::milliseconds(400);

class ControlDaemon
{
public:
    // `storage` must be open; with `testFaults` the API can cut links.
    ControlDaemon(boost::asio::io_context &io, ControlDaemonSettings file, RaftStorage storage, bool testFaults);

    // Binds and begins; false if an address can't be bound.
    bool start();

private:
    struct OpenRequest {
        HttpRespond respond;
        std::function<HttpReply()> answer; // Of a read, once it is confirmed.
    };

    void tick();
    void scheduleFlush();
    void flush();
    void sendRaft(const RaftSend &send);
    void join(TimePoint now);
    void reply(const ControlReply &reply);
    void offerVersions();
    void offerTo(LinkHandle link, BalancerId balancer);
    void beat(TimePoint now);

    void onMessage(LinkHandle link, const Hello &peer, const LinkMessage &message);
    void onRaft(const RaftEnvelope &envelope);

    void handleHttp(const HttpRequest &request, const HttpRespond &respond);
    void handleRead(const HttpRequest &request, const HttpRespond &respond);
    void submitChange(const HttpRequest &request, const HttpRespond &respond);
    HttpReply readState(const HttpRequest &request) const;
    HttpReply status() const;
    HttpReply metrics() const;
    HttpReply setTestFaults(const HttpRequest &request);
    HttpReply notLeader() const;

    boost::asio::io_context &m_io;
    ControlDaemonSettings m_file;
    bool m_testFaults;
    ReplicaDriver<ControlState> m_driver;
    SecureLinks m_links;
    HttpServer m_http;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    RolloutTracker m_tracker;
    std::map<LinkHandle, std::uint64_t> m_offered; // Newest version offered on a link.
    std::map<std::uint64_t, OpenRequest> m_open;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_seenVersion = 0;
    ReachWatch m_reach;
    bool m_flushScheduled = false;
    TimePoint m_nextJoin;
    TimePoint m_nextBeat;
};

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Control daemon: event loop and links of a control replica, and offers to balancers.
#include "control_daemon.h"

#include "net.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <csignal>
#include <random>

namespace Robinrail {

ControlDaemon::ControlDaemon(boost::asio::io_context &io, ControlDaemonSettings file, RaftStorage storage, bool testFaults)
    : m_io(io)
    , m_file(std::move(file))
    , m_testFaults(testFaults)
    , m_driver(std::move(storage), monotonicNow(), std::random_device()())
    , m_links(io,
              m_file.clusterKey,
              PeerRole::Control,
              static_cast<std::uint16_t>(value(m_file.replica)),
              {[](LinkHandle, const Hello &) {},
               [this](LinkHandle link, const Hello &peer, const LinkMessage &message) {
                   onMessage(link, peer, message);
               },
               [this](LinkHandle link, const Hello &peer) {
                   m_offered.erase(link);
                   if (peer.role == PeerRole::Balancer) {
                       m_tracker.disconnect(BalancerId{peer.id});
                   }
               }})
    , m_http(io,
             [this](const HttpRequest &request, const HttpResponder &respond) {
                 handleHttp(request, respond);
             })
    , m_timer(io)
    , m_signals(io, SIGINT, SIGTERM)
{
}

bool ControlDaemon::start()
{
    if (!m_links.listen(m_file.listen) || !m_http.listen(m_file.adminListen)) {
        return false;
    }
    for (const ReplicaAddress &replica : m_file.replicas) {
        if (replica.id != m_file.replica) {
            m_links.maintain(replica.endpoint);
        }
    }
    m_signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            LogLine(LogLevel::Info, "stopping");
            m_io.stop();
        }
    });
    LogLine(LogLevel::Info, "started").with("replica", value(m_file.replica)).with("links", toText(m_file.listen)).with("admin", toText(m_file.adminListen));
    tick();
    return true;
}

// ---- The driver's loop: tick, persist, send, apply ----

void ControlDaemon::tick()
{
    const TimePoint now = monotonicNow();
    m_links.tick(now);
    m_driver.core().tick(now);
    requestJoin(now);
    sendHeartbeats(now);
    flush();
    m_timer.expires_after(ControlTickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

// All messages handled in one iteration of the event loop share one sync of the disk.
void ControlDaemon::scheduleFlush()
{
    if (m_flushScheduled) {
        return;
    }
    m_flushScheduled = true;
    boost::asio::post(m_io, [this] {
        m_flushScheduled = false;
        flush();
    });
}

void ControlDaemon::flush()
{
    const bool persisted = m_driver.processOutput([this](const RaftSend &send) {
        sendRaft(send);
    });
    if (!persisted) {
        // A replica whose disk has failed must not acknowledge anything more.
        m_io.stop();
        return;
    }
    for (const ControlReply &reply : m_driver.core().takeReplies()) {
        completeRequest(reply);
    }
    offerVersions();
}

void ControlDaemon::sendRaft(const RaftSend &send)
{
    const std::vector<LinkHandle> links = m_links.linksTo(PeerRole::Control, static_cast<std::uint16_t>(value(send.to.id)));
    const bool reached = !links.empty();
    if (m_reach.recordSend(send.to.id, reached)) {
        LogLine(reached ? LogLevel::Info : LogLevel::Warning, reached ? "replica-reached" : "replica-unreached").with("replica", value(send.to.id));
    }
    if (!reached) {
        return;
    }
    const RaftEnvelope envelope = m_driver.makeEnvelope(send);
    for (const LinkHandle link : links) {
        m_links.send(link, envelope);
    }
}

void ControlDaemon::requestJoin(TimePoint now)
{
    if (m_driver.core().raft().role() != RaftRole::Joining || now < m_nextJoin) {
        return;
    }
    m_nextJoin = now + JoinInterval;
    for (const ReplicaAddress &replica : m_file.replicas) {
        if (replica.id != m_file.replica) {
            sendRaft({{replica.id, 0}, JoinRequest{m_driver.core().raft().self()}});
        }
    }
}

void ControlDaemon::onMessage(LinkHandle link, const Hello &peer, const LinkMessage &message)
{
    const TimePoint now = monotonicNow();
    if (const auto *envelope = std::get_if<RaftEnvelope>(&message); envelope != nullptr && peer.role == PeerRole::Control) {
        if (value(envelope->from.id) == peer.id) {
            onRaft(*envelope);
        }
        return;
    }
    if (peer.role != PeerRole::Balancer) {
        return;
    }
    if (const auto *subscribe = std::get_if<Subscribe>(&message); subscribe != nullptr && value(subscribe->balancer.id) == peer.id) {
        m_tracker.subscribe(now, *subscribe);
        m_offered.erase(link);
        offerTo(link, subscribe->balancer.id);
    } else if (const auto *report = std::get_if<VersionReport>(&message); report != nullptr && value(report->balancer.id) == peer.id) {
        m_tracker.report(now, *report);
    }
}

void ControlDaemon::onRaft(const RaftEnvelope &envelope)
{
    const std::optional<RaftMessage> message = decodeMessage<RaftMessage>(envelope.message);
    if (!message) {
        LogLine(LogLevel::Error, "raft-message-unreadable").with("replica", value(envelope.from.id));
        return;
    }
    if (!std::holds_alternative<JoinRequest>(*message)) {
        const Admission admission = m_driver.admit(envelope);
        if (admission == Admission::StorageFailed) {
            m_io.stop();
        }
        if (admission != Admission::Admitted) {
            return;
        }
    }
    m_driver.core().handle(monotonicNow(), envelope.from, *message);
    scheduleFlush();
}

// ---- Balancers ----

void ControlDaemon::offerVersions()
{
    const std::uint64_t committed = value(m_driver.core().raft().commitIndex());
    if (committed == m_offeredCommitIndex) {
        return;
    }
    m_offeredCommitIndex = committed;
    for (const RolloutTracker::Subscriber &subscriber : m_tracker.subscribers()) {
        for (const LinkHandle link : m_links.linksTo(PeerRole::Balancer, value(subscriber.balancer.id))) {
            offerTo(link, subscriber.balancer.id);
        }
    }
}

void ControlDaemon::offerTo(LinkHandle link, BalancerId balancer)
{
    const BundleVersion *version = m_driver.core().state().versionFor(balancer);
    if (version == nullptr || m_offered[link] >= version->version) {
        return;
    }
    std::uint64_t known = m_offered[link];
    for (const RolloutTracker::Subscriber &subscriber : m_tracker.subscribers()) {
        known = subscriber.balancer.id == balancer ? std::max(known, subscriber.version) : known;
    }
    m_offered[link] = version->version;
    m_links.send(link, makeOffer(m_driver.core().state().find(known), *version, m_driver.core().state().operators()));
}

void ControlDaemon::sendHeartbeats(TimePoint now)
{
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + ControlHeartbeatInterval;
    for (const RolloutTracker::Subscriber &subscriber : m_tracker.subscribers()) {
        const BundleVersion *version = m_driver.core().state().versionFor(subscriber.balancer.id);
        const ControlHeartbeat message{version != nullptr ? version->version : 0, m_driver.core().raft().inContact(now)};
        for (const LinkHandle link : m_links.linksTo(PeerRole::Balancer, value(subscriber.balancer.id))) {
            m_links.send(link, message);
        }
    }
}

} // namespace Robinrail

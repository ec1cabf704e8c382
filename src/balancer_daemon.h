// SPDX-License-Identifier: MIT
// Balancer daemon: connects a BalancerCore to sockets, files and timers.
#pragma once

#include "balancer_core.h"
#include "datagram_authenticator.h"
#include "http.h"
#include "metrics.h"
#include "rollout.h"
#include "secure_links.h"
#include "settings.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/result.hpp>

#include <deque>
#include <memory>
#include <set>

namespace Robinrail {

// Most recent events that are retained for clients of the events API.
inline constexpr std::size_t MaxRetainedEvents = 20'000;

// Datagrams read from one socket per wake-up, so that other handlers are not starved.
inline constexpr int MaxReadsPerWakeup = 256;

// State that a balancer stores in its data folder.
struct PersistedBalancerState {
    Incarnation incarnation{};
    std::uint64_t bundleVersion = 0;
    std::string bundle;

    auto fields()
    {
        return std::tie(incarnation, bundleVersion, bundle);
    }
};

class BalancerDaemon
{
public:
    // `state` is the stored state of the previous run with the incarnation of this run.
    BalancerDaemon(
        boost::asio::io_context &io, std::filesystem::path settingsPath, BalancerDaemonSettings settings, PersistedBalancerState state, bool testFaults);

    // Binds all addresses and starts the timers; false if an address can't be bound.
    bool start();

private:
    // A bound UDP socket and the kind of senders that it serves.
    struct UdpListener {
        enum class Kind : std::uint8_t {
            Callers,
            Targets,
            Peers,
        };
        boost::asio::ip::udp::socket socket;
        Kind kind = Kind::Callers;
        std::string service; // Set if kind is Callers.
    };

    bool bind(Endpoint endpoint, UdpListener::Kind kind, std::string service);
    void receive(UdpListener &listener);
    void handleDatagram(UdpListener &listener, Endpoint from, BytesView bytes);
    void handlePeerDatagram(TimePoint now, Endpoint from, BytesView bytes);
    void sendOutbox();
    void sendDatagram(boost::asio::ip::udp::socket &socket, Endpoint to, BytesView bytes);
    void tick();
    void stop();
    void reloadKeys();
    void waitForSignal();

    void onLinkEstablished(LinkHandle link, const Hello &peer);
    void onLinkMessage(LinkHandle link, const LinkMessage &message);
    void handleBundleOffer(LinkHandle link, const BundleOffer &offer);
    void applyBundle();
    bool persistBundle();
    void subscribe(LinkHandle link);

    void recordEvent(const Event &event);
    void handleHttp(const HttpRequest &request, const HttpResponder &respond);
    HttpResponse handleGet(const HttpRequest &request);
    HttpResponse drain(const HttpRequest &request);
    HttpResponse explainFlow(std::string_view id);
    HttpResponse events(const HttpRequest &request) const;
    HttpResponse status();
    HttpResponse metrics();
    HttpResponse setTestFaults(const HttpRequest &request);

    boost::asio::io_context &m_io;
    std::filesystem::path m_settingsPath;
    BalancerDaemonSettings m_settings;
    PersistedBalancerState m_persisted;
    bool m_testFaults;
    BalancerCore<PartitionedSlots> m_core;
    DatagramAuthenticator m_guard;
    RolloutAgent m_rollout;
    SecureLinks m_links;
    HttpServer m_http;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    std::vector<std::unique_ptr<UdpListener>> m_listeners;
    UdpListener *m_targetListener = nullptr;
    UdpListener *m_peerListener = nullptr;
    UdpListener *m_callerListener = nullptr;
    std::map<std::string, ServiceId> m_serviceIds;
    std::map<Endpoint, BalancerId> m_peerEndpoints;
    std::set<BalancerId> m_blockedPeers; // Traffic with these is dropped; set by tests through the API.
    std::deque<Event> m_events;
    std::uint64_t m_lastEventNumber = 0;
    LatencyHistogram m_attemptLatency;
    std::uint64_t m_controlBytes = 0;
    std::uint64_t m_relayBytes = 0;
};

// Loads the state of the previous run and raises its incarnation, which is synced to disk before it is used.
boost::leaf::result<PersistedBalancerState> startNewIncarnation(const std::filesystem::path &folder);

} // namespace Robinrail

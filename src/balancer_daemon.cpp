// SPDX-License-Identifier: MIT
// Balancer daemon: sockets, signals and bundles. The administration API is in balancer_api.cpp.
#include "balancer_daemon.h"

#include "api_json.h"
#include "durable_file.h"
#include "net.h"

#include <boost/asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>

namespace Robinrail {

namespace leaf = boost::leaf;
using Json = nlohmann::json;
using Udp = boost::asio::ip::udp;

namespace {

constexpr const char *StateFile = "balancer";
constexpr int SocketBufferBytes = 4 << 20;

BalancerSettings makeCoreSettings(const BalancerDaemonSettings &daemonSettings, Incarnation incarnation)
{
    BalancerSettings settings;
    settings.self = {daemonSettings.balancer, incarnation};
    settings.dataCentre = daemonSettings.dataCentreId;
    settings.peers = daemonSettings.peers;
    settings.connectionIdKeys = daemonSettings.connectionIdKeys;
    return settings;
}

bool isControlMessage(const Message &message)
{
    return std::holds_alternative<Heartbeat>(message) || std::holds_alternative<HandoverFlows>(message) || std::holds_alternative<HandoverReceived>(message);
}

} // namespace

leaf::result<PersistedBalancerState> startNewIncarnation(const std::filesystem::path &folder)
{
    constexpr std::size_t ChecksumSize = 8;
    const auto wallClock = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    PersistedBalancerState state;
    if (!folder.empty()) {
        std::error_code ignored;
        std::filesystem::create_directories(folder, ignored);
        BOOST_LEAF_AUTO(found, readFile(folder / StateFile));
        if (found && found->size() > ChecksumSize) {
            const auto decoded = decodeMessage<std::variant<PersistedBalancerState>>(*found);
            state = decoded ? std::get<PersistedBalancerState>(*decoded) : PersistedBalancerState{};
        }
    }
    state.incarnation = Incarnation{std::max<std::uint64_t>(value(state.incarnation) + 1, static_cast<std::uint64_t>(wallClock.count()))};
    if (!folder.empty()) {
        BOOST_LEAF_CHECK(replaceFile(folder / StateFile, encodeMessage(std::variant<PersistedBalancerState>(state))));
    }
    return state;
}

BalancerDaemon::BalancerDaemon(
    boost::asio::io_context &io, std::filesystem::path settingsPath, BalancerDaemonSettings settings, PersistedBalancerState state, bool testFaults)
    : m_io(io)
    , m_settingsPath(std::move(settingsPath))
    , m_settings(std::move(settings))
    , m_persisted(std::move(state))
    , m_testFaults(testFaults)
    , m_core(makeCoreSettings(m_settings, m_persisted.incarnation))
    , m_guard(m_settings.clusterKey, {m_settings.balancer, m_persisted.incarnation})
    , m_links(io,
              m_settings.clusterKey,
              PeerRole::Balancer,
              value(m_settings.balancer),
              {[this](LinkHandle link, const Hello &peer) {
                   onLinkEstablished(link, peer);
               },
               [this](LinkHandle link, const Hello &, const LinkMessage &message) {
                   onLinkMessage(link, message);
               },
               [](LinkHandle, const Hello &) {}})
    , m_http(io,
             [this](const HttpRequest &request, const HttpResponder &respond) {
                 handleHttp(request, respond);
             })
    , m_timer(io)
    , m_signals(io, SIGINT, SIGTERM, SIGHUP)
{
    for (const PeerAddress &peer : m_settings.peers) {
        m_peerEndpoints[peer.endpoint] = peer.id;
    }
    m_core.context().observer = [this](const Event &event) {
        recordEvent(event);
    };
}

bool BalancerDaemon::start()
{
    for (const ServiceListen &listen : m_settings.services) {
        if (!bind(listen.endpoint, UdpListener::Kind::Callers, listen.service)) {
            return false;
        }
    }
    if (!bind(m_settings.targetListen, UdpListener::Kind::Targets, {}) || !bind(m_settings.peerListen, UdpListener::Kind::Peers, {})) {
        return false;
    }
    if (!m_http.listen(m_settings.adminListen)) {
        LogLine(LogLevel::Error, "bind-failed").with("address", toText(m_settings.adminListen));
        return false;
    }
    if (m_persisted.bundleVersion > 0 && m_rollout.restore(m_persisted.bundleVersion, m_persisted.bundle)) {
        applyBundle();
    }
    for (const Endpoint &control : m_settings.control) {
        m_links.maintain(control);
    }
    waitForSignal();
    LogLine(LogLevel::Info, "started").with("balancer", value(m_settings.balancer)).with("incarnation", value(m_persisted.incarnation));
    tick();
    return true;
}

void BalancerDaemon::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int number) {
        if (error) {
            return;
        }
        if (number == SIGHUP) {
            reloadKeys();
        } else {
            stop();
        }
        waitForSignal();
    });
}

void BalancerDaemon::stop()
{
    LogLine(LogLevel::Info, "stopping").with("flows", m_core.context().flows.size());
    m_core.stop(monotonicNow(), m_settings.shutdownLinger);
    sendOutbox();
}

// Reloads the connection id keys from the settings file. Other changes of the file need a restart.
void BalancerDaemon::reloadKeys()
{
    leaf::try_handle_all(
        [this]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(settings, loadBalancerSettings(m_settingsPath));
            m_core.applyKeys(settings.connectionIdKeys);
            LogLine(LogLevel::Info, "keys-reloaded").with("newest", static_cast<int>(settings.connectionIdKeys.front().version));
            return {};
        },
        [](const SettingsFault &fault) {
            LogLine(LogLevel::Error, "keys-not-reloaded").with("fault", fault.text());
        },
        [] {
            LogLine(LogLevel::Error, "keys-not-reloaded");
        });
}

// ---- Datagrams ----

bool BalancerDaemon::bind(Endpoint endpoint, UdpListener::Kind kind, std::string service)
{
    auto listener = std::make_unique<UdpListener>(UdpListener{Udp::socket(m_io), kind, std::move(service)});
    boost::system::error_code error;
    listener->socket.open(Udp::v4(), error);
    listener->socket.set_option(boost::asio::socket_base::receive_buffer_size(SocketBufferBytes), error);
    listener->socket.bind(toUdpEndpoint(endpoint), error);
    if (error) {
        LogLine(LogLevel::Error, "bind-failed").with("address", toText(endpoint)).with("detail", error.message());
        return false;
    }
    listener->socket.non_blocking(true);
    m_targetListener = kind == UdpListener::Kind::Targets ? listener.get() : m_targetListener;
    m_peerListener = kind == UdpListener::Kind::Peers ? listener.get() : m_peerListener;
    m_callerListener = kind == UdpListener::Kind::Callers ? listener.get() : m_callerListener;
    m_listeners.push_back(std::move(listener));
    receive(*m_listeners.back());
    return true;
}

void BalancerDaemon::receive(UdpListener &listener)
{
    listener.socket.async_wait(Udp::socket::wait_read, [this, &listener](const boost::system::error_code &waitError) {
        if (waitError) {
            return;
        }
        constexpr std::size_t ReceiveSize = 65536;
        std::vector<std::uint8_t> buffer(ReceiveSize);
        for (int i = 0; i < MaxReadsPerWakeup; ++i) {
            Udp::endpoint from;
            boost::system::error_code error;
            const std::size_t size = listener.socket.receive_from(boost::asio::buffer(buffer), from, 0, error);
            if (error == boost::asio::error::would_block) {
                break;
            }
            if (!error) {
                handleDatagram(listener, fromUdpEndpoint(from), {buffer.data(), size});
            }
        }
        sendOutbox();
        receive(listener);
    });
}

void BalancerDaemon::handleDatagram(UdpListener &listener, Endpoint from, BytesView bytes)
{
    const TimePoint now = monotonicNow();
    BalancerContext &context = m_core.context();
    if (listener.kind == UdpListener::Kind::Peers) {
        return handlePeerDatagram(now, from, bytes);
    }
    if (bytes.size() > MaxDatagramSize) {
        return context.reject(now, RejectReason::Oversized);
    }
    const std::optional<Message> message = decodeMessage<Message>(bytes);
    if (!message) {
        return context.reject(now, RejectReason::Malformed);
    }
    if (listener.kind == UdpListener::Kind::Targets) {
        return m_core.handleTarget(now, from, *message);
    }
    const auto service = m_serviceIds.find(listener.service);
    if (service == m_serviceIds.end()) {
        return context.reject(now, RejectReason::UnknownService);
    }
    m_core.handleCaller(now, service->second, from, *message);
}

void BalancerDaemon::handlePeerDatagram(TimePoint now, Endpoint from, BytesView bytes)
{
    const std::optional<DatagramAuthenticator::AuthenticatedDatagram> opened = m_guard.open(bytes);
    if (!opened) {
        return m_core.context().reject(now, RejectReason::UnknownSender);
    }
    if (m_blockedPeers.contains(opened->sender.id)) {
        return;
    }
    const std::optional<Message> message = decodeMessage<Message>(opened->payload);
    if (!message) {
        return m_core.context().reject(now, RejectReason::Malformed);
    }
    m_core.handlePeer(now, from, *message);
}

void BalancerDaemon::sendOutbox()
{
    for (const Outgoing &outgoing : m_core.takeOutbox()) {
        const Bytes bytes = encodeMessage(outgoing.message);
        const auto peer = m_peerEndpoints.find(outgoing.to);
        if (peer != m_peerEndpoints.end()) {
            if (m_blockedPeers.contains(peer->second)) {
                continue;
            }
            const Bytes sealed = m_guard.seal(bytes);
            (isControlMessage(outgoing.message) ? m_controlBytes : m_relayBytes) += sealed.size();
            sendDatagram(m_peerListener->socket, outgoing.to, sealed);
            continue;
        }
        const bool toTarget = std::holds_alternative<RunRequest>(outgoing.message) || std::holds_alternative<CancelRun>(outgoing.message)
            || std::holds_alternative<AttachFeed>(outgoing.message) || std::holds_alternative<DetachFeed>(outgoing.message);
        sendDatagram(toTarget ? m_targetListener->socket : m_callerListener->socket, outgoing.to, bytes);
    }
}

void BalancerDaemon::sendDatagram(Udp::socket &socket, Endpoint to, BytesView bytes)
{
    boost::system::error_code ignored; // A send error counts as packet loss, which UDP allows at any time.
    socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), toUdpEndpoint(to), 0, ignored);
}

void BalancerDaemon::tick()
{
    const TimePoint now = monotonicNow();
    m_links.tick(now);
    m_core.tick(now);
    sendOutbox();
    if (m_core.finished(now)) {
        LogLine(LogLevel::Info, "stopped").with("handed-over", m_core.context().counters.flowsHandedOver);
        m_io.stop();
        return;
    }
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

// ---- Bundles ----

void BalancerDaemon::onLinkEstablished(LinkHandle link, const Hello &peer)
{
    if (peer.role == PeerRole::Control) {
        subscribe(link);
    }
}

void BalancerDaemon::subscribe(LinkHandle link)
{
    m_links.send(link, Subscribe{{m_settings.balancer, m_persisted.incarnation}, m_rollout.version()});
}

void BalancerDaemon::onLinkMessage(LinkHandle link, const LinkMessage &message)
{
    if (const auto *offer = std::get_if<BundleOffer>(&message)) {
        handleBundleOffer(link, *offer);
    } else if (const auto *status = std::get_if<ControlHeartbeat>(&message)) {
        m_rollout.handleHeartbeat(monotonicNow(), *status);
    }
}

void BalancerDaemon::handleBundleOffer(LinkHandle link, const BundleOffer &offer)
{
    switch (m_rollout.applyOffer(offer)) {
    case OfferResult::Applied:
        if (!persistBundle()) {
            LogLine(LogLevel::Error, "bundle-not-kept").with("version", offer.version);
        }
        applyBundle();
        break;
    case OfferResult::NotNewer:
        break;
    case OfferResult::BaseMismatch:
        return subscribe(link);
    case OfferResult::Damaged:
        LogLine(LogLevel::Error, "bundle-damaged").with("version", offer.version);
        return;
    }
    for (const LinkHandle control : m_links.links(PeerRole::Control)) {
        m_links.send(control, VersionReport{{m_settings.balancer, m_persisted.incarnation}, m_rollout.version()});
    }
}

void BalancerDaemon::applyBundle()
{
    m_serviceIds.clear();
    for (const ServiceSettings &service : m_rollout.bundle().services) {
        m_serviceIds[service.name] = service.id;
    }
    m_core.applyBundle(monotonicNow(), m_rollout.version(), m_rollout.bundle().services);
    LogLine(LogLevel::Info, "bundle-applied").with("version", m_rollout.version()).with("services", m_rollout.bundle().services.size());
}

bool BalancerDaemon::persistBundle()
{
    if (m_settings.dataFolder.empty()) {
        return true;
    }
    m_persisted.bundleVersion = m_rollout.version();
    m_persisted.bundle = m_rollout.text();
    return leaf::try_handle_all(
        [this]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(replaceFile(m_settings.dataFolder / StateFile, encodeMessage(std::variant<PersistedBalancerState>(m_persisted))));
            return true;
        },
        [] {
            return false;
        });
}

} // namespace Robinrail

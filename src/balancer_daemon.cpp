// SPDX-License-Identifier: MIT
// Balancer daemon: implementation.
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

constexpr unsigned HttpBadRequest = 400;
constexpr unsigned HttpUnauthorized = 401;
constexpr unsigned HttpForbidden = 403;
constexpr unsigned HttpNotFound = 404;
constexpr unsigned HttpUnavailable = 503;
constexpr const char *MemoryFile = "balancer";
constexpr int SocketBuffer = 4 << 20;

BalancerSettings coreSettings(const BalancerFile &file, Incarnation incarnation)
{
    BalancerSettings settings;
    settings.self = {file.balancer, incarnation};
    settings.dataCentre = file.dataCentreId;
    settings.peers = file.peers;
    settings.connectionIdKeys = file.connectionIdKeys;
    return settings;
}

bool isControl(const Message &message)
{
    return std::holds_alternative<Heartbeat>(message) || std::holds_alternative<HandoverFlows>(message) || std::holds_alternative<HandoverReceived>(message);
}

} // namespace

leaf::result<BalancerMemory> openBalancerMemory(const std::filesystem::path &folder)
{
    constexpr std::size_t ChecksumSize = 8;
    const auto wallClock = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    BalancerMemory memory;
    if (!folder.empty()) {
        std::error_code ignored;
        std::filesystem::create_directories(folder, ignored);
        BOOST_LEAF_AUTO(found, readFile(folder / MemoryFile));
        if (found && found->size() > ChecksumSize) {
            const auto kept = decodeMessage<std::variant<BalancerMemory>>(*found);
            memory = kept ? std::get<BalancerMemory>(*kept) : BalancerMemory{};
        }
    }
    memory.incarnation = Incarnation{std::max<std::uint64_t>(value(memory.incarnation) + 1, static_cast<std::uint64_t>(wallClock.count()))};
    if (!folder.empty()) {
        BOOST_LEAF_CHECK(replaceFile(folder / MemoryFile, encodeMessage(std::variant<BalancerMemory>(memory))));
    }
    return memory;
}

BalancerDaemon::BalancerDaemon(boost::asio::io_context &io, std::filesystem::path settingsPath, BalancerFile file, BalancerMemory memory, bool testFaults)
    : m_io(io)
    , m_settingsPath(std::move(settingsPath))
    , m_file(std::move(file))
    , m_memory(std::move(memory))
    , m_testFaults(testFaults)
    , m_core(coreSettings(m_file, m_memory.incarnation))
    , m_guard(m_file.clusterKey, {m_file.balancer, m_memory.incarnation})
    , m_links(io,
              m_file.clusterKey,
              PeerRole::Balancer,
              value(m_file.balancer),
              {[this](LinkHandle link, const Hello &peer) {
                   onEstablished(link, peer);
               },
               [this](LinkHandle link, const Hello &, const LinkMessage &message) {
                   onMessage(link, message);
               },
               [](LinkHandle, const Hello &) {}})
    , m_http(io,
             [this](const HttpRequest &request, const HttpRespond &respond) {
                 handleHttp(request, respond);
             })
    , m_timer(io)
    , m_signals(io, SIGINT, SIGTERM, SIGHUP)
{
    for (const PeerAddress &peer : m_file.peers) {
        m_peerEndpoints[peer.endpoint] = peer.id;
    }
    m_core.context().observer = [this](const Event &event) {
        observe(event);
    };
}

bool BalancerDaemon::start()
{
    for (const ServiceListen &listen : m_file.services) {
        if (!bind(listen.endpoint, Port::Kind::Callers, listen.service)) {
            return false;
        }
    }
    if (!bind(m_file.targetListen, Port::Kind::Targets, {}) || !bind(m_file.peerListen, Port::Kind::Peers, {})) {
        return false;
    }
    if (!m_http.listen(m_file.adminListen)) {
        LogLine(LogLevel::Error, "bind-failed").with("address", toText(m_file.adminListen));
        return false;
    }
    if (m_memory.bundleVersion > 0 && m_rollout.restore(m_memory.bundleVersion, m_memory.bundle)) {
        applyBundle();
    }
    for (const Endpoint &control : m_file.control) {
        m_links.maintain(control);
    }
    awaitSignal();
    LogLine(LogLevel::Info, "started").with("balancer", value(m_file.balancer)).with("incarnation", value(m_memory.incarnation));
    tick();
    return true;
}

void BalancerDaemon::awaitSignal()
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
        awaitSignal();
    });
}

void BalancerDaemon::stop()
{
    LogLine(LogLevel::Info, "stopping").with("flows", m_core.context().flows.size());
    m_core.stop(monotonicNow(), m_file.linger);
    flush();
}

// Only the connection id keys are taken from a changed settings file; the rest needs a restart.
void BalancerDaemon::reloadKeys()
{
    leaf::try_handle_all(
        [this]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(file, loadBalancerFile(m_settingsPath));
            m_core.applyKeys(file.connectionIdKeys);
            LogLine(LogLevel::Info, "keys-reloaded").with("newest", static_cast<int>(file.connectionIdKeys.front().version));
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

bool BalancerDaemon::bind(Endpoint endpoint, Port::Kind kind, std::string service)
{
    auto port = std::make_unique<Port>(Port{Udp::socket(m_io), kind, std::move(service)});
    boost::system::error_code error;
    port->socket.open(Udp::v4(), error);
    port->socket.set_option(boost::asio::socket_base::receive_buffer_size(SocketBuffer), error);
    port->socket.bind(toUdp(endpoint), error);
    if (error) {
        LogLine(LogLevel::Error, "bind-failed").with("address", toText(endpoint)).with("detail", error.message());
        return false;
    }
    port->socket.non_blocking(true);
    m_targetPort = kind == Port::Kind::Targets ? port.get() : m_targetPort;
    m_peerPort = kind == Port::Kind::Peers ? port.get() : m_peerPort;
    m_callerPort = kind == Port::Kind::Callers ? port.get() : m_callerPort;
    m_ports.push_back(std::move(port));
    receive(*m_ports.back());
    return true;
}

void BalancerDaemon::receive(Port &port)
{
    port.socket.async_wait(Udp::socket::wait_read, [this, &port](const boost::system::error_code &waitError) {
        if (waitError) {
            return;
        }
        constexpr std::size_t ReceiveSize = 65536;
        std::vector<std::uint8_t> buffer(ReceiveSize);
        for (int i = 0; i < MaxReadsPerTurn; ++i) {
            Udp::endpoint from;
            boost::system::error_code error;
            const std::size_t size = port.socket.receive_from(boost::asio::buffer(buffer), from, 0, error);
            if (error == boost::asio::error::would_block) {
                break;
            }
            if (!error) {
                take(port, fromUdp(from), {buffer.data(), size});
            }
        }
        flush();
        receive(port);
    });
}

void BalancerDaemon::take(Port &port, Endpoint from, BytesView bytes)
{
    const TimePoint now = monotonicNow();
    BalancerContext &context = m_core.context();
    if (port.kind == Port::Kind::Peers) {
        return takePeer(now, from, bytes);
    }
    if (bytes.size() > MaxDatagramSize) {
        return context.reject(now, RejectReason::Oversized);
    }
    const std::optional<Message> message = decodeMessage<Message>(bytes);
    if (!message) {
        return context.reject(now, RejectReason::Malformed);
    }
    if (port.kind == Port::Kind::Targets) {
        return m_core.handleTarget(now, from, *message);
    }
    const auto service = m_serviceIds.find(port.service);
    if (service == m_serviceIds.end()) {
        return context.reject(now, RejectReason::UnknownService);
    }
    m_core.handleCaller(now, service->second, from, *message);
}

void BalancerDaemon::takePeer(TimePoint now, Endpoint from, BytesView bytes)
{
    const std::optional<DatagramGuard::Opened> opened = m_guard.open(bytes);
    if (!opened) {
        return m_core.context().reject(now, RejectReason::UnknownSender);
    }
    if (m_droppedPeers.contains(opened->sender.id)) {
        return;
    }
    const std::optional<Message> message = decodeMessage<Message>(opened->payload);
    if (!message) {
        return m_core.context().reject(now, RejectReason::Malformed);
    }
    m_core.handlePeer(now, from, *message);
}

void BalancerDaemon::flush()
{
    for (const Outgoing &outgoing : m_core.takeOutbox()) {
        const Bytes bytes = encodeMessage(outgoing.message);
        const auto peer = m_peerEndpoints.find(outgoing.to);
        if (peer != m_peerEndpoints.end()) {
            if (m_droppedPeers.contains(peer->second)) {
                continue;
            }
            const Bytes sealed = m_guard.seal(bytes);
            (isControl(outgoing.message) ? m_controlBytes : m_relayBytes) += sealed.size();
            sendDatagram(m_peerPort->socket, outgoing.to, sealed);
            continue;
        }
        const bool toTarget = std::holds_alternative<RunRequest>(outgoing.message) || std::holds_alternative<CancelRun>(outgoing.message)
            || std::holds_alternative<AttachFeed>(outgoing.message) || std::holds_alternative<DetachFeed>(outgoing.message);
        sendDatagram(toTarget ? m_targetPort->socket : m_callerPort->socket, outgoing.to, bytes);
    }
}

void BalancerDaemon::sendDatagram(Udp::socket &socket, Endpoint to, BytesView bytes)
{
    boost::system::error_code ignored; // A datagram that can't be sent is lost, as any may be.
    socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), toUdp(to), 0, ignored);
}

void BalancerDaemon::tick()
{
    const TimePoint now = monotonicNow();
    m_core.tick(now);
    flush();
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

void BalancerDaemon::onEstablished(LinkHandle link, const Hello &peer)
{
    if (peer.role == PeerRole::Control) {
        subscribe(link);
    }
}

void BalancerDaemon::subscribe(LinkHandle link)
{
    m_links.send(link, Subscribe{{m_file.balancer, m_memory.incarnation}, m_rollout.version()});
}

void BalancerDaemon::onMessage(LinkHandle link, const LinkMessage &message)
{
    if (const auto *offer = std::get_if<BundleOffer>(&message)) {
        takeOffer(link, *offer);
    } else if (const auto *beat = std::get_if<ControlBeat>(&message)) {
        m_rollout.noteBeat(monotonicNow(), *beat);
    }
}

void BalancerDaemon::takeOffer(LinkHandle link, const BundleOffer &offer)
{
    switch (m_rollout.take(offer)) {
    case OfferEffect::Applied:
        if (!keep()) {
            LogLine(LogLevel::Error, "bundle-not-kept").with("version", offer.version);
        }
        applyBundle();
        break;
    case OfferEffect::NotNewer:
        break;
    case OfferEffect::BaseMissing:
        return subscribe(link);
    case OfferEffect::Damaged:
        LogLine(LogLevel::Error, "bundle-damaged").with("version", offer.version);
        return;
    }
    for (const LinkHandle control : m_links.links(PeerRole::Control)) {
        m_links.send(control, VersionReport{{m_file.balancer, m_memory.incarnation}, m_rollout.version()});
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

bool BalancerDaemon::keep()
{
    if (m_file.dataFolder.empty()) {
        return true;
    }
    m_memory.bundleVersion = m_rollout.version();
    m_memory.bundle = m_rollout.text();
    return leaf::try_handle_all(
        [this]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(replaceFile(m_file.dataFolder / MemoryFile, encodeMessage(std::variant<BalancerMemory>(m_memory))));
            return true;
        },
        [] {
            return false;
        });
}

// ---- Administration API ----

void BalancerDaemon::observe(const Event &event)
{
    m_events.push_back(event);
    ++m_lastEvent;
    if (m_events.size() > MaxKeptEvents) {
        m_events.pop_front();
    }
    if (event.kind == EventKind::RequestAnswered) {
        m_latency.record(event.took);
    }
    const bool rare = event.kind >= EventKind::TargetJoined && event.kind != EventKind::PacketRejected;
    LogLine line(rare ? LogLevel::Info : LogLevel::Debug, nameOf(event.kind));
    if (value(event.flow) != 0) {
        line.with("flow", value(event.flow));
    }
    if (value(event.request) != 0) {
        line.with("request", value(event.request));
    }
    if (value(event.target) != 0) {
        line.with("target", value(event.target));
    }
    if (value(event.peer) != 0) {
        line.with("peer", value(event.peer));
    }
    if (event.kind == EventKind::RequestRefused) {
        line.with("outcome", nameOf(static_cast<Outcome>(event.detail)));
    }
}

void BalancerDaemon::handleHttp(const HttpRequest &request, const HttpRespond &respond)
{
    if (request.path == "/healthz") {
        return respond(jsonReply({{"status", "ok"}}));
    }
    if (request.path == "/readyz") {
        return respond(jsonReply({{"ready", m_core.ready()}}, m_core.ready() ? 200 : HttpUnavailable));
    }
    if (request.path == "/metrics") {
        return respond(metrics());
    }
    if (request.token != m_file.adminToken) {
        return respond(errorReply(HttpUnauthorized, "unauthorized", "send the admin token as a bearer token"));
    }
    if (request.method == "POST" && request.path == "/v1/drain") {
        return respond(drain(request));
    }
    if (request.method == "POST" && request.path == "/v1/test/drop" && m_testFaults) {
        return respond(setTestFaults(request));
    }
    respond(request.method == "GET" ? read(request) : errorReply(HttpNotFound, "not-found", request.path));
}

HttpReply BalancerDaemon::read(const HttpRequest &request)
{
    constexpr std::string_view FlowPrefix = "/v1/flows/";
    const TimePoint now = monotonicNow();
    Json list = Json::array();
    if (request.path == "/v1/status") {
        return status();
    }
    if (request.path == "/v1/targets") {
        for (const Target &target : std::as_const(m_core.context().targets).targets()) {
            list.push_back(toApi(target, now));
        }
        return jsonReply(list);
    }
    if (request.path == "/v1/peers") {
        for (const Peer &peer : std::as_const(m_core.context().peers).peers()) {
            list.push_back(toApi(peer, now));
        }
        return jsonReply(list);
    }
    if (request.path == "/v1/events") {
        return events(request);
    }
    if (request.path.starts_with(FlowPrefix)) {
        return explainFlow(std::string_view(request.path).substr(FlowPrefix.size()));
    }
    return errorReply(HttpNotFound, "not-found", request.path);
}

HttpReply BalancerDaemon::status()
{
    BalancerContext &context = m_core.context();
    const Counters &counters = context.counters;
    Json queues = Json::object();
    for (const auto &[name, id] : m_serviceIds) {
        queues[name] = m_core.queued(id);
    }
    Json outcomes = Json::object();
    for (std::size_t i = 0; i < counters.outcomes.size(); ++i) {
        outcomes[std::string(nameOf(static_cast<Outcome>(i)))] = counters.outcomes[i];
    }
    return jsonReply({{"balancer", value(m_file.balancer)},
                      {"incarnation", value(m_memory.incarnation)},
                      {"dataCentre", m_file.dataCentre},
                      {"ready", m_core.ready()},
                      {"stopping", context.peers.stopping()},
                      {"version", m_rollout.version()},
                      {"confirmed", m_rollout.confirmed(monotonicNow())},
                      {"flows", context.flows.size()},
                      {"flowsOpened", counters.flowsOpened},
                      {"flowsAdopted", counters.flowsAdopted},
                      {"feedRebinds", counters.feedRebinds},
                      {"queued", queues},
                      {"outcomes", outcomes},
                      {"retries", counters.retries},
                      {"offloaded", counters.attemptsOffloaded},
                      {"controlBytes", m_controlBytes},
                      {"relayBytes", m_relayBytes}});
}

HttpReply BalancerDaemon::events(const HttpRequest &request) const
{
    constexpr std::size_t MostAtOnce = 1000;
    const std::uint64_t after = std::strtoull(queryValue(request.query, "after").c_str(), nullptr, 10);
    Json list = Json::array();
    std::uint64_t number = m_lastEvent - m_events.size();
    for (const Event &event : m_events) {
        ++number;
        if (number > after && list.size() < MostAtOnce) {
            list.push_back(toApi(event, number));
        }
    }
    return jsonReply(list);
}

// A number names a flow that this balancer may own; a sealed id in hex is opened first.
HttpReply BalancerDaemon::explainFlow(std::string_view id)
{
    BalancerContext &context = m_core.context();
    Json body;
    FlowId flowId{};
    SealedConnectionId sealed{};
    if (fromHex(id, sealed)) {
        const std::optional<ConnectionId> opened = context.sealer.open(sealed);
        if (!opened) {
            return errorReply(HttpNotFound, "forged-id", "the key version is unknown or the MAC does not match");
        }
        const std::optional<BalancerKey> owner = context.peers.resolve(opened->owner);
        body["service"] = value(opened->service);
        body["namedOwner"] = {{"balancer", value(opened->owner.id)}, {"incarnation", value(opened->owner.incarnation)}};
        body["routedTo"] = owner ? Json(value(owner->id)) : Json("adopted by whoever gets the next packet");
        body["why"] = !owner ? "the named owner is gone" : *owner == opened->owner ? "the named owner is alive" : "the named owner handed its flows over";
        flowId = opened->flow;
    } else {
        flowId = FlowId{std::strtoull(std::string(id).c_str(), nullptr, 10)};
    }
    body["flow"] = std::to_string(value(flowId));
    const Flow *flow = context.flows.find(flowId);
    body["ownedHere"] = flow != nullptr;
    if (flow != nullptr) {
        body["service"] = value(flow->service);
        body["caller"] = toText(flow->caller);
        body["target"] = value(flow->target);
        body["feedAttached"] = flow->attachment != 0;
        body["nextSequence"] = flow->nextSequence;
        body["highestRequest"] = flow->window.highest();
        body["requestsOpen"] = flow->busy;
    }
    return jsonReply(body);
}

// Drains this balancer, or marks a target as draining here, from where gossip carries it on. Signed by
// an operator for this run of this balancer, so that an old order can't be played again.
HttpReply BalancerDaemon::drain(const HttpRequest &request)
{
    const std::optional<SignedChange> order = signedChangeFromApi(request.body);
    const auto content = order ? decodeMessage<std::variant<DrainOrder>>(order->content) : std::nullopt;
    if (!content) {
        return errorReply(HttpBadRequest, "malformed-order", "see docs/API.md");
    }
    const DrainOrder &drain = std::get<DrainOrder>(*content);
    const bool signedByOperator = std::any_of(m_rollout.operators().begin(), m_rollout.operators().end(), [&](const OperatorRecord &record) {
        return record.name == order->operatorName && !record.revoked && verify(signedBytes(*order), order->signature, record.key);
    });
    if (!signedByOperator || drain.balancer != BalancerKey{m_file.balancer, m_memory.incarnation}) {
        return errorReply(HttpForbidden, "not-permitted", "signature, operator or incarnation does not fit");
    }
    LogLine(LogLevel::Info, "drain-ordered").with("operator", order->operatorName).with("target", value(drain.target));
    if (value(drain.target) == 0) {
        stop();
        return jsonReply({{"draining", "balancer"}});
    }
    const Target *target = m_core.context().targets.find(drain.target);
    if (target == nullptr) {
        return errorReply(HttpNotFound, "unknown-target");
    }
    Announcement announcement = target->announcement;
    announcement.draining = true;
    m_core.handleTarget(monotonicNow(), announcement.endpoint, announcement);
    flush();
    return jsonReply({{"draining", value(drain.target)}});
}

HttpReply BalancerDaemon::metrics()
{
    const BalancerContext &context = m_core.context();
    const Counters &counters = context.counters;
    MetricsText text;
    text.gauge("robinrail_flows", "Flows owned by this balancer.", static_cast<double>(context.flows.size()));
    text.counter("robinrail_flows_opened_total", "Flows opened here.", static_cast<double>(counters.flowsOpened));
    text.counter("robinrail_flows_adopted_total", "Flows taken over from owners that stop or are gone.", static_cast<double>(counters.flowsAdopted));
    text.counter("robinrail_packets_relayed_total", "Packets passed on to other balancers.", static_cast<double>(counters.packetsRelayed));
    text.counter("robinrail_duplicates_dropped_total", "Requests that came again.", static_cast<double>(counters.duplicatesDropped));
    text.counter("robinrail_retries_total", "Attempts after the first.", static_cast<double>(counters.retries));
    text.counter("robinrail_feed_rebinds_total", "Feeds moved from a leaving target.", static_cast<double>(counters.feedRebinds));
    text.counter("robinrail_control_bytes_total", "Control bytes sent to peers.", static_cast<double>(m_controlBytes));
    text.gauge("robinrail_bundle_version", "Bundle version in force.", static_cast<double>(m_rollout.version()));
    text.gauge("robinrail_bundle_confirmed", "1 if a quorum confirmed the version lately.", m_rollout.confirmed(monotonicNow()) ? 1 : 0);
    for (std::size_t i = 0; i < counters.outcomes.size(); ++i) {
        const std::string label = "outcome=\"" + std::string(nameOf(static_cast<Outcome>(i))) + "\"";
        text.counter("robinrail_requests_total", "Requests by outcome.", static_cast<double>(counters.outcomes[i]), label);
    }
    for (std::size_t i = 0; i < counters.rejected.size(); ++i) {
        const std::string label = "reason=\"" + std::string(nameOf(static_cast<RejectReason>(i))) + "\"";
        text.counter("robinrail_packets_rejected_total", "Packets dropped.", static_cast<double>(counters.rejected[i]), label);
    }
    for (const Target &target : context.targets.targets()) {
        const std::string label = "target=\"" + std::to_string(value(target.id())) + "\"";
        text.gauge("robinrail_target_running", "Attempts of this balancer on a target.", target.running, label);
    }
    text.histogram("robinrail_attempt_seconds", "From an attempt to its whole answer.", m_latency);
    return {200, "text/plain; version=0.0.4", text.text()};
}

HttpReply BalancerDaemon::setTestFaults(const HttpRequest &request)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return errorReply(HttpBadRequest, "malformed");
    }
    m_links.dropTraffic(PeerRole::Control, body.value("replicas", std::set<std::uint16_t>()));
    m_droppedPeers.clear();
    for (const std::uint16_t id : body.value("balancers", std::vector<std::uint16_t>())) {
        m_droppedPeers.insert(BalancerId{id});
    }
    return jsonReply({{"status", "ok"}});
}

} // namespace Robinrail

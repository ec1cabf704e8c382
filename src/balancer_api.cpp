// SPDX-License-Identifier: MIT
// Balancer daemon: the administration API over HTTP, with events, state, drains and metrics.
#include "balancer_daemon.h"

#include "api_json.h"
#include "json_schema.h"
#include "net.h"

namespace Robinrail {

using Json = nlohmann::json;

namespace {

constexpr unsigned HttpBadRequest = 400;
constexpr unsigned HttpUnauthorized = 401;
constexpr unsigned HttpForbidden = 403;
constexpr unsigned HttpNotFound = 404;
constexpr unsigned HttpUnavailable = 503;

} // namespace

void BalancerDaemon::recordEvent(const Event &event)
{
    m_events.push_back(event);
    ++m_lastEventNumber;
    if (m_events.size() > MaxRetainedEvents) {
        m_events.pop_front();
    }
    if (event.kind == EventKind::RequestAnswered) {
        m_attemptLatency.record(event.took);
    }
    const bool infrequent = event.kind >= EventKind::TargetJoined && event.kind != EventKind::PacketRejected;
    LogLine line(infrequent ? LogLevel::Info : LogLevel::Debug, nameOf(event.kind));
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

void BalancerDaemon::handleHttp(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.path == "/healthz") {
        return respond(jsonResponse({{"status", "ok"}}));
    }
    if (request.path == "/readyz") {
        return respond(jsonResponse({{"ready", m_core.ready()}}, m_core.ready() ? 200 : HttpUnavailable));
    }
    if (request.path == "/metrics") {
        return respond(metrics());
    }
    if (request.token != m_settings.adminToken) {
        return respond(errorResponse(HttpUnauthorized, "unauthorized", "send the admin token as a bearer token"));
    }
    if (request.method == "POST" && request.path == "/v1/drain") {
        return respond(drain(request));
    }
    if (request.method == "POST" && request.path == "/v1/test/drop" && m_testFaults) {
        return respond(setTestFaults(request));
    }
    respond(request.method == "GET" ? handleGet(request) : errorResponse(HttpNotFound, "not-found", request.path));
}

HttpResponse BalancerDaemon::handleGet(const HttpRequest &request)
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
        return jsonResponse(list);
    }
    if (request.path == "/v1/peers") {
        for (const Peer &peer : std::as_const(m_core.context().peers).peers()) {
            list.push_back(toApi(peer, now));
        }
        return jsonResponse(list);
    }
    if (request.path == "/v1/events") {
        return events(request);
    }
    if (request.path.starts_with(FlowPrefix)) {
        return explainFlow(std::string_view(request.path).substr(FlowPrefix.size()));
    }
    return errorResponse(HttpNotFound, "not-found", request.path);
}

HttpResponse BalancerDaemon::status()
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
    return jsonResponse({{"balancer", value(m_settings.balancer)},
                         {"incarnation", value(m_persisted.incarnation)},
                         {"dataCentre", m_settings.dataCentre},
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

HttpResponse BalancerDaemon::events(const HttpRequest &request) const
{
    constexpr std::size_t MaxEventsPerResponse = 1000;
    const std::uint64_t after = std::strtoull(queryValue(request.query, "after").c_str(), nullptr, 10);
    Json list = Json::array();
    std::uint64_t number = m_lastEventNumber - m_events.size();
    for (const Event &event : m_events) {
        ++number;
        if (number > after && list.size() < MaxEventsPerResponse) {
            list.push_back(toApi(event, number));
        }
    }
    return jsonResponse(list);
}

// `id` is either the number of a flow, looked up on this balancer, or a sealed connection id in hex, whose
// MAC is verified before the owner and the flow are taken from it.
HttpResponse BalancerDaemon::explainFlow(std::string_view id)
{
    BalancerContext &context = m_core.context();
    Json body;
    FlowId flowId{};
    SealedConnectionId sealed{};
    if (fromHex(id, sealed)) {
        const std::optional<ConnectionId> opened = context.sealer.open(sealed);
        if (!opened) {
            return errorResponse(HttpNotFound, "forged-id", "the key version is unknown or the MAC does not match");
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
        body["requestsOpen"] = flow->activeRequests;
    }
    return jsonResponse(body);
}

// Drains this balancer, or marks a target as draining, which gossip distributes to the other balancers. The order is
// signed by an operator for the current incarnation of this balancer, so that it can't be replayed after a restart.
HttpResponse BalancerDaemon::drain(const HttpRequest &request)
{
    const std::optional<SignedChange> order = signedChangeFromApi(request.body);
    const auto content = order ? decodeMessage<std::variant<DrainOrder>>(order->content) : std::nullopt;
    if (!content) {
        return errorResponse(HttpBadRequest, "malformed-order", "see docs/API.md");
    }
    const DrainOrder &drain = std::get<DrainOrder>(*content);
    const bool authentic = std::any_of(m_rollout.operators().begin(), m_rollout.operators().end(), [&](const OperatorRecord &record) {
        return record.name == order->operatorName && !record.revoked && verify(bytesToSign(*order), order->signature, record.key);
    });
    if (!authentic || drain.balancer != BalancerKey{m_settings.balancer, m_persisted.incarnation}) {
        return errorResponse(HttpForbidden, "not-permitted", "signature, operator or incarnation does not fit");
    }
    LogLine(LogLevel::Info, "drain-ordered").with("operator", order->operatorName).with("target", value(drain.target));
    if (value(drain.target) == 0) {
        stop();
        return jsonResponse({{"draining", "balancer"}});
    }
    const Target *target = m_core.context().targets.find(drain.target);
    if (target == nullptr) {
        return errorResponse(HttpNotFound, "unknown-target");
    }
    Announcement announcement = target->announcement;
    announcement.draining = true;
    m_core.handleTarget(monotonicNow(), announcement.endpoint, announcement);
    sendOutbox();
    return jsonResponse({{"draining", value(drain.target)}});
}

HttpResponse BalancerDaemon::metrics()
{
    const BalancerContext &context = m_core.context();
    const Counters &counters = context.counters;
    PrometheusWriter text;
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
    text.histogram("robinrail_attempt_seconds", "From an attempt to its whole answer.", m_attemptLatency);
    return {200, "text/plain; version=0.0.4", text.text()};
}

HttpResponse BalancerDaemon::setTestFaults(const HttpRequest &request)
{
    const std::optional<Json> body = parseStrictJson(request.body);
    if (!body || !body->is_object()) {
        return errorResponse(HttpBadRequest, "malformed");
    }
    m_links.dropTraffic(PeerRole::Control, body->value("replicas", std::set<std::uint16_t>()));
    m_blockedPeers.clear();
    for (const std::uint16_t id : body->value("balancers", std::vector<std::uint16_t>())) {
        m_blockedPeers.insert(BalancerId{id});
    }
    return jsonResponse({{"status", "ok"}});
}

} // namespace Robinrail

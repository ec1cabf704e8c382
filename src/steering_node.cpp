// SPDX-License-Identifier: MIT
// Steering node: implementation.
#include "steering_node.h"

#include "log.h"
#include "metrics.h"
#include "net.h"

#include <boost/asio/io_context.hpp>

namespace Robinrail {

SteeringNode::SteeringNode(boost::asio::io_context &io, SteeringFile file)
    : m_file(std::move(file))
    , m_links(io,
              {NodeRole::Balancer, ReplicaId{0}, m_file.dataCentreId(m_file.dataCentre)},
              {[this](LinkHandle link, const NodeHello &peer) {
                   onEstablished(link, peer);
               },
               [this](LinkHandle link, const NodeHello &peer, const NodeMessage &message) {
                   onMessage(link, peer, message);
               },
               [this](LinkHandle link, const NodeHello &peer) {
                   onClosed(link, peer);
               }})
    , m_timer(io)
    , m_steering(m_file.dataCentreId(m_file.dataCentre))
    , m_standstill(monotonicNow())
    , m_now(monotonicNow())
    , m_onLearnt([] {})
    , m_findings(m_file.borneLosses + 1)
    , m_sendResets([](std::span<const FlowReset>) {})
{
}

void SteeringNode::start()
{
    LogLine(LogLevel::Info, "started")
        .with("node", m_file.node)
        .with("data-centre", m_file.dataCentre)
        .with("packets", toText(m_file.packetListen))
        .with("seeds", m_file.seeds.size());
    dialReplicas();
    tick();
}

void SteeringNode::reload(const SteeringFile &file)
{
    m_file.seeds = file.seeds;
    dialReplicas();
    LogLine(LogLevel::Info, "settings-reloaded").with("seeds", m_file.seeds.size());
}

void SteeringNode::beginStop()
{
    m_stopping = true;
    LogLine(LogLevel::Info, "stopping").with("flows", m_steering.flowCount());
    updateReadiness();
}

Duration SteeringNode::stopTime() const
{
    return std::min(FabricNoticeTime, m_file.grace / 2);
}

bool SteeringNode::ready() const
{
    return m_ready;
}

void SteeringNode::updateReadiness()
{
    m_confirmed = m_confirmed || (m_confirmedVersion > 0 && m_confirmedVersion <= m_steering.version());
    if (!m_informed && m_confirmed && m_told && m_steering.targets().size() > 0) {
        m_informed = true;
        m_steering.setInformed();
        m_onLearnt();
    }
    const bool ready = !m_stopping && m_informed;
    if (ready != m_ready) {
        m_ready = ready;
        LogLine(LogLevel::Info, ready ? "ready" : "not-ready").with("version", m_steering.version()).with("targets", m_steering.targets().size());
    }
}

void SteeringNode::tick()
{
    m_now = monotonicNow();
    m_standstill.turn(m_now);
    m_links.tick(m_now);
    m_steering.tick(m_now);
    reportUnanswered();
    resetFlows();
    fetchIfBehind(m_now);
    updateReadiness();
    m_timer.expires_after(SteeringTick);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

// ---- Packets ----

void SteeringNode::onLearnt(std::function<void()> learnt)
{
    m_onLearnt = std::move(learnt);
}

void SteeringNode::beginPackets()
{
    m_standstill.turn(monotonicNow());
}

void SteeringNode::endPackets(bool emptied)
{
    if (emptied) {
        m_standstill.queueEmptied();
    }
}

SteeringDecision SteeringNode::steer(FlowPacket packet)
{
    const TimePoint now = monotonicNow();
    packet.waited = m_standstill.waited();
    const SteeringDecision decision = m_steering.steer(now, packet);
    if (decision.reason != SteeringReason::OpenFlow) {
        logDecision(now, packet, decision);
    }
    return decision;
}

void SteeringNode::logDecision(TimePoint now, const FlowPacket &packet, const SteeringDecision &decision)
{
    const std::optional<std::uint64_t> leftOut = m_logs[static_cast<std::size_t>(decision.reason)].take(now);
    if (!leftOut) {
        return;
    }
    LogLine(LogLevel::Info, nameOf(decision.reason))
        .with("caller", toText(packet.caller))
        .with("route", toText(packet.route))
        .with("copy", static_cast<int>(packet.copy))
        .with("token", value(packet.token))
        .with("target", value(decision.target))
        .with("version", m_steering.version())
        .with("left-out", *leftOut);
}

void SteeringNode::countMalformed()
{
    ++m_malformed;
}

void SteeringNode::countSendFailure()
{
    ++m_sendFailures;
}

// ---- Replicas ----

// Dials the seeds, and whatever replicas those name.
void SteeringNode::dialReplicas()
{
    std::set<ReplicaId> wanted;
    for (const Endpoint &seed : m_file.seeds) {
        wanted.insert(ReplicaId{seed.address});
    }
    for (const auto &[replica, list] : m_lists) {
        wanted.insert(list.begin(), list.end());
    }
    m_links.maintain(wanted, m_file.linkPort);
}

void SteeringNode::onEstablished(LinkHandle /*link*/, const NodeHello &peer)
{
    LogLine(LogLevel::Info, "replica-link-up").with("replica", addressText({value(peer.replica), 0}));
}

void SteeringNode::onClosed(LinkHandle link, const NodeHello &peer)
{
    LogLine(LogLevel::Warning, "replica-link-lost").with("replica", addressText({value(peer.replica), 0})).with("ready", m_ready);
    m_offers.erase(link);
    const bool others = !m_links.dialled().empty();
    m_steering.targets().forgetReplica(peer.replica, others);
    if (others && m_lists.erase(peer.replica) > 0) {
        dialReplicas();
    }
}

void SteeringNode::onMessage(LinkHandle link, const NodeHello &peer, const NodeMessage &message)
{
    if (const auto *news = std::get_if<TargetStatusList>(&message)) {
        onNews(peer.replica, *news);
    } else if (const auto *gone = std::get_if<TargetsUnreachable>(&message)) {
        onUnreachable(peer.replica, *gone);
    } else if (std::holds_alternative<TargetsTold>(message)) {
        m_told = true;
    } else if (const auto *list = std::get_if<ReplicaList>(&message)) {
        m_lists[peer.replica] = list->replicas;
        dialReplicas();
    } else if (const auto *offer = std::get_if<RoutingOffer>(&message)) {
        onOffer(link, *offer);
    } else if (const auto *update = std::get_if<RoutingUpdate>(&message)) {
        onUpdate(*update);
    }
    updateReadiness();
}

void SteeringNode::onNews(ReplicaId replica, const TargetStatusList &list)
{
    for (const TargetStatus &news : list.news) {
        m_steering.targets().take(monotonicNow(), replica, news);
    }
    if (!m_informed) {
        m_onLearnt();
    }
}

// ---- Targets that are gone ----

void SteeringNode::onResets(std::function<void(std::span<const FlowReset>)> send)
{
    m_sendResets = std::move(send);
}

void SteeringNode::onUnreachable(ReplicaId replica, const TargetsUnreachable &list)
{
    const TimePoint now = monotonicNow();
    for (const TargetKey key : list.keys) {
        if (m_findings.unreachable(now, replica, key) && m_steering.targets().takeForGone(now, key)) {
            LogLine(LogLevel::Info, "target-gone").with("target", value(key)).with("replica", addressText({value(replica), 0}));
        }
    }
    resetFlows();
}

void SteeringNode::reportUnanswered()
{
    const TargetsUnanswered unanswered{m_steering.takeUnanswered()};
    if (!unanswered.keys.empty()) {
        m_links.sendAll(m_links.dialled(), unanswered);
    }
}

void SteeringNode::resetFlows()
{
    const TimePoint now = monotonicNow();
    const std::vector<FlowReset> resets = m_steering.takeResets();
    m_flowsReset += resets.size();
    m_sendResets(resets);
    for (const FlowReset &reset : resets) {
        logReset(now, reset);
    }
}

void SteeringNode::logReset(TimePoint now, const FlowReset &reset)
{
    if (const auto leftOut = m_resetLog.take(now)) {
        LogLine(LogLevel::Info, "flow-reset")
            .with("caller", toText(reset.flow.caller))
            .with("route", toText(reset.flow.route))
            .with("target", value(reset.target))
            .with("left-out", *leftOut);
    }
}

// ---- Routing tables ----

void SteeringNode::onOffer(LinkHandle link, const RoutingOffer &offer)
{
    m_offers[link] = offer.version;
    if (offer.confirmed) {
        m_confirmedVersion = std::max(m_confirmedVersion, offer.version);
    }
    fetchIfBehind(monotonicNow());
}

void SteeringNode::fetchIfBehind(TimePoint now)
{
    if (now < m_fetchDue) {
        return;
    }
    LinkHandle best = 0;
    std::uint64_t highest = m_steering.version();
    for (const auto &[link, version] : m_offers) {
        // Of equals take another replica than the one that was asked last, in case that one is stuck.
        const bool preferred = version == highest && best == m_fetchedFrom && best != 0;
        if (version > highest || preferred) {
            best = link;
            highest = version;
        }
    }
    if (best == 0) {
        return;
    }
    m_fetching = true;
    m_fetchedFrom = best;
    m_fetchDue = now + RoutingFetchTimeout;
    m_links.send(best, RoutingRequest{});
}

void SteeringNode::onUpdate(const RoutingUpdate &update)
{
    const TimePoint now = monotonicNow();
    if (m_fetching) {
        m_fetching = false;
        m_fetchDue = now + RoutingFetchPause;
    }
    if (m_steering.apply(update.table)) {
        LogLine(LogLevel::Info, "routing-applied").with("version", update.table.version).with("routes", update.table.routes.size());
        if (!m_informed) {
            m_onLearnt();
        }
    }
}

// ---- Small questions ----

void SteeringNode::countHeldTooLong(std::uint64_t packets)
{
    m_heldTooLong += packets;
    if (packets > 0) {
        LogLine(LogLevel::Warning, "held-too-long").with("packets", packets);
    }
}

const SteeringFile &SteeringNode::settings() const
{
    return m_file;
}

std::string SteeringNode::metricsText() const
{
    MetricsText text;
    text.gauge("robinrail_steering_ready", "1 if the fabric may send packets here", m_ready ? 1 : 0);
    text.gauge("robinrail_routing_version", "Version of the routing table in force", static_cast<double>(m_steering.version()));
    text.gauge("robinrail_targets_known", "Targets known", static_cast<double>(m_steering.targets().size()));
    text.gauge("robinrail_flows", "Flows in the table", static_cast<double>(m_steering.flowCount()));
    text.gauge("robinrail_replica_links", "Links to replicas", static_cast<double>(m_links.dialled().size()));
    for (std::size_t i = 0; i < SteeringReasonCount; ++i) {
        const auto reason = static_cast<SteeringReason>(i);
        const std::string label = "reason=\"" + std::string(nameOf(reason)) + "\"";
        text.counter("robinrail_packets_total", "Packets by what decided them", static_cast<double>(m_steering.count(reason)), label);
    }
    text.histogram("robinrail_flow_open_seconds", "From an opening packet to the caller's next one", m_steering.openTimes());
    text.histogram("robinrail_answer_seconds", "From a request's data to a sign of its answer", m_steering.answerTimes());
    text.gauge("robinrail_dropped_routes", "Removed routes whose flows may still be there", static_cast<double>(m_steering.droppedRoutes()));
    text.counter("robinrail_suspicions_total", "Times that a target was suspected", static_cast<double>(m_steering.suspicions()));
    text.counter("robinrail_flows_reset_total", "Flows that were reset as their targets were gone", static_cast<double>(m_flowsReset));
    text.counter("robinrail_malformed_packets_total", "Packets without a readable head", static_cast<double>(m_malformed));
    text.counter("robinrail_held_too_long_total", "Packets that were held for too long, or were too many", static_cast<double>(m_heldTooLong));
    text.counter("robinrail_send_failures_total", "Packets that the kernel refused", static_cast<double>(m_sendFailures));
    text.counter("robinrail_log_lines_dropped_total", "Log lines that standard output could not take", static_cast<double>(droppedLogLines()));
    text.counter("robinrail_link_bytes_sent_total", "Bytes sent on links", static_cast<double>(m_links.bytesSent()));
    return text.text();
}

} // namespace Robinrail

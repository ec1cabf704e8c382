// SPDX-License-Identifier: MIT
// Steering node: implementation.
#include "steering_node.h"

#include "duration_math.h"
#include "log.h"
#include "net.h"
#include "steering_metrics.h"

#include <boost/asio/io_context.hpp>

namespace Robinrail {

using detail::toMilliseconds;

SteeringNode::SteeringNode(boost::asio::io_context &io, SteeringSettings file)
    : m_file(std::move(file))
    , m_links(io,
              {NodeRole::Balancer, ReplicaId{0}, m_file.dataCentreId(m_file.dataCentre)},
              {[this](ReplicaId replica) {
                   m_replicaSelector.onAccepted(monotonicNow(), replica);
               },
               [this](LinkHandle link, const NodeHello &peer) {
                   onEstablished(link, peer);
               },
               [this](LinkHandle link, const NodeHello &peer, const NodeMessage &message) {
                   onMessage(link, peer, message);
               },
               [this](LinkHandle link, const NodeHello &peer) {
                   onClosed(link, peer);
               }})
    , m_timer(io)
    , m_steering(m_file.dataCentreId(m_file.dataCentre), m_file.linkBytesPerSecond)
    , m_stallDetector(monotonicNow())
    , m_now(monotonicNow())
    , m_replicaSelector(m_file.dataCentreId(m_file.dataCentre), m_file.packetListen.address)
    , m_follower(m_steering.targets())
    , m_onRoutingData([] {})
    , m_probeFindings(m_file.lossTolerance())
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
    updateReplicas();
    tick();
}

void SteeringNode::reload(const SteeringSettings &file)
{
    m_file.seeds = file.seeds;
    updateReplicas();
    LogLine(LogLevel::Info, "settings-reloaded").with("seeds", m_file.seeds.size());
}

void SteeringNode::beginStop()
{
    m_stopping = true;
    LogLine(LogLevel::Info, "stopping").with("flows", m_steering.flowCount());
    m_links.logTraffic();
    // The callers' next copies go to other balancers.
    sendPins(m_steering.takeAllPins(monotonicNow()));
    updateReadiness();
}

Duration SteeringNode::stopTime() const
{
    return std::min(FabricDetectionTime, m_file.stopGracePeriod / 2);
}

bool SteeringNode::ready() const
{
    return m_ready;
}

void SteeringNode::updateReadiness()
{
    m_confirmed = m_confirmed || (m_confirmedVersion > 0 && m_confirmedVersion <= m_steering.version());
    if (!m_informed && m_confirmed && m_replicaSelector.source() && m_steering.targets().size() > 0) {
        m_informed = true;
        m_steering.setInformed();
        m_onRoutingData();
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
    m_stallDetector.tick(m_now);
    selectReplicas();
    m_links.tick(m_now);
    m_steering.tick(m_now);
    logAdmission();
    reportUnanswered(m_now);
    sendPins(m_stopping ? m_steering.takeRecentPins(m_now) : m_steering.takePins(m_now));
    resetFlows();
    requestTableIfBehind(m_now);
    updateReadiness();
    m_timer.expires_after(SteeringTickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

// ---- Packets ----

void SteeringNode::setRoutingDataHandler(std::function<void()> handler)
{
    m_onRoutingData = std::move(handler);
}

void SteeringNode::beginReceive()
{
    m_stallDetector.tick(monotonicNow());
}

void SteeringNode::endReceive(bool emptied)
{
    if (emptied) {
        m_stallDetector.queueEmptied();
    }
    reportUnanswered(monotonicNow());
}

SteeringDecision SteeringNode::steer(FlowPacket packet)
{
    const TimePoint now = monotonicNow();
    packet.maxQueueTime = m_stallDetector.maxQueueTime();
    const SteeringDecision decision = m_steering.steer(now, packet);
    if (decision.reason != SteeringReason::OpenFlow) {
        logDecision(now, packet, decision);
    }
    return decision;
}

void SteeringNode::logDecision(TimePoint now, const FlowPacket &packet, const SteeringDecision &decision)
{
    const std::optional<std::uint64_t> leftOut = m_decisionLogs[static_cast<std::size_t>(decision.reason)].take(now);
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

PacketLoss &SteeringNode::packetLoss()
{
    return m_packetLoss;
}

// ---- Replicas ----

// Passes the seeds and the replicas that are named in replica lists to the selector.
void SteeringNode::updateReplicas()
{
    std::vector<ReplicaId> seeds;
    for (const Endpoint &seed : m_file.seeds) {
        seeds.push_back(ReplicaId{seed.address});
    }
    std::vector<ReplicaLocation> named;
    for (const auto &[replica, list] : m_replicaLists) {
        named.insert(named.end(), list.begin(), list.end());
    }
    m_replicaSelector.setReplicas(named, seeds);
    selectReplicas();
}

void SteeringNode::selectReplicas()
{
    const std::optional<ReplicaId> source = m_replicaSelector.source();
    const std::set<ReplicaId> before = m_replicaSelector.desiredLinks();
    m_replicaSelector.update(monotonicNow());
    if (m_replicaSelector.source() && m_replicaSelector.source() != source) {
        m_steering.targets().setSource(*m_replicaSelector.source());
        LogLine(LogLevel::Info, "replica-followed").with("replica", toText(*m_replicaSelector.source()));
    }
    const std::set<ReplicaId> &wanted = m_replicaSelector.desiredLinks();
    if (wanted != before) {
        m_links.maintain(wanted, m_file.linkPort);
    }
    for (const ReplicaId replica : before) {
        if (!wanted.contains(replica)) {
            m_follower.forget(replica);
        }
    }
    followDirectories();
}

// Requests directories on links on which that was not done yet.
void SteeringNode::followDirectories()
{
    for (const ReplicaId replica : m_replicaSelector.followed()) {
        const LinkHandle link = m_links.linkTo(replica);
        if (link != 0 && std::exchange(m_directoryLinks[replica], link) != link) {
            // The table is requested first: behind a whole directory it would be delayed by 70 ms on a link of 2 Mbit/s, and
            // both are needed to steer.
            if (m_steering.version() == 0) {
                m_links.send(link, RoutingRequest{});
            }
            m_links.send(link, m_follower.request(replica));
        }
    }
}

void SteeringNode::onEstablished(LinkHandle /*link*/, const NodeHello &peer)
{
    m_replicaSelector.onLinkUp(monotonicNow(), peer.replica);
    LogLine(LogLevel::Info, "replica-link-up").with("replica", toText(peer.replica));
}

void SteeringNode::onClosed(LinkHandle link, const NodeHello &peer)
{
    LogLine(LogLevel::Warning, "replica-link-lost").with("replica", toText(peer.replica)).with("ready", m_ready);
    m_offeredVersions.erase(link);
    m_replicaSelector.onLinkLost(monotonicNow(), peer.replica);
    m_follower.lost(peer.replica);
    m_directoryLinks.erase(peer.replica);
    const bool others = !m_links.dialled().empty();
    if (others && m_replicaLists.erase(peer.replica) > 0) {
        updateReplicas();
    }
}

void SteeringNode::onMessage(LinkHandle link, const NodeHello &peer, const NodeMessage &message)
{
    if (const auto *page = std::get_if<DirectoryPage>(&message)) {
        onPage(link, peer.replica, *page);
    } else if (const auto *unreachable = std::get_if<LifetimesUnreachable>(&message)) {
        onUnreachable(*unreachable);
    } else if (const auto *list = std::get_if<ReplicaList>(&message)) {
        m_replicaLists[peer.replica] = list->replicas;
        updateReplicas();
    } else if (const auto *offer = std::get_if<RoutingOffer>(&message)) {
        if (offer->confirmed) {
            m_replicaSelector.onQuorumConfirmed(monotonicNow(), peer.replica);
        }
        onOffer(link, *offer);
        selectReplicas();
    } else if (const auto *update = std::get_if<RoutingUpdate>(&message)) {
        onUpdate(*update);
    } else if (const auto *pins = std::get_if<OpeningPins>(&message)) {
        onPins(peer, *pins);
    }
    updateReadiness();
}

void SteeringNode::onPage(LinkHandle link, ReplicaId replica, const DirectoryPage &page)
{
    switch (m_follower.apply(monotonicNow(), replica, page)) {
    case PageResult::Applied:
        break;
    case PageResult::Completed:
        m_replicaSelector.onDirectoryComplete(replica);
        selectReplicas();
        break;
    case PageResult::Gap:
        LogLine(LogLevel::Warning, "directory-gap").with("replica", toText(replica)).with("after", page.after);
        m_links.send(link, m_follower.request(replica));
        return;
    case PageResult::Malformed:
        LogLine(LogLevel::Error, "directory-page-malformed").with("replica", toText(replica)).with("after", page.after);
        return;
    }
    // Held packets wait for the last page: with a partial directory all new flows would go to the targets of its first pages.
    if (!m_informed && page.last) {
        m_onRoutingData();
    }
}

// ---- Targets that are gone ----

void SteeringNode::setResetHandler(std::function<void(std::span<const FlowReset>)> sendResets)
{
    m_sendResets = std::move(sendResets);
}

void SteeringNode::onUnreachable(const LifetimesUnreachable &list)
{
    const TimePoint now = monotonicNow();
    m_stallDetector.tick(now);
    if (m_stallDetector.longStallWithin(now, StaleResultWindow)) {
        LogLine(LogLevel::Info, "stale-results-dropped").with("replica", toText(list.reporter.replica)).with("targets", list.lifetimes.size());
        return;
    }
    for (const TargetLifetime &lifetime : list.lifetimes) {
        if (m_probeFindings.unreachable(now, list.reporter, lifetime) && m_steering.targets().declareGone(now, lifetime)) {
            LogLine(LogLevel::Info, "target-gone").with("target", value(lifetime.key)).with("replica", toText(list.reporter.replica));
        }
    }
    resetFlows();
}

// Called after each batch of packets, as a target that does not answer opening packets must be found gone within 400 ms, of which
// the probes take 300 ms: waiting for the timer would cost up to 50 ms. Reports that follow wait for the timer: during an overload
// a message for each batch was 140 a second for a link of 2 Mbit/s.
void SteeringNode::reportUnanswered(TimePoint now)
{
    if (now < m_reportDue) {
        return;
    }
    const TargetsUnanswered unanswered{m_steering.takeUnanswered()};
    if (!unanswered.keys.empty() && m_replicaSelector.source()) {
        m_reportDue = now + SteeringTickInterval;
        m_links.send(m_links.linkTo(*m_replicaSelector.source()), unanswered);
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
    m_offeredVersions[link] = offer.progress.version;
    if (offer.confirmed) {
        m_confirmedVersion = std::max(m_confirmedVersion, offer.progress.version);
    }
    applyDrains(offer);
    requestTableIfBehind(monotonicNow());
}

// Each offer carries the full set of drained data centres, so a lost one is made up for by the next, 500 ms later.
void SteeringNode::applyDrains(const RoutingOffer &offer)
{
    if (offer.progress.drainRevision <= m_drainRevision) {
        return;
    }
    m_drainRevision = offer.progress.drainRevision;
    m_steering.setDrained(monotonicNow(), offer.drained);
    LogLine(LogLevel::Info, "data-centres-drained").with("revision", m_drainRevision).with("drained", offer.drained.size());
}

void SteeringNode::requestTableIfBehind(TimePoint now)
{
    if (now < m_fetchDue) {
        return;
    }
    LinkHandle best = 0;
    std::uint64_t highest = m_steering.version();
    for (const auto &[link, version] : m_offeredVersions) {
        // Of replicas with the same version, prefer another one than was asked last, in case that one does not answer.
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
        m_fetchDue = now + MinRoutingFetchInterval;
    }
    if (!update.table.isValid()) {
        LogLine(LogLevel::Error, "routing-table-malformed").with("version", update.table.version).with("routes", update.table.routes.size());
        return;
    }
    if (m_steering.apply(update.table)) {
        LogLine(LogLevel::Info, "routing-applied").with("version", update.table.version).with("routes", update.table.routes.size());
        if (!m_informed) {
            m_onRoutingData();
        }
    }
}

// ---- Admission ----

// Logs when the limit on the new flows of a pool or of the link begins and ends, with the measurements that it follows from.
void SteeringNode::logAdmission()
{
    const AdmissionControl &admission = m_steering.admission().control();
    for (const auto &[key, pool] : admission.pools()) {
        const bool limited = pool.limiting();
        if (limited == m_limitedPools.contains(key)) {
            continue;
        }
        limited ? static_cast<void>(m_limitedPools.insert(key)) : static_cast<void>(m_limitedPools.erase(key));
        if (const auto leftOut = m_admissionLog.take(m_now)) {
            LogLine(LogLevel::Info, limited ? "admission-limited" : "admission-unlimited")
                .with("service", m_steering.admission().serviceName(key.service))
                .with("data-centre", static_cast<int>(value(key.dataCentre)))
                .with("limit", pool.limiter().limit().value_or(0))
                .with("arrivals", pool.limiter().arrivalRate())
                .with("answer-ms", toMilliseconds(pool.meanAnswerTime()))
                .with("usual-ms", toMilliseconds(admission.usualAnswerTime(key.service)))
                .with("rejected", pool.rejectedShare())
                .with("left-out", *leftOut);
        }
    }
    const bool linkLimited = admission.link().limiter().refusesAny();
    if (linkLimited != std::exchange(m_linkLimited, linkLimited)) {
        if (const auto leftOut = m_admissionLog.take(m_now)) {
            LogLine(LogLevel::Info, linkLimited ? "link-limited" : "link-unlimited").with("used", admission.link().used()).with("left-out", *leftOut);
        }
    }
}

// ---- Counters and metrics ----

void SteeringNode::countBytes(std::size_t received, std::size_t sent)
{
    m_steering.recordBytes(received, sent);
}

void SteeringNode::countHeldTooLong(std::uint64_t packets)
{
    m_heldTooLong += packets;
    if (packets > 0) {
        LogLine(LogLevel::Warning, "held-too-long").with("packets", packets);
    }
}

const SteeringSettings &SteeringNode::settings() const
{
    return m_file;
}

std::string SteeringNode::metricsText() const
{
    SteeringNodeCounters counters;
    counters.ready = m_ready;
    counters.drainRevision = m_drainRevision;
    counters.replicaLinks = m_links.dialled().size();
    counters.flowsReset = m_flowsReset;
    counters.malformed = m_malformed;
    counters.heldTooLong = m_heldTooLong;
    counters.droppedLogLines = droppedLogLines();
    PrometheusWriter text;
    writeSteeringMetrics(text, monotonicNow(), m_file, counters, m_steering);
    m_packetLoss.writeMetrics(text);
    writePinMetrics(text);
    m_links.writeMetrics(text);
    return text.text();
}

std::string SteeringNode::excludedTargetsText() const
{
    return excludedTargetsJson(monotonicNow(), m_file, m_steering);
}

} // namespace Robinrail

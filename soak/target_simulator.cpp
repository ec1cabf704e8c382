// SPDX-License-Identifier: MIT
// Target simulator: implementation.
#include "target_simulator.h"

#include "log.h"
#include "settings.h"

#include <sstream>

namespace Robinrail::Soak {

using Platform::WirePacket;

namespace {

constexpr Duration AnnounceInterval = milliseconds(770);

// Of the births of two lifetimes of one target, milliseconds.
constexpr std::uint64_t BirthDistance = 1000;

// Added to the milliseconds of the monotonic clock.
constexpr std::uint64_t FirstBirth = 1'764'720'000'000;

constexpr milliseconds CallTimeout{1000};

// A drain that no replica confirms ends after the timeout; a confirmed one lasts a little longer than DrainDeadline.
constexpr Duration UnconfirmedDrainTimeout = seconds(9);
constexpr Duration LingerAfterDrain = milliseconds(1500);

// Limits for the filler of an answer, the data of a packet, and the processing time of a request.
constexpr std::size_t MaxAnswerBytes = 4000;
constexpr std::size_t PacketBytes = 1200;
constexpr milliseconds MaxWorkTime{30};

// Unacknowledged data is resent up to MaxResends times, after a delay that doubles from the first to the maximum.
constexpr Duration FirstResendDelay = milliseconds(200);
constexpr Duration MaxResendDelay = milliseconds(1600);
constexpr int MaxResends = 8;

constexpr std::uint32_t SlotsPerTarget = 3; // As announced; without overload, any number of requests is processed.

// Processing time of a request in runs with overload. The targets of the first service then process 250 requests per second, less
// than half of what they are sent in an overload.
constexpr milliseconds MinSlotTime{20};
constexpr milliseconds MaxSlotTime{60};

} // namespace

std::string formatRequest(const TargetRequest &request)
{
    return std::to_string(request.number) + (request.repeatable ? " 1" : " 0");
}

std::optional<TargetRequest> parseRequest(BytesView bytes)
{
    std::istringstream text(std::string(bytes.begin(), bytes.end()));
    TargetRequest request;
    if (!(text >> request.number >> request.repeatable)) {
        return std::nullopt;
    }
    return request;
}

std::string formatAnswer(std::uint64_t number, const std::string &service, std::size_t bytes)
{
    std::string text = std::to_string(number) + " " + service + " ";
    text.append(bytes, 'x');
    text.push_back('\n');
    return text;
}

std::string formatRejection(std::uint64_t number, const std::string &service)
{
    return std::to_string(number) + " " + service + " 503\n";
}

TargetSimulator::TargetSimulator(boost::asio::io_context &io,
                                 const Topology &topology,
                                 const FaultTracker &faults,
                                 AdmissionOrderChecker &admissionOrder,
                                 Violations &violations,
                                 std::uint64_t seed)
    : m_io(io)
    , m_topology(topology)
    , m_faults(faults)
    , m_admissionOrder(admissionOrder)
    , m_violations(violations)
    , m_random(seed)
    , m_hosts(topology.targets)
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        const Endpoint endpoint{topology.target(i), Topology::TargetPort};
        m_hosts[i].socket = std::make_unique<DatagramSocket>(io, endpoint, [this, i](Endpoint from, BytesView datagram) {
            receive(i, from, datagram);
        });
    }
}

// ---- Lifetimes ----

void TargetSimulator::startTarget(TimePoint now, std::size_t host)
{
    Target target;
    target.host = host;
    target.record.key = TargetKey{(std::uint64_t{m_random()} >> 16U) | 1U};
    if (const auto previous = std::exchange(m_hosts[host].previous, std::nullopt)) {
        target.record.key = previous->key;
        target.record.born = previous->born + BirthDistance;
    } else if (m_topology.births) {
        target.record.born = FirstBirth + static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
    }
    // Each service has half of the hosts.
    target.record.service = Services[host < m_hosts.size() / 2 ? 0 : 1];
    target.record.address = {m_topology.target(host), Topology::TargetPort};
    target.record.dataCentre = DataCentreId{static_cast<std::uint8_t>(1 + host % DataCentres.size())};
    target.record.slots = m_topology.overload ? SlotsUnderOverload : SlotsPerTarget;
    target.nextAnnounceAt = now;
    target.startedAt = now;
    target.replica = uniformIndex(m_random, m_topology.replicas);
    const Endpoint address = target.record.address;
    m_hosts[host].target = std::move(target);
    m_hosts[host].health = std::make_unique<HttpServer>(m_io, [](const HttpRequest &, const HttpResponder &respond) {
        constexpr unsigned Ok = 200;
        respond({Ok, "application/json", "{}", {}});
    });
    if (!m_hosts[host].health->listen(address)) {
        LogLine(LogLevel::Error, "health-not-bound").with("address", toText(address));
    }
}

void TargetSimulator::stopTarget(Host &host)
{
    host.target.reset();
    host.health.reset();
}

void TargetSimulator::crash(TimePoint now, milliseconds downtime)
{
    Host &host = m_hosts[uniformIndex(m_random, m_hosts.size())];
    if (host.target) {
        LogLine(LogLevel::Info, "target-crashed").with("target", value(host.target->record.key));
        stopTarget(host);
        host.nextStartAt = now + downtime;
    }
}

void TargetSimulator::restart(TimePoint now, milliseconds downtime)
{
    Host &host = m_hosts[uniformIndex(m_random, m_hosts.size())];
    if (host.target) {
        const TargetRecord &record = host.target->record;
        LogLine(LogLevel::Info, "target-restarts").with("target", value(record.key)).with("born", record.born);
        host.previous = TargetLifetime{record.key, record.born};
        stopTarget(host);
        host.nextStartAt = now + downtime;
    }
}

void TargetSimulator::drain(TimePoint now)
{
    Host &host = m_hosts[uniformIndex(m_random, m_hosts.size())];
    if (host.target && host.target->record.phase == TargetPhase::Serving) {
        LogLine(LogLevel::Info, "target-drains").with("target", value(host.target->record.key));
        host.target->record.phase = TargetPhase::Draining;
        host.target->nextAnnounceAt = now;
        host.target->leaveAt = now + UnconfirmedDrainTimeout;
    }
}

void TargetSimulator::answerLate(TimePoint until, milliseconds delay)
{
    std::optional<Target> &target = m_hosts[uniformIndex(m_random, m_hosts.size())].target;
    if (target) {
        LogLine(LogLevel::Info, "target-answers-late").with("target", value(target->record.key)).with("delay-ms", delay.count());
        target->lateUntil = until;
        target->openingDelay = delay;
    }
}

void TargetSimulator::slowDown(TimePoint until, int slowness)
{
    std::optional<Target> &target = m_hosts[uniformIndex(m_random, m_hosts.size())].target;
    if (target) {
        LogLine(LogLevel::Info, "target-slow").with("target", value(target->record.key)).with("slowness", slowness);
        target->slowUntil = until;
        target->slowness = slowness;
    }
}

void TargetSimulator::leave(TimePoint now, Host &host)
{
    const Endpoint replica{m_topology.replica(host.target->replica), Topology::ControlPort};
    startHttpRequest(m_io, replica, {"DELETE", Platform::targetPath(host.target->record.key), {}, {}, {}}, CallTimeout, [](const auto &) {
        // A target that ends doesn't wait for the answer.
    });
    stopTarget(host);
    host.nextStartAt = now + AnnounceInterval;
}

void TargetSimulator::announce(TimePoint now, Host &host)
{
    Target &target = *host.target;
    if (target.callPending || now < target.nextAnnounceAt) {
        return;
    }
    target.callPending = true;
    ++target.record.sequence;
    const Endpoint replica{m_topology.replica(target.replica), Topology::ControlPort};
    const std::string &dataCentre = DataCentres[value(target.record.dataCentre) - 1];
    const HttpRequest request{"PUT", Platform::targetPath(target.record.key), {}, {}, Platform::serializeAnnouncement(target.record, dataCentre)};
    const TargetPhase phase = target.record.phase;
    startHttpRequest(
        m_io,
        replica,
        request,
        CallTimeout,
        [this, lifetime = TargetLifetime{target.record.key, target.record.born}, index = target.host, phase](const std::optional<HttpResponse> &reply) {
            constexpr unsigned Ok = 200;
            handleAnnounceReply(lifetime, index, phase, reply && reply->status == Ok);
        });
}

void TargetSimulator::handleAnnounceReply(TargetLifetime lifetime, std::size_t host, TargetPhase phase, bool accepted)
{
    const TimePoint now = monotonicNow();
    std::optional<Target> &target = m_hosts[host].target;
    if (!target || TargetLifetime{target->record.key, target->record.born} != lifetime) {
        return;
    }
    target->callPending = false;
    target->nextAnnounceAt = accepted ? now + AnnounceInterval : now;
    if (!accepted) {
        target->replica = (target->replica + 1) % m_topology.replicas;
        target->nextAnnounceAt = now + TickInterval * 10;
    } else if (phase == TargetPhase::Draining && !target->drainConfirmedAt) {
        target->drainConfirmedAt = now;
        target->leaveAt = now + DrainDeadline + LingerAfterDrain;
    }
}

void TargetSimulator::tick(TimePoint now)
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        Host &host = m_hosts[i];
        if (!host.target && now >= host.nextStartAt) {
            startTarget(now, i);
        }
        if (!host.target) {
            continue;
        }
        announce(now, host);
        advanceFlows(now, host);
        sendLateAnswers(now, host);
        if (host.target->record.phase == TargetPhase::Draining && now >= host.target->leaveAt) {
            leave(now, host);
        }
    }
}

// ---- Packets ----

void TargetSimulator::receive(std::size_t index, Endpoint from, BytesView datagram)
{
    const TimePoint now = monotonicNow();
    Host &host = m_hosts[index];
    const std::optional<Platform::AddressedPacket> addressed = Platform::decodeAddressedPacket(datagram);
    const std::optional<WirePacket> packet = addressed ? Platform::decodePacket(addressed->packet) : std::nullopt;
    if (!packet) {
        m_violations.report("packets are delivered intact", "unreadable packet at " + toText({m_topology.target(index), Topology::TargetPort}));
        return;
    }
    // Ignores packets for a target that no longer runs here.
    if (!host.target || addressed->target != host.target->record.key) {
        return;
    }
    packet->opening ? handleOpening(now, host, *packet, from) : handleFlowPacket(now, host, *packet);
}

bool TargetSimulator::isExpectedCurrent(TimePoint now, std::uint32_t balancer) const
{
    return !m_faults.recentlyFaulty(now, balancer) && m_faults.replicaQuorumHealthy(now, m_topology);
}

void TargetSimulator::checkOpening(TimePoint now, const Target &target, const WirePacket &packet, std::uint32_t balancer)
{
    const std::string where = toText(packet.from) + " to " + toText(packet.to) + " by " + addressText({balancer, 0});
    if (serviceForRoute(packet.to) != target.record.service) {
        m_violations.report("flows reach their service", where);
    }
    if (target.drainConfirmedAt && now - *target.drainConfirmedAt > DrainDeadline && isExpectedCurrent(now, balancer)) {
        m_violations.report("a draining target gets no new flow", where);
    }
    const bool drained = DataCentres[value(target.record.dataCentre) - 1] == DrainedDataCentre;
    if (drained && m_drainedSince && now - *m_drainedSince > ApplyDeadline && isExpectedCurrent(now, balancer)) {
        m_violations.report("a drained data centre gets no new flow", where);
    }
    if (packet.to == ChangingRoute && m_routeRemovedSince && now - *m_routeRemovedSince > ApplyDeadline && isExpectedCurrent(now, balancer)) {
        m_violations.report("a removed route gets no new flow", where);
    }
}

void TargetSimulator::handleOpening(TimePoint now, Host &host, const WirePacket &packet, Endpoint balancer)
{
    Target &target = *host.target;
    checkOpening(now, target, packet, balancer.address);
    Flow &flow = target.flows[{packet.from, packet.to}];
    if (flow.open) {
        return;
    }
    const bool firstCopy = packet.acknowledged == 0 && !flow.seenFirstCopy; // The field holds the number of the copy.
    const bool ownDataCentre = value(target.record.dataCentre) == 1 + dataCentreOfBalancer(balancer.address);
    if (firstCopy && ownDataCentre && !m_faults.recentlyFaulty(now, balancer.address)) {
        m_admissionOrder.recordAdmission(now, balancer.address, packet.to);
    }
    flow.seenFirstCopy = flow.seenFirstCopy || firstCopy;
    if (flow.firstSequence == 0) {
        flow.firstSequence = static_cast<std::uint32_t>(m_random()) | 1U;
    }
    flow.nextSequence = flow.firstSequence + 1;
    flow.acknowledged = flow.nextSequence;
    flow.expectedSequence = packet.sequence + 1;
    flow.token = packet.token;
    const WirePacket answer{packet.to, packet.from, flow.token, flow.firstSequence, flow.expectedSequence, true, true, false, false, {}};
    if (now < target.lateUntil) {
        target.lateAnswers.push_back({now + target.openingDelay, {packet.from.address, Topology::PacketPort}, Platform::encodePacket(answer)});
    } else {
        reply(host, answer);
    }
}

void TargetSimulator::sendLateAnswers(TimePoint now, Host &host)
{
    std::erase_if(host.target->lateAnswers, [now, &host](const LateAnswer &answer) {
        if (now < answer.sendAt) {
            return false;
        }
        host.socket->send(answer.to, BytesView(answer.packet));
        return true;
    });
}

void TargetSimulator::handleFlowPacket(TimePoint now, Host &host, const WirePacket &packet)
{
    Target &target = *host.target;
    const auto at = target.flows.find({packet.from, packet.to});
    const bool known = at != target.flows.end() && (at->second.open || packet.acknowledged == at->second.firstSequence + 1);
    if (!known) {
        if (!packet.reset) {
            reply(host, {packet.to, packet.from, packet.token, packet.acknowledged, packet.sequence, false, false, false, true, {}});
        }
        return;
    }
    Flow &flow = at->second;
    flow.open = true;
    flow.token = packet.token;
    if (packet.closing || packet.reset) {
        target.flows.erase(at);
        return;
    }
    const std::uint32_t progress = packet.acknowledged - flow.acknowledged;
    if (progress > 0 && progress <= flow.unacknowledged.size()) {
        flow.unacknowledged.erase(flow.unacknowledged.begin(), flow.unacknowledged.begin() + progress);
        flow.acknowledged = packet.acknowledged;
        flow.resends = 0;
        flow.nextActionAt = now + FirstResendDelay;
    }
    if (!packet.data.empty() && packet.sequence == flow.expectedSequence) {
        flow.expectedSequence += static_cast<std::uint32_t>(packet.data.size());
        if (const std::optional<TargetRequest> request = parseRequest(packet.data)) {
            execute(now, target, flow, *request);
        }
    }
}

void TargetSimulator::execute(TimePoint now, Target &target, Flow &flow, const TargetRequest &request)
{
    const std::size_t answerBytes = uniformIndex(m_random, MaxAnswerBytes);
    const std::optional<TimePoint> doneAt = scheduleWork(now, target);
    if (!doneAt) {
        ++m_rejectedRequests;
        flow.pendingAnswer = formatRejection(request.number, target.record.service);
        flow.nextActionAt = now;
        return;
    }
    ++m_executedRequests;
    if (!request.repeatable && !m_executedOnce.insert(request.number).second) {
        m_violations.report("a non-repeatable request is executed once", std::to_string(request.number));
    }
    flow.pendingAnswer = formatAnswer(request.number, target.record.service, answerBytes);
    flow.nextActionAt = *doneAt;
}

std::optional<TimePoint> TargetSimulator::scheduleWork(TimePoint now, Target &target)
{
    if (!m_topology.overload) {
        return now + uniformDuration(m_random, milliseconds(2), MaxWorkTime);
    }
    const milliseconds work = uniformDuration(m_random, MinSlotTime, MaxSlotTime);
    return target.slots.add(now, now < target.slowUntil ? work * target.slowness : work);
}

void TargetSimulator::advanceFlows(TimePoint now, Host &host)
{
    for (auto at = host.target->flows.begin(); at != host.target->flows.end();) {
        Flow &flow = at->second;
        if (flow.pendingAnswer && now >= flow.nextActionAt) {
            flow.unacknowledged.assign(flow.pendingAnswer->begin(), flow.pendingAnswer->end());
            flow.pendingAnswer.reset();
            flow.resends = 0;
            transmit(now, host, at->first, flow);
        } else if (!flow.pendingAnswer && !flow.unacknowledged.empty() && now >= flow.nextActionAt) {
            if (++flow.resends > MaxResends) {
                at = host.target->flows.erase(at);
                continue;
            }
            transmit(now, host, at->first, flow);
        }
        ++at;
    }
}

// Sends all data that the caller has not acknowledged.
void TargetSimulator::transmit(TimePoint now, Host &host, const FlowMap::key_type &key, Flow &flow)
{
    const BytesView unacknowledged(flow.unacknowledged);
    for (std::size_t at = 0; at < unacknowledged.size(); at += PacketBytes) {
        const BytesView part = unacknowledged.subspan(at, std::min(PacketBytes, unacknowledged.size() - at));
        const std::uint32_t sequence = flow.acknowledged + static_cast<std::uint32_t>(at);
        reply(host, {key.second, key.first, flow.token, sequence, flow.expectedSequence, false, true, false, false, part});
    }
    flow.nextSequence = flow.acknowledged + static_cast<std::uint32_t>(unacknowledged.size());
    flow.nextActionAt = now + std::min(FirstResendDelay * (1 << std::min(flow.resends, 3)), MaxResendDelay);
}

void TargetSimulator::reply(Host &host, const WirePacket &packet)
{
    host.socket->send({packet.to.address, Topology::PacketPort}, BytesView(Platform::encodePacket(packet)));
}

// ---- Queries ----

template<typename Predicate>
bool TargetSimulator::anyHasFlow(const FlowKey &flow, Predicate holds) const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [&](const Host &host) {
        if (!host.target) {
            return false;
        }
        const auto at = host.target->flows.find({flow.caller, flow.route});
        return at != host.target->flows.end() && holds(at->second);
    });
}

bool TargetSimulator::isFlowOpen(const FlowKey &flow) const
{
    return anyHasFlow(flow, std::mem_fn(&Flow::open));
}

bool TargetSimulator::hasSeenFirstCopy(const FlowKey &flow) const
{
    return anyHasFlow(flow, std::mem_fn(&Flow::seenFirstCopy));
}

bool TargetSimulator::hasRunFor(TimePoint now, TargetKey key, Duration age) const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [&](const Host &host) {
        return host.target && host.target->record.key == key && now - host.target->startedAt >= age;
    });
}

bool TargetSimulator::faultFree(TimePoint now) const
{
    return std::all_of(m_hosts.begin(), m_hosts.end(), [now](const Host &host) {
        return host.target && host.target->record.phase == TargetPhase::Serving && now >= std::max(host.target->slowUntil, host.target->lateUntil);
    });
}

bool TargetSimulator::isTargetAddress(Endpoint sender) const
{
    return sender.address >= m_topology.target(0) && sender.address <= m_topology.target(m_hosts.size() - 1);
}

void TargetSimulator::setRouteRemovedSince(std::optional<TimePoint> since)
{
    m_routeRemovedSince = since;
}

void TargetSimulator::setDrainedSince(std::optional<TimePoint> since)
{
    m_drainedSince = since;
}

std::size_t TargetSimulator::executedRequests() const
{
    return m_executedRequests;
}

std::size_t TargetSimulator::rejectedRequests() const
{
    return m_rejectedRequests;
}

} // namespace Robinrail::Soak

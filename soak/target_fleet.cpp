// SPDX-License-Identifier: MIT
// Target fleet: implementation.
#include "target_fleet.h"

#include "log.h"
#include "settings.h"

#include <sstream>

namespace Robinrail::Soak {

using Platform::WirePacket;

namespace {

constexpr Duration AnnounceInterval = milliseconds(770);
constexpr milliseconds CallTimeout{1000};

// A drain that nobody confirms ends all the same; one that was confirmed goes on for a little.
constexpr Duration UnconfirmedDrain = seconds(9);
constexpr Duration LingerAfterDrain = milliseconds(1500);

// Bytes of an answer, of one packet, and the time that one request takes at most.
constexpr std::size_t LargestAnswer = 4000;
constexpr std::size_t PacketBytes = 1200;
constexpr milliseconds MaxWorkTime{30};

// Data without an acknowledgement is sent again after this, twice as late each time, and so often.
constexpr Duration FirstResend = milliseconds(200);
constexpr Duration MaxResendDelay = milliseconds(1600);
constexpr int MaxTries = 8;

constexpr std::uint32_t SlotsPerTarget = 3;

} // namespace

std::string writeRequest(const RequestText &request)
{
    return std::to_string(request.number) + (request.repeatable ? " 1" : " 0");
}

std::optional<RequestText> readRequest(BytesView bytes)
{
    std::istringstream text(std::string(bytes.begin(), bytes.end()));
    RequestText request;
    if (!(text >> request.number >> request.repeatable)) {
        return std::nullopt;
    }
    return request;
}

std::string writeAnswer(std::uint64_t number, const std::string &service, std::size_t bytes)
{
    std::string text = std::to_string(number) + " " + service + " ";
    text.append(bytes, 'x');
    text.push_back('\n');
    return text;
}

TargetFleet::TargetFleet(boost::asio::io_context &io, const Plan &plan, const Trouble &trouble, Promises &promises, std::uint64_t seed)
    : m_io(io)
    , m_plan(plan)
    , m_trouble(trouble)
    , m_promises(promises)
    , m_random(seed)
    , m_places(plan.targets)
{
    for (std::size_t i = 0; i < m_places.size(); ++i) {
        const Endpoint endpoint{plan.target(i), Plan::TargetPort};
        m_places[i].socket = std::make_unique<DatagramSocket>(io, endpoint, [this, i](Endpoint from, BytesView datagram) {
            receive(i, from, datagram);
        });
    }
}

// ---- Lifetimes ----

void TargetFleet::begin(TimePoint now, std::size_t place)
{
    Target target;
    target.place = place;
    target.record.key = TargetKey{(std::uint64_t{m_random()} >> 16U) | 1U};
    if (const auto former = std::exchange(m_places[place].former, std::nullopt)) {
        target.record.key = former->key;
        target.record.born = former->born + 1;
    }
    // Half of the places belong to each service.
    target.record.service = Services[place < m_places.size() / 2 ? 0 : 1];
    target.record.address = {m_plan.target(place), Plan::TargetPort};
    target.record.dataCentre = DataCentreId{static_cast<std::uint8_t>(1 + place % DataCentres.size())};
    target.record.slots = SlotsPerTarget;
    target.announceDue = now;
    target.replica = pick(m_random, m_plan.replicas);
    const Endpoint address = target.record.address;
    m_places[place].target = std::move(target);
    m_places[place].health = std::make_unique<HttpServer>(m_io, [](const HttpRequest &, const HttpResponder &respond) {
        constexpr unsigned Ok = 200;
        respond({Ok, "application/json", "{}", {}});
    });
    if (!m_places[place].health->listen(address)) {
        LogLine(LogLevel::Error, "health-not-bound").with("address", toText(address));
    }
}

void TargetFleet::end(Place &place)
{
    place.target.reset();
    place.health.reset();
}

void TargetFleet::crash(TimePoint now, milliseconds pause)
{
    Place &place = m_places[pick(m_random, m_places.size())];
    if (place.target) {
        LogLine(LogLevel::Info, "target-crashed").with("target", value(place.target->record.key));
        end(place);
        place.nextDue = now + pause;
    }
}

void TargetFleet::restart(TimePoint now, milliseconds pause)
{
    Place &place = m_places[pick(m_random, m_places.size())];
    if (place.target) {
        const TargetRecord &record = place.target->record;
        LogLine(LogLevel::Info, "target-restarts").with("target", value(record.key)).with("born", record.born);
        place.former = TargetLifetime{record.key, record.born};
        end(place);
        place.nextDue = now + pause;
    }
}

void TargetFleet::drain(TimePoint now)
{
    Place &place = m_places[pick(m_random, m_places.size())];
    if (place.target && place.target->record.phase == TargetPhase::Serving) {
        LogLine(LogLevel::Info, "target-drains").with("target", value(place.target->record.key));
        place.target->record.phase = TargetPhase::Draining;
        place.target->announceDue = now;
        place.target->leaveDue = now + UnconfirmedDrain;
    }
}

void TargetFleet::leave(TimePoint now, Place &place)
{
    const Endpoint replica{m_plan.replica(place.target->replica), Plan::ControlPort};
    startHttpRequest(m_io, replica, {"DELETE", Platform::targetPath(place.target->record.key), {}, {}, {}}, CallTimeout, [](const auto &) {
        // A target that ends does not wait for the answer.
    });
    end(place);
    place.nextDue = now + AnnounceInterval;
}

void TargetFleet::announce(TimePoint now, Place &place)
{
    Target &target = *place.target;
    if (target.calling || now < target.announceDue) {
        return;
    }
    target.calling = true;
    ++target.record.sequence;
    const Endpoint replica{m_plan.replica(target.replica), Plan::ControlPort};
    const std::string &dataCentre = DataCentres[value(target.record.dataCentre) - 1];
    const HttpRequest request{"PUT", Platform::targetPath(target.record.key), {}, {}, Platform::serializeAnnouncement(target.record, dataCentre)};
    const TargetPhase phase = target.record.phase;
    startHttpRequest(
        m_io,
        replica,
        request,
        CallTimeout,
        [this, lifetime = TargetLifetime{target.record.key, target.record.born}, index = target.place, phase](const std::optional<HttpResponse> &reply) {
            constexpr unsigned Ok = 200;
            announced(lifetime, index, phase, reply && reply->status == Ok);
        });
}

void TargetFleet::announced(TargetLifetime lifetime, std::size_t place, TargetPhase phase, bool taken)
{
    const TimePoint now = monotonicNow();
    std::optional<Target> &target = m_places[place].target;
    if (!target || TargetLifetime{target->record.key, target->record.born} != lifetime) {
        return;
    }
    target->calling = false;
    target->announceDue = taken ? now + AnnounceInterval : now;
    if (!taken) {
        target->replica = (target->replica + 1) % m_plan.replicas;
        target->announceDue = now + StandinTick * 10;
    } else if (phase == TargetPhase::Draining && !target->drainConfirmed) {
        target->drainConfirmed = now;
        target->leaveDue = now + DrainTime + LingerAfterDrain;
    }
}

void TargetFleet::tick(TimePoint now)
{
    for (std::size_t i = 0; i < m_places.size(); ++i) {
        Place &place = m_places[i];
        if (!place.target && now >= place.nextDue) {
            begin(now, i);
        }
        if (!place.target) {
            continue;
        }
        announce(now, place);
        serveFlows(now, place);
        if (place.target->record.phase == TargetPhase::Draining && now >= place.target->leaveDue) {
            leave(now, place);
        }
    }
}

// ---- Packets ----

void TargetFleet::receive(std::size_t index, Endpoint from, BytesView datagram)
{
    const TimePoint now = monotonicNow();
    Place &place = m_places[index];
    const std::optional<Platform::AddressedPacket> addressed = Platform::decodeAddressedPacket(datagram);
    const std::optional<WirePacket> packet = addressed ? Platform::decodePacket(addressed->packet) : std::nullopt;
    if (!packet) {
        m_promises.broken("packets stay whole", "unreadable packet at " + toText({m_plan.target(index), Plan::TargetPort}));
        return;
    }
    // A packet for another lifetime is left alone.
    if (!place.target || addressed->target != place.target->record.key) {
        return;
    }
    packet->opening ? opening(now, place, *packet, from) : later(now, place, *packet);
}

bool TargetFleet::inTouch(TimePoint now, std::uint32_t balancer) const
{
    return !m_trouble.near(now, balancer) && m_trouble.controlCalm(now, m_plan);
}

void TargetFleet::checkOpening(TimePoint now, const Target &target, const WirePacket &packet, std::uint32_t balancer)
{
    const std::string where = toText(packet.from) + " to " + toText(packet.to) + " by " + addressText({balancer, 0});
    if (serviceOf(packet.to) != target.record.service) {
        m_promises.broken("flows reach their service", where);
    }
    if (target.drainConfirmed && now - *target.drainConfirmed > DrainTime && inTouch(now, balancer)) {
        m_promises.broken("a draining target gets no new flow", where);
    }
    const bool drained = DataCentres[value(target.record.dataCentre) - 1] == DrainedDataCentre;
    if (drained && m_drained && now - *m_drained > ApplyTime && inTouch(now, balancer)) {
        m_promises.broken("a drained data centre gets no new flow", where);
    }
    if (packet.to == ChangingRoute && m_routeGone && now - *m_routeGone > ApplyTime && inTouch(now, balancer)) {
        m_promises.broken("a removed route takes no new flow", where);
    }
}

void TargetFleet::opening(TimePoint now, Place &place, const WirePacket &packet, Endpoint balancer)
{
    Target &target = *place.target;
    checkOpening(now, target, packet, balancer.address);
    Flow &flow = target.flows[{packet.from, packet.to}];
    if (flow.open) {
        return;
    }
    if (flow.first == 0) {
        flow.first = static_cast<std::uint32_t>(m_random()) | 1U;
    }
    flow.sent = flow.first + 1;
    flow.acknowledged = flow.sent;
    flow.expected = packet.sequence + 1;
    flow.token = packet.token;
    reply(place, {packet.to, packet.from, flow.token, flow.first, flow.expected, true, true, false, false, {}});
}

void TargetFleet::later(TimePoint now, Place &place, const WirePacket &packet)
{
    Target &target = *place.target;
    const auto at = target.flows.find({packet.from, packet.to});
    const bool known = at != target.flows.end() && (at->second.open || packet.acknowledged == at->second.first + 1);
    if (!known) {
        if (!packet.reset) {
            reply(place, {packet.to, packet.from, packet.token, packet.acknowledged, packet.sequence, false, false, false, true, {}});
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
    if (progress > 0 && progress <= flow.unsent.size()) {
        flow.unsent.erase(flow.unsent.begin(), flow.unsent.begin() + progress);
        flow.acknowledged = packet.acknowledged;
        flow.tries = 0;
        flow.due = now + FirstResend;
    }
    if (!packet.data.empty() && packet.sequence == flow.expected) {
        flow.expected += static_cast<std::uint32_t>(packet.data.size());
        if (const std::optional<RequestText> request = readRequest(packet.data)) {
            run(now, target, flow, *request);
        }
    }
}

void TargetFleet::run(TimePoint now, Target &target, Flow &flow, const RequestText &request)
{
    ++m_runs;
    if (!request.repeatable && !m_ranOnce.insert(request.number).second) {
        m_promises.broken("a request that must not be repeated runs once", std::to_string(request.number));
    }
    flow.working = writeAnswer(request.number, target.record.service, pick(m_random, LargestAnswer));
    flow.due = now + between(m_random, milliseconds(2), MaxWorkTime);
}

void TargetFleet::serveFlows(TimePoint now, Place &place)
{
    for (auto at = place.target->flows.begin(); at != place.target->flows.end();) {
        Flow &flow = at->second;
        if (flow.working && now >= flow.due) {
            flow.unsent.assign(flow.working->begin(), flow.working->end());
            flow.working.reset();
            flow.tries = 0;
            transmit(now, place, at->first, flow);
        } else if (!flow.working && !flow.unsent.empty() && now >= flow.due) {
            if (++flow.tries > MaxTries) {
                at = place.target->flows.erase(at);
                continue;
            }
            transmit(now, place, at->first, flow);
        }
        ++at;
    }
}

// Sends all that the caller has not acknowledged.
void TargetFleet::transmit(TimePoint now, Place &place, const FlowMap::key_type &key, Flow &flow)
{
    const BytesView unsent(flow.unsent);
    for (std::size_t at = 0; at < unsent.size(); at += PacketBytes) {
        const BytesView part = unsent.subspan(at, std::min(PacketBytes, unsent.size() - at));
        const std::uint32_t sequence = flow.acknowledged + static_cast<std::uint32_t>(at);
        reply(place, {key.second, key.first, flow.token, sequence, flow.expected, false, true, false, false, part});
    }
    flow.sent = flow.acknowledged + static_cast<std::uint32_t>(unsent.size());
    flow.due = now + std::min(FirstResend * (1 << std::min(flow.tries, 3)), MaxResendDelay);
}

void TargetFleet::reply(Place &place, const WirePacket &packet)
{
    place.socket->send({packet.to.address, Plan::PacketPort}, BytesView(Platform::encodePacket(packet)));
}

// ---- Questions of the callers ----

bool TargetFleet::openAtLiveTarget(const FlowKey &flow) const
{
    return std::any_of(m_places.begin(), m_places.end(), [&flow](const Place &place) {
        if (!place.target) {
            return false;
        }
        const auto at = place.target->flows.find({flow.caller, flow.route});
        return at != place.target->flows.end() && at->second.open;
    });
}

bool TargetFleet::isTarget(Endpoint sender) const
{
    return sender.address >= m_plan.target(0) && sender.address <= m_plan.target(m_places.size() - 1);
}

void TargetFleet::setRouteGone(std::optional<TimePoint> since)
{
    m_routeGone = since;
}

void TargetFleet::setDrained(std::optional<TimePoint> since)
{
    m_drained = since;
}

std::size_t TargetFleet::runs() const
{
    return m_runs;
}

} // namespace Robinrail::Soak

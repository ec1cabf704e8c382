// SPDX-License-Identifier: MIT
// Fleet model: implementation.
#include "fleet_model.h"

#include "hash.h"

#include <algorithm>
#include <map>

namespace Robinrail {

namespace {

constexpr Duration AnnounceInterval = std::chrono::milliseconds(770);
constexpr Duration TickPeriod = std::chrono::milliseconds(25);
constexpr Duration HeartbeatPeriod = std::chrono::milliseconds(500);

// One-way delays between machines of the same data centre and of different ones.
constexpr Duration IntraDataCentreDelay = std::chrono::microseconds(300);
constexpr Duration InterDataCentreDelay = std::chrono::microseconds(1700);

// Replicas start at random times within this span; links come up within the next one, balancers follow within the third.
constexpr Duration StartSpread = std::chrono::milliseconds(100);

constexpr LossTolerance ToleratedLoss{2, 1};

// A pseudorandom duration below `whole`, from a hash.
Duration pseudorandomBelow(Duration whole, std::uint64_t hash)
{
    return Duration(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(whole.count())));
}

} // namespace

// A replica's links. Each replica of a pair dials one link to the other; links to balancers carry messages to them only.
struct FleetModel::Links {
    struct Link {
        ReplicaLocation peer;
        ReplicaLinkId peerLink = 0; // Handle of the same link at the peer; 0 for a balancer.
        bool dialled = false;
    };

    FleetModel *model = nullptr;
    std::size_t owner = 0;
    std::map<ReplicaLinkId, Link> links;
    LinkTraffic toReplicas;
    LinkTraffic toBalancers;
    std::uint64_t messagesToReplicas = 0;

    void send(ReplicaLinkId link, const NodeMessage &message)
    {
        sendEncoded(link, encodeMessage(message));
    }

    void sendAll(std::span<const ReplicaLinkId> several, const NodeMessage &message)
    {
        const Bytes bytes = encodeMessage(message);
        for (const ReplicaLinkId link : several) {
            sendEncoded(link, bytes);
        }
    }

    void sendEncoded(ReplicaLinkId link, const Bytes &message);

    static std::size_t buffered(ReplicaLinkId /*link*/)
    {
        return 0;
    }

    bool isDialled(ReplicaLinkId link) const
    {
        const auto at = links.find(link);
        return at != links.end() && at->second.dialled;
    }

    std::vector<ReplicaLinkId> dialled() const
    {
        std::vector<ReplicaLinkId> handles;
        for (const auto &[handle, link] : links) {
            if (link.dialled) {
                handles.push_back(handle);
            }
        }
        return handles;
    }
};

struct FleetModel::Replica {
    ReplicaLocation place;
    Links links;
    std::unique_ptr<BasicTargetExchange<Links>> exchange;
    double processorSeconds = 0;
};

struct FleetModel::Target {
    TargetKey key{};
    DataCentreId dataCentre{};
    std::uint32_t address = 0;
    std::uint64_t sequence = 0;
    std::uint64_t generation = 0; // Lifetimes that began earlier under the same key.
    TargetPhase phase = TargetPhase::Serving;
    bool ended = false;
};

void FleetModel::Links::sendEncoded(ReplicaLinkId handle, const Bytes &message)
{
    const auto at = links.find(handle);
    if (at == links.end()) {
        return;
    }
    const Link &link = at->second;
    const DataCentreId own = model->m_replicas[owner]->place.dataCentre;
    const LinkDistance distance = link.peer.dataCentre == own ? LinkDistance::SameDataCentre : LinkDistance::OtherDataCentre;
    if (link.peerLink == 0) {
        toBalancers.count(LinkDirection::Sent, distance, message);
        return;
    }
    toReplicas.count(LinkDirection::Sent, distance, message);
    ++messagesToReplicas;
    const auto peer = static_cast<std::size_t>(value(link.peer.replica)) - 1;
    model->at(model->m_now + (distance == LinkDistance::SameDataCentre ? IntraDataCentreDelay : InterDataCentreDelay),
              [target = model, peer, peerLink = link.peerLink, bytes = message] {
                  target->deliver(peer, peerLink, bytes);
              });
}

FleetModel::FleetModel(const FleetShape &shape, std::uint64_t seed)
    : m_shape(shape)
    , m_seed(seed)
    , m_now(std::chrono::hours(1))
{
    for (std::size_t i = 0; i < shape.replicas(); ++i) {
        auto replica = std::make_unique<Replica>();
        replica->place = {ReplicaId{static_cast<std::uint32_t>(i + 1)}, DataCentreId(1 + i % shape.dataCentres)};
        m_replicas.push_back(std::move(replica));
    }
    for (std::size_t i = 0; i < shape.dataCentres * shape.targetsEach; ++i) {
        Target target;
        target.key = TargetKey{hashPair(seed, i) >> 24U};
        target.dataCentre = DataCentreId(1 + i % shape.dataCentres);
        target.address = 0x0a000000U + static_cast<std::uint32_t>(i);
        m_targets.push_back(target);
    }
}

FleetModel::~FleetModel() = default;

void FleetModel::at(TimePoint time, std::function<void()> action)
{
    m_events.push({time, ++m_lastOrder, std::move(action)});
}

void FleetModel::run(Duration duration)
{
    const TimePoint end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = end;
}

template<typename Work>
void FleetModel::measureWork(Replica &replica, Work work)
{
    const auto began = std::chrono::steady_clock::now();
    work();
    replica.processorSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
}

void FleetModel::start()
{
    startReplicas(std::vector<std::vector<TargetStatus>>(m_replicas.size()));
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        at(m_now + StartSpread + pseudorandomBelow(AnnounceInterval, hashPair(m_seed + 1, i)), [this, i] {
            announce(i, 0);
        });
    }
}

void FleetModel::restartAll(Duration pause, const std::vector<std::size_t> &wipedReplicas)
{
    std::vector<std::vector<TargetStatus>> known;
    for (const auto &replica : m_replicas) {
        known.push_back(replica->exchange->all(m_now));
        replica->exchange.reset();
        replica->links.links.clear();
    }
    for (const std::size_t replica : wipedReplicas) {
        known[replica].clear();
    }
    ++m_boot;
    run(pause);
    startReplicas(std::move(known));
}

// Starts the replicas, then links between all of them, then attaches each balancer to a pseudorandom replica of its data centre.
void FleetModel::startReplicas(std::vector<std::vector<TargetStatus>> known)
{
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
        const Duration startOffset = pseudorandomBelow(StartSpread, hashPair(m_seed + 2, m_boot << 32U | i));
        at(m_now + startOffset, [this, i, boot = m_boot, known = std::move(known[i])] {
            Replica &replica = *m_replicas[i];
            replica.links.model = this;
            replica.links.owner = i;
            measureWork(replica, [&] {
                replica.exchange = std::make_unique<BasicTargetExchange<Links>>(replica.links, m_now, replica.place, AnnounceInterval, ToleratedLoss);
                replica.exchange->restore(m_now, known);
            });
            tick(i, boot);
        });
    }
    for (std::size_t one = 0; one < m_replicas.size(); ++one) {
        for (std::size_t other = 0; other < m_replicas.size(); ++other) {
            const Duration startOffset = pseudorandomBelow(StartSpread, hashPair(one, other << 32U | m_boot));
            if (one != other) {
                at(m_now + StartSpread + startOffset, [this, one, other] {
                    connectReplicas(one, other);
                });
            }
        }
    }
    for (std::size_t i = 0; i < m_shape.dataCentres * m_shape.balancersEach; ++i) {
        const DataCentreId dataCentre = DataCentreId(1 + i % m_shape.dataCentres);
        const std::size_t replicaIndex = i % m_shape.dataCentres + m_shape.dataCentres * (hashPair(m_seed + 3, i) % m_shape.replicasEach);
        at(m_now + 2 * StartSpread + pseudorandomBelow(StartSpread, hashPair(m_seed + 4, i)), [this, dataCentre, replicaIndex] {
            Replica &replica = *m_replicas[replicaIndex];
            replica.links.links[++m_lastLink] = {{ReplicaId{0}, dataCentre}, 0, false};
            measureWork(replica, [&] {
                replica.exchange->follow(m_now, m_lastLink, FollowDirectory{});
            });
        });
    }
}

void FleetModel::connectReplicas(std::size_t dialler, std::size_t acceptor)
{
    Replica &one = *m_replicas[dialler];
    Replica &other = *m_replicas[acceptor];
    const ReplicaLinkId here = ++m_lastLink;
    const ReplicaLinkId there = ++m_lastLink;
    one.links.links[here] = {other.place, there, true};
    other.links.links[there] = {one.place, here, false};
    measureWork(one, [&] {
        one.exchange->linked(other.place.replica, here);
    });
    measureWork(other, [&] {
        other.exchange->linked(one.place.replica, there);
    });
}

void FleetModel::deliver(std::size_t to, ReplicaLinkId link, const Bytes &message)
{
    Replica &replica = *m_replicas[to];
    const auto at = replica.links.links.find(link);
    if (at == replica.links.links.end()) {
        return; // The link closed while the message was in flight.
    }
    const ReplicaLocation peer = at->second.peer;
    measureWork(replica, [&] {
        if (const std::optional<NodeMessage> decoded = decodeMessage<NodeMessage>(message)) {
            dispatch(replica, peer, link, *decoded);
        }
    });
}

void FleetModel::dispatch(Replica &replica, const ReplicaLocation &peer, ReplicaLinkId link, const NodeMessage &message)
{
    BasicTargetExchange<Links> &exchange = *replica.exchange;
    if (const auto *news = std::get_if<TargetStatusList>(&message)) {
        exchange.onTargetStatuses(m_now, link, *news);
    } else if (const auto *heard = std::get_if<TargetLeaseUpdate>(&message)) {
        exchange.onLeaseUpdate(m_now, link, *heard);
    } else if (const auto *receipts = std::get_if<TargetReceipts>(&message)) {
        exchange.onReceipts(m_now, peer, *receipts);
    } else if (const auto *digest = std::get_if<DirectoryDigest>(&message)) {
        exchange.onDigest(m_now, link, *digest);
    } else if (const auto *compare = std::get_if<DirectoryCompare>(&message)) {
        exchange.onCompare(m_now, link, *compare);
    } else if (const auto *query = std::get_if<DirectoryQuery>(&message)) {
        exchange.onQuery(m_now, link, *query);
    } else if (const auto *answered = std::get_if<DirectoryQueryDone>(&message)) {
        exchange.onAnswered(link, *answered);
    }
}

void FleetModel::tick(std::size_t number, std::uint64_t boot)
{
    Replica &replica = *m_replicas[number];
    if (boot != m_boot) {
        return;
    }
    measureWork(replica, [&] {
        replica.exchange->reconcile(m_now);
        replica.exchange->publish(m_now);
        replica.exchange->expireDrains(m_now);
        if (m_now.time_since_epoch() / TickPeriod % (HeartbeatPeriod / TickPeriod) == static_cast<std::int64_t>(number) % (HeartbeatPeriod / TickPeriod)) {
            replica.exchange->sendHeartbeat(m_now);
        }
    });
    at(m_now + TickPeriod, [this, number, boot] {
        tick(number, boot);
    });
}

// ---- Targets ----

TargetRecord FleetModel::makeRecord(const Target &target) const
{
    TargetRecord record;
    record.key = target.key;
    record.service = value(target.key) % 5 == 0 ? "documents" : "quotes";
    record.address = {target.address, 8080};
    record.dataCentre = target.dataCentre;
    record.slots = 2;
    record.phase = target.phase;
    record.sequence = target.sequence;
    record.born = 1'700'000'000'000 + target.generation;
    return record;
}

void FleetModel::announce(std::size_t number, std::uint64_t generation)
{
    Target &target = m_targets[number];
    if (target.ended || target.generation != generation) {
        return;
    }
    ++target.sequence;
    const std::size_t place = hashPair(value(target.key), 9) % m_shape.replicasEach;
    Replica &replica = *m_replicas[value(target.dataCentre) - 1U + m_shape.dataCentres * place];
    if (replica.exchange) {
        measureWork(replica, [&] {
            replica.exchange->announce(m_now, makeRecord(target), [](bool) {});
        });
    }
    at(m_now + AnnounceInterval, [this, number, generation] {
        announce(number, generation);
    });
}

void FleetModel::drain(std::size_t targetsEach, Duration within, Duration endDelay)
{
    const std::size_t count = targetsEach * m_shape.dataCentres;
    for (std::size_t i = 0; i < std::min(count, m_targets.size()); ++i) {
        at(m_now + Duration(within.count() * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(count)), [this, i, endDelay] {
            drainTarget(i, endDelay);
        });
    }
}

void FleetModel::drainTarget(std::size_t number, Duration endDelay)
{
    Target &target = m_targets[number];
    target.phase = TargetPhase::Draining;
    ++target.sequence;
    ++m_drainsStarted;
    const std::size_t place = hashPair(value(target.key), 9) % m_shape.replicasEach;
    Replica &replica = *m_replicas[value(target.dataCentre) - 1U + m_shape.dataCentres * place];
    measureWork(replica, [&] {
        replica.exchange->announce(m_now, makeRecord(target), [this, began = m_now](bool taken) {
            m_drainsAnswered += taken ? 1 : 0;
            m_longestDrainAnswer = std::max(m_longestDrainAnswer, m_now - began);
        });
    });
    at(m_now + endDelay, [this, number, &replica] {
        Target &ending = m_targets[number];
        ending.ended = true;
        measureWork(replica, [&] {
            replica.exchange->leave(m_now, ending.key, 0, [](bool) {});
        });
    });
}

// ---- Metrics ----

FleetMetrics FleetModel::takeMetrics()
{
    FleetMetrics figures;
    for (const auto &replica : m_replicas) {
        Links &links = replica->links;
        const auto sent = [](const LinkTraffic &traffic, LinkDistance distance) {
            return static_cast<double>(traffic.bytes(LinkDirection::Sent, distance));
        };
        figures.replicaBytes += sent(links.toReplicas, LinkDistance::SameDataCentre) + sent(links.toReplicas, LinkDistance::OtherDataCentre);
        figures.balancerBytes += sent(links.toBalancers, LinkDistance::SameDataCentre) + sent(links.toBalancers, LinkDistance::OtherDataCentre);
        figures.crossDataCentreBytes += sent(links.toReplicas, LinkDistance::OtherDataCentre) + sent(links.toBalancers, LinkDistance::OtherDataCentre);
        figures.replicaMessages += static_cast<double>(std::exchange(links.messagesToReplicas, 0));
        figures.maxProcessorSeconds = std::max(figures.maxProcessorSeconds, replica->processorSeconds);
        figures.processorSeconds += std::exchange(replica->processorSeconds, 0.0);
        links.toReplicas = {};
        links.toBalancers = {};
    }
    const auto count = static_cast<double>(m_replicas.size());
    for (double *sum : {&figures.replicaBytes, &figures.balancerBytes, &figures.crossDataCentreBytes, &figures.replicaMessages, &figures.processorSeconds}) {
        *sum /= count;
    }
    return figures;
}

bool FleetModel::inSync() const
{
    const auto digest = [this](const Replica &replica) {
        TargetDirectory directory(AnnounceInterval, AnnounceInterval);
        for (const TargetStatus &status : replica.exchange->all(m_now)) {
            directory.apply(m_now, status);
        }
        return directory.digest(MinDigestBuckets);
    };
    const std::vector<std::uint32_t> first = digest(*m_replicas.front());
    return std::all_of(m_replicas.begin(), m_replicas.end(), [&](const auto &replica) {
        return digest(*replica) == first;
    });
}

Duration FleetModel::longestDrainAnswer() const
{
    return m_longestDrainAnswer;
}

std::size_t FleetModel::drainsUnanswered() const
{
    return m_drainsStarted - m_drainsAnswered;
}

} // namespace Robinrail

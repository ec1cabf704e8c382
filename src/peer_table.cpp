// SPDX-License-Identifier: MIT
// Peer table: heartbeats, incarnations, failure detection and redirects.
#include "peer_table.h"

#include "hash.h"

#include <algorithm>

namespace Robinrail {

PeerTable::PeerTable(BalancerKey self, DataCentreId dataCentre, std::span<const PeerAddress> peers)
    : m_self(self)
    , m_dataCentre(dataCentre)
{
    for (const PeerAddress &address : peers) {
        if (address.id == self.id) {
            continue;
        }
        Peer peer;
        peer.id = address.id;
        peer.endpoint = address.endpoint;
        m_peers.push_back(peer);
    }
    std::sort(m_peers.begin(), m_peers.end(), [](const Peer &left, const Peer &right) {
        return left.id < right.id;
    });
}

HeartbeatEffect PeerTable::heartbeat(TimePoint now, const Heartbeat &heartbeat)
{
    Peer *peer = find(heartbeat.sender.id);
    if (peer == nullptr || heartbeat.sender.incarnation < peer->incarnation) {
        return HeartbeatEffect::Stale;
    }
    const bool sameIncarnation = heartbeat.sender.incarnation == peer->incarnation;
    if (sameIncarnation && heartbeat.counter <= peer->counter) {
        return HeartbeatEffect::Stale;
    }
    const bool joined = !sameIncarnation || !peer->alive;
    const bool startsStopping = heartbeat.stopping && (!peer->stopping || !sameIncarnation);
    peer->incarnation = heartbeat.sender.incarnation;
    peer->dataCentre = heartbeat.dataCentre;
    peer->counter = heartbeat.counter;
    peer->lastHeard = now;
    peer->alive = true;
    peer->stopping = heartbeat.stopping;
    peer->bundleVersion = heartbeat.bundleVersion;
    if (heartbeat.successor) {
        redirect(heartbeat.sender, *heartbeat.successor);
    }
    m_version += joined || startsStopping ? 1 : 0;
    if (startsStopping) {
        return HeartbeatEffect::Stopping;
    }
    return joined ? HeartbeatEffect::Joined : HeartbeatEffect::Alive;
}

void PeerTable::recordAlive(TimePoint now, BalancerKey key)
{
    Peer *peer = find(key.id);
    if (peer != nullptr && peer->incarnation == key.incarnation && peer->alive) {
        peer->lastHeard = now;
    }
}

std::vector<BalancerKey> PeerTable::expire(TimePoint now)
{
    std::vector<BalancerKey> gone;
    for (Peer &peer : m_peers) {
        if (peer.alive && now - peer.lastHeard >= PeerTimeout) {
            peer.alive = false;
            peer.freeSlots.clear();
            gone.push_back(peer.key());
            ++m_version;
        }
    }
    return gone;
}

void PeerTable::redirect(BalancerKey from, BalancerKey to)
{
    if (redirectOf(from) == nullptr && from != to) {
        m_redirects.push_back({from, to});
    }
}

std::optional<BalancerKey> PeerTable::resolve(BalancerKey owner) const
{
    for (int step = 0; step < MaxRedirects; ++step) {
        if (owner == m_self) {
            return owner;
        }
        if (const Redirect *redirect = redirectOf(owner); redirect != nullptr) {
            owner = redirect->to;
            continue;
        }
        const Peer *peer = find(owner.id);
        const bool present = peer != nullptr && peer->alive && peer->incarnation == owner.incarnation;
        return present ? std::optional(owner) : std::nullopt;
    }
    return std::nullopt;
}

Peer *PeerTable::find(BalancerId id)
{
    const auto at = std::find_if(m_peers.begin(), m_peers.end(), [id](const Peer &peer) {
        return peer.id == id;
    });
    return at != m_peers.end() ? &*at : nullptr;
}

const Peer *PeerTable::find(BalancerId id) const
{
    return const_cast<PeerTable *>(this)->find(id);
}

std::span<Peer> PeerTable::peers()
{
    return m_peers;
}

std::span<const Peer> PeerTable::peers() const
{
    return m_peers;
}

std::vector<PeerTable::Member> PeerTable::members() const
{
    std::vector<Member> members;
    if (!m_stopping) {
        members.push_back({m_self.id, m_dataCentre});
    }
    for (const Peer &peer : m_peers) {
        if (peer.alive && !peer.stopping) {
            members.push_back({peer.id, peer.dataCentre});
        }
    }
    std::sort(members.begin(), members.end(), [](const Member &left, const Member &right) {
        return left.id < right.id;
    });
    return members;
}

std::optional<BalancerKey> PeerTable::chooseSuccessor() const
{
    const Peer *best = nullptr;
    double bestScore = 0;
    for (const Peer &peer : m_peers) {
        const double score = rendezvousScore(value(m_self.id), value(peer.id), 1.0);
        if (peer.alive && !peer.stopping && score > bestScore) {
            best = &peer;
            bestScore = score;
        }
    }
    return best != nullptr ? std::optional(best->key()) : std::nullopt;
}

void PeerTable::setStopping()
{
    m_stopping = true;
    ++m_version;
}

bool PeerTable::stopping() const
{
    return m_stopping;
}

BalancerKey PeerTable::self() const
{
    return m_self;
}

DataCentreId PeerTable::dataCentre() const
{
    return m_dataCentre;
}

std::uint64_t PeerTable::version() const
{
    return m_version;
}

const PeerTable::Redirect *PeerTable::redirectOf(BalancerKey from) const
{
    const auto at = std::find_if(m_redirects.begin(), m_redirects.end(), [from](const Redirect &redirect) {
        return redirect.from == from;
    });
    return at != m_redirects.end() ? &*at : nullptr;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Gossip: building and processing heartbeats.
#include "gossip.h"

#include <algorithm>

namespace Robinrail {

Gossip::Gossip(BalancerContext &context)
    : m_context(context)
{
}

AnnouncementEffect Gossip::announce(TimePoint now, const Announcement &announcement)
{
    const AnnouncementEffect effect = m_context.targets.announce(now, announcement);
    if (effect == AnnouncementEffect::Joined || effect == AnnouncementEffect::Drained) {
        broadcastChange(now, announcement.target);
    }
    return effect;
}

Gossip::HeartbeatResult Gossip::receive(TimePoint now, const Heartbeat &heartbeat)
{
    HeartbeatResult result;
    result.effect = m_context.peers.heartbeat(now, heartbeat);
    for (const GossipedAnnouncement &news : heartbeat.announcements) {
        const AnnouncementEffect effect = m_context.targets.announce(now, news.announcement, news.age, news.knownFor);
        if (effect == AnnouncementEffect::Drained) {
            result.drained.push_back(news.announcement.target);
        } else if (effect == AnnouncementEffect::Joined) {
            result.joined.push_back(news.announcement.target);
        }
    }
    for (const TargetRenewal &renewal : heartbeat.renewals) {
        m_context.targets.renew(now, renewal);
    }
    if (result.effect == HeartbeatEffect::Joined) {
        if (const Peer *peer = m_context.peers.find(heartbeat.sender.id); peer != nullptr) {
            sendAllTargets(now, *peer);
        }
    }
    return result;
}

void Gossip::tick(TimePoint now)
{
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + HeartbeatInterval;
    sendHeartbeats(now);
}

void Gossip::sendHeartbeats(TimePoint now)
{
    Heartbeat common = makeHeader();
    common.counter = ++m_counter;
    for (PendingChange &change : m_pendingChanges) {
        const Target *target = m_context.targets.find(change.target);
        if (target != nullptr && common.announcements.size() < MaxAnnouncementsPerHeartbeat) {
            common.announcements.push_back(makeNews(now, *target));
        }
        --change.repeats;
    }
    std::erase_if(m_pendingChanges, [](const PendingChange &change) {
        return change.repeats <= 0;
    });
    const std::vector<BalancerId> gossipPeers = takeGossipPeers();
    Heartbeat withRenewals = common;
    if (!gossipPeers.empty()) {
        withRenewals.renewals = takeRenewals(now);
    }
    const std::span<const Target> targets = std::as_const(m_context.targets).targets();
    for (const Peer &peer : m_context.peers.peers()) {
        const auto gossipPeer = std::find(gossipPeers.begin(), gossipPeers.end(), peer.id);
        if (gossipPeer == gossipPeers.end()) {
            m_context.send(peer.endpoint, common);
            continue;
        }
        Heartbeat message = withRenewals;
        if (!targets.empty() && message.announcements.empty() && gossipPeer == gossipPeers.begin() && m_counter % AntiEntropyHeartbeats == 0) {
            // Anti-entropy: one full announcement, chosen round robin, repairs lost updates.
            message.announcements.push_back(makeNews(now, targets[m_nextAntiEntropy++ % targets.size()]));
        }
        m_context.send(peer.endpoint, message);
    }
}

void Gossip::setSuccessor(BalancerKey successor)
{
    m_successor = successor;
}

Heartbeat Gossip::makeHeader() const
{
    Heartbeat heartbeat;
    heartbeat.sender = m_context.peers.self();
    heartbeat.dataCentre = m_context.peers.dataCentre();
    heartbeat.stopping = m_context.peers.stopping();
    heartbeat.successor = m_successor;
    heartbeat.bundleVersion = m_context.bundleVersion;
    return heartbeat;
}

GossipedAnnouncement Gossip::makeNews(TimePoint now, const Target &target) const
{
    return {target.announcement, now - target.lastHeard, now - target.firstHeard};
}

void Gossip::broadcastChange(TimePoint now, TargetId target)
{
    std::erase_if(m_pendingChanges, [target](const PendingChange &change) {
        return change.target == target;
    });
    m_pendingChanges.push_back({target, ChangeRepeats});
    Heartbeat urgent = makeHeader();
    urgent.counter = ++m_counter;
    urgent.announcements.push_back(makeNews(now, *m_context.targets.find(target)));
    for (const Peer &peer : m_context.peers.peers()) {
        m_context.send(peer.endpoint, urgent);
    }
}

void Gossip::sendAllTargets(TimePoint now, const Peer &peer)
{
    const std::span<const Target> targets = std::as_const(m_context.targets).targets();
    for (std::size_t from = 0; from < targets.size(); from += MaxAnnouncementsPerHeartbeat) {
        Heartbeat chunk = makeHeader();
        chunk.counter = ++m_counter;
        for (const Target &target : targets.subspan(from, std::min(MaxAnnouncementsPerHeartbeat, targets.size() - from))) {
            chunk.announcements.push_back(makeNews(now, target));
        }
        m_context.send(peer.endpoint, chunk);
    }
}

// Continues where the previous call ended, so that every target is included in turn if they don't all fit.
std::vector<TargetRenewal> Gossip::takeRenewals(TimePoint now)
{
    std::vector<TargetRenewal> renewals;
    const std::span<const Target> targets = std::as_const(m_context.targets).targets();
    for (std::size_t step = 0; step < targets.size() && renewals.size() < MaxRenewalsPerHeartbeat; ++step) {
        const Target &target = targets[m_nextRenewal++ % targets.size()];
        ForwardedRenewal &forwarded = m_forwardedRenewals[value(target.id())];
        const bool restarted = target.announcement.incarnation != forwarded.incarnation;
        if (restarted || target.lastHeard - forwarded.heard >= MinRenewalAdvance) {
            forwarded = {target.announcement.incarnation, target.lastHeard};
            renewals.push_back(renewalOf(now, target));
        }
    }
    return renewals;
}

TargetRenewal Gossip::renewalOf(TimePoint now, const Target &target) const
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - target.lastHeard);
    TargetRenewal renewal;
    renewal.target = target.id();
    renewal.incarnationBits = incarnationBits(target.announcement.incarnation);
    renewal.sequence = target.announcement.sequence;
    renewal.ageMilliseconds = static_cast<std::uint16_t>(std::min<std::int64_t>(age.count(), UINT16_MAX));
    return renewal;
}

std::vector<BalancerId> Gossip::takeGossipPeers()
{
    std::vector<BalancerId> chosen;
    const std::span<const Peer> peers = std::as_const(m_context.peers).peers();
    for (std::size_t step = 0; step < peers.size() && chosen.size() < RenewalFanOut; ++step) {
        const Peer &peer = peers[m_nextGossipPeer++ % peers.size()];
        if (peer.alive) {
            chosen.push_back(peer.id);
        }
    }
    return chosen;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Gossip: building and taking heartbeats.
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
        spread(now, announcement.target);
    }
    return effect;
}

Gossip::Reception Gossip::receive(TimePoint now, const Heartbeat &heartbeat)
{
    Reception reception;
    reception.effect = m_context.peers.heartbeat(now, heartbeat);
    for (const GossipedAnnouncement &news : heartbeat.announcements) {
        const AnnouncementEffect effect = m_context.targets.announce(now, news.announcement, news.age, news.knownFor);
        if (effect == AnnouncementEffect::Drained) {
            reception.drained.push_back(news.announcement.target);
        } else if (effect == AnnouncementEffect::Joined) {
            reception.joined.push_back(news.announcement.target);
        }
    }
    for (const TargetRenewal &renewal : heartbeat.renewals) {
        m_context.targets.renew(now, renewal);
    }
    if (reception.effect == HeartbeatEffect::Joined) {
        if (const Peer *peer = m_context.peers.find(heartbeat.sender.id); peer != nullptr) {
            sendAllNews(now, *peer);
        }
    }
    return reception;
}

void Gossip::tick(TimePoint now)
{
    if (now < m_nextBeat) {
        return;
    }
    m_nextBeat = now + HeartbeatInterval;
    beat(now);
}

void Gossip::beat(TimePoint now)
{
    Heartbeat common = header();
    common.counter = ++m_counter;
    for (News &news : m_news) {
        const Target *target = m_context.targets.find(news.target);
        if (target != nullptr && common.announcements.size() < MaxNewsPerHeartbeat) {
            common.announcements.push_back(newsOf(now, *target));
        }
        --news.repeats;
    }
    std::erase_if(m_news, [](const News &news) {
        return news.repeats <= 0;
    });
    const std::vector<BalancerId> gossipPeers = nextGossipPeers();
    Heartbeat longer = common;
    if (!gossipPeers.empty()) {
        longer.renewals = takeRenewals(now);
    }
    const std::span<const Target> targets = std::as_const(m_context.targets).targets();
    for (const Peer &peer : m_context.peers.peers()) {
        const auto gossiped = std::find(gossipPeers.begin(), gossipPeers.end(), peer.id);
        if (gossiped == gossipPeers.end()) {
            m_context.send(peer.endpoint, common);
            continue;
        }
        Heartbeat own = longer;
        if (!targets.empty() && own.announcements.empty() && gossiped == gossipPeers.begin() && m_counter % AntiEntropyInterval == 0) {
            // One full announcement in turn repairs whatever news was lost.
            own.announcements.push_back(newsOf(now, targets[m_rotation++ % targets.size()]));
        }
        m_context.send(peer.endpoint, own);
    }
}

void Gossip::setSuccessor(BalancerKey successor)
{
    m_successor = successor;
}

Heartbeat Gossip::header() const
{
    Heartbeat heartbeat;
    heartbeat.sender = m_context.peers.self();
    heartbeat.dataCentre = m_context.peers.dataCentre();
    heartbeat.stopping = m_context.peers.stopping();
    heartbeat.successor = m_successor;
    heartbeat.bundleVersion = m_context.bundleVersion;
    return heartbeat;
}

GossipedAnnouncement Gossip::newsOf(TimePoint now, const Target &target) const
{
    return {target.announcement, now - target.lastHeard, now - target.firstHeard};
}

void Gossip::spread(TimePoint now, TargetId target)
{
    std::erase_if(m_news, [target](const News &news) {
        return news.target == target;
    });
    m_news.push_back({target, NewsRepeats});
    Heartbeat urgent = header();
    urgent.counter = ++m_counter;
    urgent.announcements.push_back(newsOf(now, *m_context.targets.find(target)));
    for (const Peer &peer : m_context.peers.peers()) {
        m_context.send(peer.endpoint, urgent);
    }
}

void Gossip::sendAllNews(TimePoint now, const Peer &peer)
{
    const std::span<const Target> targets = std::as_const(m_context.targets).targets();
    for (std::size_t from = 0; from < targets.size(); from += MaxNewsPerHeartbeat) {
        Heartbeat chunk = header();
        chunk.counter = ++m_counter;
        for (const Target &target : targets.subspan(from, std::min(MaxNewsPerHeartbeat, targets.size() - from))) {
            chunk.announcements.push_back(newsOf(now, target));
        }
        m_context.send(peer.endpoint, chunk);
    }
}

// Begins where the last one ended, so that with more targets than fit all have their turn.
std::vector<TargetRenewal> Gossip::takeRenewals(TimePoint now)
{
    std::vector<TargetRenewal> renewals;
    const std::span<const Target> targets = std::as_const(m_context.targets).targets();
    for (std::size_t step = 0; step < targets.size() && renewals.size() < MaxRenewalsPerHeartbeat; ++step) {
        const Target &target = targets[m_renewalTurn++ % targets.size()];
        Renewed &gossiped = m_renewed[value(target.id())];
        const bool restarted = target.announcement.incarnation != gossiped.incarnation;
        if (restarted || target.lastHeard - gossiped.heard >= RenewalGap) {
            gossiped = {target.announcement.incarnation, target.lastHeard};
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

std::vector<BalancerId> Gossip::nextGossipPeers()
{
    std::vector<BalancerId> chosen;
    const std::span<const Peer> peers = std::as_const(m_context.peers).peers();
    for (std::size_t step = 0; step < peers.size() && chosen.size() < RenewalFanOut; ++step) {
        const Peer &peer = peers[m_gossipTurn++ % peers.size()];
        if (peer.alive) {
            chosen.push_back(peer.id);
        }
    }
    return chosen;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Replica selector: implementation.
#include "replica_selector.h"

#include "hash.h"

#include <algorithm>

namespace Robinrail {

ReplicaSelector::ReplicaSelector(DataCentreId dataCentre, std::uint64_t balancerId)
    : m_dataCentre(dataCentre)
    , m_balancerId(balancerId)
{
}

// Replicas of the own data centre come first; within a rank, rendezvous hashing gives each balancer its own order.
void ReplicaSelector::setReplicas(std::span<const ReplicaLocation> named, std::span<const ReplicaId> seeds)
{
    enum class Rank : std::uint8_t {
        Near,
        Far,
        Unnamed,
    };
    std::map<ReplicaId, Rank> ranks;
    for (const ReplicaId seed : seeds) {
        ranks.try_emplace(seed, Rank::Unnamed);
    }
    for (const ReplicaLocation &place : named) {
        const Rank rank = place.dataCentre == m_dataCentre ? Rank::Near : Rank::Far;
        const auto [at, added] = ranks.try_emplace(place.replica, rank);
        at->second = std::min(at->second, rank);
    }
    m_preference.clear();
    for (const auto &[replica, rank] : ranks) {
        m_preference.push_back(replica);
    }
    std::sort(m_preference.begin(), m_preference.end(), [&](ReplicaId left, ReplicaId right) {
        const auto key = [&](ReplicaId replica) {
            return std::pair(ranks.at(replica), hashPair(m_balancerId, value(replica)));
        };
        return key(left) < key(right);
    });
    std::erase_if(m_states, [&ranks](const auto &each) {
        return !ranks.contains(each.first) && !each.second.linked;
    });
}

void ReplicaSelector::onAccepted(TimePoint now, ReplicaId replica)
{
    m_acceptedAt.try_emplace(replica, now);
}

void ReplicaSelector::onLinkUp(TimePoint now, ReplicaId replica)
{
    m_acceptedAt.erase(replica);
    m_states[replica].linked = true;
    m_firstLinkAt = m_firstLinkAt.value_or(now);
}

void ReplicaSelector::onLinkLost(TimePoint now, ReplicaId replica)
{
    m_states.erase(replica);
    m_acceptedAt.erase(replica);
    if (replica == m_source) {
        m_sourceGraceEnd = now + SourceGrace;
    }
}

void ReplicaSelector::onQuorumConfirmed(TimePoint now, ReplicaId replica)
{
    m_states[replica].confirmedAt = now;
}

void ReplicaSelector::onDirectoryComplete(ReplicaId replica)
{
    m_states[replica].completed = true;
}

void ReplicaSelector::update(TimePoint now)
{
    updateHealth(now);
    m_nextSource = bestHealthy(now);
    if (!m_source) {
        m_nextSource = afterFirstChoiceGrace(now, m_nextSource ? m_nextSource : firstWithLink());
    }
    if (m_nextSource && m_states.at(*m_nextSource).completed) {
        m_source = m_nextSource;
    }
    if (m_nextSource == m_source) {
        m_nextSource.reset();
    }
    extendDialRange(now);
    updateDesiredLinks();
}

bool ReplicaSelector::healthy(TimePoint now, ReplicaId replica) const
{
    const auto at = m_states.find(replica);
    return at != m_states.end() && at->second.linked && now - at->second.confirmedAt < HealthTimeout;
}

void ReplicaSelector::updateHealth(TimePoint now)
{
    for (auto &[replica, state] : m_states) {
        const bool wasHealthy = std::exchange(state.healthy, healthy(now, replica));
        if (!wasHealthy && state.healthy) {
            const std::uint64_t hash = hashPair(m_balancerId, static_cast<std::uint64_t>(now.time_since_epoch().count()));
            state.failbackAt = now + Duration(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(MaxFailbackDelay.count())));
        }
    }
}

// The most preferred healthy replica. While the source is healthy, a better one is chosen only after its failback delay.
std::optional<ReplicaId> ReplicaSelector::bestHealthy(TimePoint now) const
{
    const bool sourceHealthy = m_source && healthy(now, *m_source);
    const auto at = std::find_if(m_preference.begin(), m_preference.end(), [&](ReplicaId replica) {
        return healthy(now, replica) && (!sourceHealthy || replica == *m_source || now >= m_states.at(replica).failbackAt);
    });
    return at != m_preference.end() ? std::optional(*at) : std::nullopt;
}

std::optional<ReplicaId> ReplicaSelector::firstWithLink() const
{
    const auto at = std::find_if(m_preference.begin(), m_preference.end(), [this](ReplicaId replica) {
        const auto state = m_states.find(replica);
        return state != m_states.end() && state->second.linked;
    });
    return at != m_preference.end() ? std::optional(*at) : std::nullopt;
}

// Returns no replica but the first choice until that one has had time to set up its link.
std::optional<ReplicaId> ReplicaSelector::afterFirstChoiceGrace(TimePoint now, std::optional<ReplicaId> replica) const
{
    const bool early = m_firstLinkAt && now - *m_firstLinkAt < FirstChoiceGrace;
    const bool first = replica && *replica == m_preference.front();
    return early && !first ? std::nullopt : replica;
}

// Whether a replica that accepted a connection may still complete the handshake.
bool ReplicaSelector::handshakePending(TimePoint now) const
{
    return std::any_of(m_acceptedAt.begin(), m_acceptedAt.end(), [now](const auto &each) {
        return now - each.second < HandshakeGrace;
    });
}

// Limits dialling to the replicas up to a healthy source; without one, dials one more replica each CandidateInterval.
void ReplicaSelector::extendDialRange(TimePoint now)
{
    const auto source = m_source ? std::find(m_preference.begin(), m_preference.end(), *m_source) : m_preference.end();
    if (source != m_preference.end() && healthy(now, *source)) {
        m_dialCount = static_cast<std::size_t>(source - m_preference.begin()) + 1;
        m_dialDue = now + CandidateInterval;
    } else if (now >= std::max(m_dialDue, m_sourceGraceEnd) && !handshakePending(now)) {
        const bool started = m_dialDue != TimePoint{};
        m_dialCount = std::min(m_dialCount + (started ? 1 : 0), m_preference.size());
        m_dialDue = now + CandidateInterval;
    }
}

bool ReplicaSelector::known(ReplicaId replica) const
{
    return std::find(m_preference.begin(), m_preference.end(), replica) != m_preference.end();
}

void ReplicaSelector::updateDesiredLinks()
{
    m_desiredLinks = {m_preference.begin(), m_preference.begin() + static_cast<std::ptrdiff_t>(std::min(m_dialCount, m_preference.size()))};
    if (m_nextSource) {
        m_desiredLinks.insert(*m_nextSource);
    }
    if (m_source && known(*m_source)) {
        m_desiredLinks.insert(*m_source);
    }
    if (m_source) {
        return;
    }
    // Without a source, links that are up are kept.
    for (const auto &[replica, state] : m_states) {
        if (state.linked && known(replica)) {
            m_desiredLinks.insert(replica);
        }
    }
}

const std::set<ReplicaId> &ReplicaSelector::desiredLinks() const
{
    return m_desiredLinks;
}

std::vector<ReplicaId> ReplicaSelector::followed() const
{
    std::vector<ReplicaId> followed;
    for (const std::optional<ReplicaId> &replica : {m_source, m_nextSource}) {
        if (replica) {
            followed.push_back(*replica);
        }
    }
    return followed;
}

std::optional<ReplicaId> ReplicaSelector::source() const
{
    return m_source;
}

} // namespace Robinrail

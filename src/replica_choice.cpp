// SPDX-License-Identifier: MIT
// Replica choice: implementation.
#include "replica_choice.h"

#include "hash.h"

#include <algorithm>

namespace Robinrail {

ReplicaSelector::ReplicaSelector(DataCentreId dataCentre, std::uint64_t self)
    : m_dataCentre(dataCentre)
    , m_balancerId(self)
{
}

// Own data centre first; among equals the order is this balancer's own, by rendezvous hashing.
void ReplicaSelector::know(std::span<const ReplicaPlace> named, std::span<const ReplicaId> seeds)
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
    for (const ReplicaPlace &place : named) {
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

void ReplicaSelector::answered(TimePoint now, ReplicaId replica)
{
    m_acceptedAt.try_emplace(replica, now);
}

void ReplicaSelector::linked(TimePoint now, ReplicaId replica)
{
    m_acceptedAt.erase(replica);
    m_states[replica].linked = true;
    m_firstLinkAt = m_firstLinkAt.value_or(now);
}

void ReplicaSelector::lost(TimePoint now, ReplicaId replica)
{
    m_states.erase(replica);
    m_acceptedAt.erase(replica);
    if (replica == m_source) {
        m_sourceGraceEnd = now + SourceGrace;
    }
}

void ReplicaSelector::confirmed(TimePoint now, ReplicaId replica)
{
    m_states[replica].confirmedAt = now;
}

void ReplicaSelector::completed(ReplicaId replica)
{
    m_states[replica].completed = true;
}

void ReplicaSelector::turn(TimePoint now)
{
    updateHealth(now);
    m_nextSource = best(now);
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
        const bool was = std::exchange(state.healthy, healthy(now, replica));
        if (!was && state.healthy) {
            const std::uint64_t lot = hashPair(m_balancerId, static_cast<std::uint64_t>(now.time_since_epoch().count()));
            state.failbackAt = now + Duration(static_cast<std::int64_t>(lot % static_cast<std::uint64_t>(MaxFailbackDelay.count())));
        }
    }
}

// The first healthy one. While the source is healthy, a better one must have been so for a while.
std::optional<ReplicaId> ReplicaSelector::best(TimePoint now) const
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

// Holds another replica than the first choice back until that one has had time to link up.
std::optional<ReplicaId> ReplicaSelector::afterFirstChoiceGrace(TimePoint now, std::optional<ReplicaId> replica) const
{
    const bool early = m_firstLinkAt && now - *m_firstLinkAt < FirstChoiceGrace;
    const bool first = replica && *replica == m_preference.front();
    return early && !first ? std::nullopt : replica;
}

// Whether a replica that took a connection is still likely to greet.
bool ReplicaSelector::handshakePending(TimePoint now) const
{
    return std::any_of(m_acceptedAt.begin(), m_acceptedAt.end(), [now](const auto &each) {
        return now - each.second < HandshakeGrace;
    });
}

// Dials no further than to a healthy source, and otherwise ever further.
void ReplicaSelector::extendDialRange(TimePoint now)
{
    const auto source = m_source ? std::find(m_preference.begin(), m_preference.end(), *m_source) : m_preference.end();
    if (source != m_preference.end() && healthy(now, *source)) {
        m_dialCount = static_cast<std::size_t>(source - m_preference.begin()) + 1;
        m_dialDue = now + CandidateInterval;
    } else if (now >= std::max(m_dialDue, m_sourceGraceEnd) && !handshakePending(now)) {
        const bool begun = m_dialDue != TimePoint{};
        m_dialCount = std::min(m_dialCount + (begun ? 1 : 0), m_preference.size());
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
    // Links that are up are not given up as long as nothing better is.
    for (const auto &[replica, state] : m_states) {
        if (state.linked && known(replica)) {
            m_desiredLinks.insert(replica);
        }
    }
}

const std::set<ReplicaId> &ReplicaSelector::wanted() const
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

// SPDX-License-Identifier: MIT
// Replica choice: implementation.
#include "replica_choice.h"

#include "hash.h"

#include <algorithm>

namespace Robinrail {

ReplicaChoice::ReplicaChoice(DataCentreId dataCentre, std::uint64_t self)
    : m_dataCentre(dataCentre)
    , m_self(self)
{
}

// Own data centre first; among equals the order is this balancer's own, by rendezvous hashing.
void ReplicaChoice::know(std::span<const ReplicaLocation> named, std::span<const ReplicaId> seeds)
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
    m_order.clear();
    for (const auto &[replica, rank] : ranks) {
        m_order.push_back(replica);
    }
    std::sort(m_order.begin(), m_order.end(), [&](ReplicaId left, ReplicaId right) {
        const auto key = [&](ReplicaId replica) {
            return std::pair(ranks.at(replica), hashPair(m_self, value(replica)));
        };
        return key(left) < key(right);
    });
    std::erase_if(m_states, [&ranks](const auto &each) {
        return !ranks.contains(each.first) && !each.second.linked;
    });
}

void ReplicaChoice::answered(TimePoint now, ReplicaId replica)
{
    m_answered.try_emplace(replica, now);
}

void ReplicaChoice::linked(TimePoint now, ReplicaId replica)
{
    m_answered.erase(replica);
    m_states[replica].linked = true;
    m_firstLink = m_firstLink.value_or(now);
}

void ReplicaChoice::lost(TimePoint now, ReplicaId replica)
{
    m_states.erase(replica);
    m_answered.erase(replica);
    if (replica == m_source) {
        m_sourceAwaited = now + SourceGrace;
    }
}

void ReplicaChoice::confirmed(TimePoint now, ReplicaId replica)
{
    m_states[replica].confirmedAt = now;
}

void ReplicaChoice::completed(ReplicaId replica)
{
    m_states[replica].completed = true;
}

void ReplicaChoice::turn(TimePoint now)
{
    watchHealth(now);
    m_next = best(now);
    if (!m_source) {
        m_next = patient(now, m_next ? m_next : firstLinked());
    }
    if (m_next && m_states.at(*m_next).completed) {
        m_source = m_next;
    }
    if (m_next == m_source) {
        m_next.reset();
    }
    extendReach(now);
    setWanted();
}

bool ReplicaChoice::healthy(TimePoint now, ReplicaId replica) const
{
    const auto at = m_states.find(replica);
    return at != m_states.end() && at->second.linked && now - at->second.confirmedAt < HealthyFor;
}

void ReplicaChoice::watchHealth(TimePoint now)
{
    for (auto &[replica, state] : m_states) {
        const bool was = std::exchange(state.healthy, healthy(now, replica));
        if (!was && state.healthy) {
            const std::uint64_t lot = hashPair(m_self, static_cast<std::uint64_t>(now.time_since_epoch().count()));
            state.returnAt = now + Duration(static_cast<std::int64_t>(lot % static_cast<std::uint64_t>(MaxReturnDelay.count())));
        }
    }
}

// The first healthy one. While the source is healthy, a better one must have been so for a while.
std::optional<ReplicaId> ReplicaChoice::best(TimePoint now) const
{
    const bool atEase = m_source && healthy(now, *m_source);
    const auto at = std::find_if(m_order.begin(), m_order.end(), [&](ReplicaId replica) {
        return healthy(now, replica) && (!atEase || replica == *m_source || now >= m_states.at(replica).returnAt);
    });
    return at != m_order.end() ? std::optional(*at) : std::nullopt;
}

std::optional<ReplicaId> ReplicaChoice::firstLinked() const
{
    const auto at = std::find_if(m_order.begin(), m_order.end(), [this](ReplicaId replica) {
        const auto state = m_states.find(replica);
        return state != m_states.end() && state->second.linked;
    });
    return at != m_order.end() ? std::optional(*at) : std::nullopt;
}

// Holds another replica than the first choice back until that one has had time to link up.
std::optional<ReplicaId> ReplicaChoice::patient(TimePoint now, std::optional<ReplicaId> replica) const
{
    const bool early = m_firstLink && now - *m_firstLink < FirstChoicePatience;
    const bool first = replica && *replica == m_order.front();
    return early && !first ? std::nullopt : replica;
}

// Whether a replica that took a connection is still likely to greet.
bool ReplicaChoice::greetingDue(TimePoint now) const
{
    return std::any_of(m_answered.begin(), m_answered.end(), [now](const auto &each) {
        return now - each.second < HandshakePatience;
    });
}

// Dials no further than to a healthy source, and otherwise ever further.
void ReplicaChoice::extendReach(TimePoint now)
{
    const auto source = m_source ? std::find(m_order.begin(), m_order.end(), *m_source) : m_order.end();
    if (source != m_order.end() && healthy(now, *source)) {
        m_reach = static_cast<std::size_t>(source - m_order.begin()) + 1;
        m_reachDue = now + CandidatePause;
    } else if (now >= std::max(m_reachDue, m_sourceAwaited) && !greetingDue(now)) {
        const bool begun = m_reachDue != TimePoint{};
        m_reach = std::min(m_reach + (begun ? 1 : 0), m_order.size());
        m_reachDue = now + CandidatePause;
    }
}

bool ReplicaChoice::known(ReplicaId replica) const
{
    return std::find(m_order.begin(), m_order.end(), replica) != m_order.end();
}

void ReplicaChoice::setWanted()
{
    m_wanted = {m_order.begin(), m_order.begin() + static_cast<std::ptrdiff_t>(std::min(m_reach, m_order.size()))};
    if (m_next) {
        m_wanted.insert(*m_next);
    }
    if (m_source && known(*m_source)) {
        m_wanted.insert(*m_source);
    }
    if (m_source) {
        return;
    }
    // Links that are up are not given up as long as nothing better is.
    for (const auto &[replica, state] : m_states) {
        if (state.linked && known(replica)) {
            m_wanted.insert(replica);
        }
    }
}

const std::set<ReplicaId> &ReplicaChoice::wanted() const
{
    return m_wanted;
}

std::vector<ReplicaId> ReplicaChoice::followed() const
{
    std::vector<ReplicaId> followed;
    for (const std::optional<ReplicaId> &replica : {m_source, m_next}) {
        if (replica) {
            followed.push_back(*replica);
        }
    }
    return followed;
}

std::optional<ReplicaId> ReplicaChoice::source() const
{
    return m_source;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Drain confirmations: implementation.
#include "drain_confirmations.h"

namespace Robinrail {

DrainConfirmations::DrainConfirmations(const LossTolerance &borne, const ReplicaLocation &self)
    : m_borne(borne)
    , m_self{{self.replica, self.dataCentre}}
{
}

bool DrainConfirmations::confirmed(TargetLifetime lifetime, TargetPhase phase) const
{
    const auto at = m_confirmed.find(lifetime.key);
    return m_borne.isOutlivedBy(m_self) || (at != m_confirmed.end() && at->second.lifetime == lifetime && at->second.phase >= phase);
}

void DrainConfirmations::forget(TargetKey key)
{
    m_confirmed.erase(key);
}

void DrainConfirmations::await(TimePoint now, TargetLifetime lifetime, TargetPhase phase, Respond respond)
{
    if (m_borne.isOutlivedBy(m_self)) {
        return respond(true);
    }
    m_open.emplace(lifetime, Open{phase, m_self, now + DrainAnswerTimeout, std::move(respond)});
}

void DrainConfirmations::receipt(const ReplicaLocation &from, TargetLifetime lifetime, TargetPhase phase)
{
    const auto [first, last] = m_open.equal_range(lifetime);
    for (auto at = first; at != last;) {
        Open &open = at->second;
        if (phase >= open.phase) {
            open.witnesses[from.replica] = from.dataCentre;
        }
        if (!m_borne.isOutlivedBy(open.witnesses)) {
            ++at;
            continue;
        }
        if (!confirmed(lifetime, open.phase)) {
            m_confirmed[lifetime.key] = {lifetime, open.phase};
        }
        const Respond respond = std::move(open.respond);
        at = m_open.erase(at);
        respond(true);
    }
}

std::size_t DrainConfirmations::expire(TimePoint now)
{
    std::size_t expired = 0;
    for (auto at = m_open.begin(); at != m_open.end();) {
        if (now < at->second.deadline) {
            ++at;
            continue;
        }
        const Respond respond = std::move(at->second.respond);
        at = m_open.erase(at);
        ++expired;
        respond(false);
    }
    return expired;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Drain confirmations: implementation.
#include "drain_confirmations.h"

namespace Robinrail {

DrainConfirmations::DrainConfirmations(const LossTolerance &tolerance, const ReplicaLocation &self)
    : m_tolerance(tolerance)
    , m_self{{self.replica, self.dataCentre}}
{
}

bool DrainConfirmations::confirmed(TargetLifetime lifetime, TargetPhase phase) const
{
    const auto at = m_confirmed.find(lifetime.key);
    return m_tolerance.isMetBy(m_self) || (at != m_confirmed.end() && at->second.lifetime == lifetime && at->second.phase >= phase);
}

void DrainConfirmations::forget(TargetKey key)
{
    m_confirmed.erase(key);
}

void DrainConfirmations::await(TimePoint now, TargetLifetime lifetime, TargetPhase phase, Respond respond)
{
    if (m_tolerance.isMetBy(m_self)) {
        return respond(true);
    }
    m_pending.emplace(lifetime, Pending{phase, m_self, now + DrainAnswerTimeout, std::move(respond)});
}

void DrainConfirmations::receipt(const ReplicaLocation &from, TargetLifetime lifetime, TargetPhase phase)
{
    const auto [first, last] = m_pending.equal_range(lifetime);
    for (auto at = first; at != last;) {
        Pending &pending = at->second;
        if (phase >= pending.phase) {
            pending.holders[from.replica] = from.dataCentre;
        }
        if (!m_tolerance.isMetBy(pending.holders)) {
            ++at;
            continue;
        }
        if (!confirmed(lifetime, pending.phase)) {
            m_confirmed[lifetime.key] = {lifetime, pending.phase};
        }
        const Respond respond = std::move(pending.respond);
        at = m_pending.erase(at);
        respond(true);
    }
}

std::size_t DrainConfirmations::expire(TimePoint now)
{
    std::size_t expired = 0;
    for (auto at = m_pending.begin(); at != m_pending.end();) {
        if (now < at->second.deadline) {
            ++at;
            continue;
        }
        const Respond respond = std::move(at->second.respond);
        at = m_pending.erase(at);
        ++expired;
        respond(false);
    }
    return expired;
}

} // namespace Robinrail

// SPDX-License-Identifier: MIT
// Drain confirmations: implementation.
#include "drain_confirmations.h"

namespace Robinrail {

DrainConfirmations::DrainConfirmations(std::size_t needed)
    : m_needed(needed)
{
}

bool DrainConfirmations::confirmed(TargetLifetime lifetime, TargetPhase phase) const
{
    const auto at = m_confirmed.find(lifetime.key);
    return m_needed == 0 || (at != m_confirmed.end() && at->second.lifetime == lifetime && at->second.phase >= phase);
}

void DrainConfirmations::forget(TargetKey key)
{
    m_confirmed.erase(key);
}

void DrainConfirmations::await(TimePoint now, TargetLifetime lifetime, TargetPhase phase, Respond respond)
{
    if (m_needed == 0) {
        return respond(true);
    }
    m_open.emplace(lifetime, Open{phase, {}, now + DrainAnswerTimeout, std::move(respond)});
}

void DrainConfirmations::receipt(ReplicaId from, TargetLifetime lifetime, TargetPhase phase)
{
    const auto [first, last] = m_open.equal_range(lifetime);
    for (auto at = first; at != last;) {
        Open &open = at->second;
        if (phase >= open.phase) {
            open.receipts.insert(from);
        }
        if (open.receipts.size() < m_needed) {
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

// SPDX-License-Identifier: MIT
// Events: names in logs and metrics.
#include "event.h"

#include <array>

namespace Robinrail {

namespace {

template<std::size_t N, typename Enum>
std::string_view nameAt(const std::array<std::string_view, N> &names, Enum enumerator)
{
    const auto index = static_cast<std::size_t>(enumerator);
    return index < N ? names[index] : std::string_view("unknown");
}

} // namespace

std::string_view nameOf(EventKind kind)
{
    static constexpr std::array<std::string_view, 21> Names = {
        "flow-opened",     "flow-adopted", "flow-handed-over",  "flow-received",   "flow-expired",     "feed-attached",   "feed-rebound",
        "request-queued",  "request-sent", "request-offloaded", "request-retried", "request-answered", "request-refused", "target-joined",
        "target-draining", "target-lost",  "peer-joined",       "peer-stopping",   "peer-gone",        "packet-rejected", "bundle-applied",
    };
    return nameAt(Names, kind);
}

std::string_view nameOf(RejectReason reason)
{
    static constexpr std::array<std::string_view, RejectReasonCount> Names = {
        "malformed",
        "oversized",
        "forged-id",
        "wrong-service",
        "unknown-service",
        "unexpected-type",
        "too-many-hops",
        "unknown-sender",
    };
    return nameAt(Names, reason);
}

std::string_view nameOf(Outcome outcome)
{
    static constexpr std::array<std::string_view, 4> Names = {"answered", "not-run", "outcome-unknown", "deadline-passed"};
    return nameAt(Names, outcome);
}

std::string_view nameOf(RefusalReason reason)
{
    static constexpr std::array<std::string_view, 8> Names = {
        "overload",
        "no-target",
        "owner-gone",
        "forgotten-flow",
        "target-lost",
        "deadline",
        "cancelled",
        "bad-request",
    };
    return nameAt(Names, reason);
}

} // namespace Robinrail

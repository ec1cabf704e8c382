// SPDX-License-Identifier: MIT
// Target record: what a target announced about itself, in the form that replicas and balancers exchange.
#pragma once

#include "types.h"

#include <string>
#include <tuple>

namespace Robinrail {

// Identifies a target; never 0. After a restart a target has a new key, or the same key with a later `born`.
enum class TargetKey : std::uint64_t {};

// One lifetime of a target: from a start of its process to its end.
struct TargetLifetime {
    TargetKey key{};
    std::uint64_t born = 0; // See TargetRecord.

    auto operator<=>(const TargetLifetime &) const = default;

    auto fields()
    {
        return std::tie(key, born);
    }
};

// The order is part of the message format. Earlier releases take an unknown phase for Draining.
enum class TargetPhase : std::uint8_t {
    Serving,
    Draining, // Serves its open flows and is assigned no new ones.
    Left, // Final: the target has announced the end of its lifetime.
    Superseded, // Silent, and a younger target is at its address. Assigned no new flows. Refuted by further announcements.
};

// How often a lifetime may refute that it was superseded. Each time its `born` is increased by one, as in SWIM, whose members
// refute a suspicion by a higher incarnation number. Two lifetimes of one target are born further apart.
inline constexpr std::uint64_t MaxRefutations = 100;

struct TargetRecord {
    TargetKey key{};
    std::string service;
    Endpoint address;
    DataCentreId dataCentre{};
    std::uint32_t slots = 1; // Maximum number of requests that run concurrently.
    TargetPhase phase = TargetPhase::Serving;
    Duration warmupLeft{}; // Remaining warm-up time at the time of the announcement.
    std::uint64_t sequence = 0; // Increases with every announcement within a lifetime.
    std::uint64_t born = 0; // Start of the lifetime by the target's own clock, Unix milliseconds, or 0 if not given; plus its refutations.

    static constexpr std::size_t OldestFields = 8;

    auto fields()
    {
        return std::tie(key, service, address, dataCentre, slots, phase, warmupLeft, sequence, born);
    }

    bool givesBirth() const
    {
        return born > MaxRefutations;
    }

    // Whether an announcement with this birth is one of the same lifetime.
    bool isOfLifetime(std::uint64_t announcedBirth) const
    {
        return announcedBirth <= born && born - announcedBirth <= MaxRefutations;
    }

    bool isCurrent() const
    {
        return phase == TargetPhase::Serving || phase == TargetPhase::Draining;
    }

    // Whether this record replaces `other`. One that is not current is only replaced by a later `born`, or by the departure of
    // the target.
    bool supersedes(const TargetRecord &other) const
    {
        if (born != other.born) {
            return born > other.born;
        }
        const auto finality = [](TargetPhase each) {
            return each == TargetPhase::Left ? 2 : each == TargetPhase::Superseded ? 1 : 0;
        };
        if (phase == other.phase || finality(phase) == finality(other.phase)) {
            return isCurrent() && sequence > other.sequence;
        }
        return finality(phase) > finality(other.phase);
    }

    // Whether the difference is relevant to balancers.
    bool differs(const TargetRecord &other) const
    {
        return service != other.service || address != other.address || slots != other.slots || phase != other.phase || born != other.born;
    }
};

// Longest time in a status, ten years. A longer one could overflow a time point.
inline constexpr Duration MaxStatusTime = std::chrono::hours(24 * 365 * 10);

// A record together with what one replica knows about it.
struct TargetStatus {
    TargetRecord record;
    bool silent = false; // No announcement reached any replica within the silence limit.
    Duration age{}; // Time since the last announcement.
    Duration known{}; // Time since the first announcement known to any replica; orders lifetimes that share an address.

    // Whether all times are possible. To be checked for a status that was received.
    bool isValid() const
    {
        const auto isPossible = [](Duration time) {
            return time >= Duration{0} && time <= MaxStatusTime;
        };
        return isPossible(age) && isPossible(known) && isPossible(record.warmupLeft);
    }

    auto fields()
    {
        return std::tie(record, silent, age, known);
    }
};

} // namespace Robinrail
